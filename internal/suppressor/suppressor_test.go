package suppressor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/suppressor"
)

const target = uint64(7)

// Guards against calls sent during a backoff, and against a backoff that never expires.
func TestBackoff(t *testing.T) {
	b := time.Unix(1000, 0)

	for name, x := range map[string]struct {
		// backoffs are requested 100 ms apart.
		backoffs []time.Duration
		want     time.Duration
	}{
		"none":                    {},
		"one":                     {backoffs: []time.Duration{3 * time.Second}, want: 3 * time.Second},
		"second is longer":        {backoffs: []time.Duration{time.Second, 3 * time.Second}, want: 3100 * time.Millisecond},
		"second is shorter":       {backoffs: []time.Duration{3 * time.Second, time.Second}, want: 3 * time.Second},
		"longer than the maximum": {backoffs: []time.Duration{1e9 * time.Second}, want: 10 * time.Minute},
		"one microsecond":         {backoffs: []time.Duration{time.Microsecond}, want: time.Microsecond},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s := suppressor.New[uint64]()

			for n, d := range x.backoffs {
				s.StartBackoff(b.Add(time.Duration(n)*100*time.Millisecond), target, d)
			}

			end := b.Add(x.want)
			i.Equal(s.Wait(b, target), x.want)
			i.Equal(s.InBackoff(b, target), x.want > 0)
			i.Equal(s.Wait(end, target), time.Duration(0))
			i.True(!s.InBackoff(end, target))
			i.Equal(s.Wait(b, target+1), time.Duration(0))

			if x.want > 0 {
				i.True(s.InBackoff(end.Add(-time.Nanosecond), target))
			}
		})
	}
}

// Guards against all waiting calls being sent at once when a backoff expires.
func TestGradualRecoveryAfterBackoff(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	s := suppressor.New[uint64]()
	s.StartBackoff(b, target, time.Second)

	// An answer to a call sent before the backoff expired is ignored.
	s.RecordAnswer(b.Add(500*time.Millisecond), target)

	n := b.Add(time.Second)
	s.RecordAnswer(n, target)

	// concurrent returns how many calls may be sent at once.
	concurrent := func() int {
		o := 0
		for ; s.Wait(n, target) == 0 && o < 100; o++ {
			s.RecordSent(n, target)
		}

		return o
	}

	i.Equal(concurrent(), 1)
	i.True(s.Wait(n, target) > 0)
	i.True(!s.InBackoff(n, target))
	s.RecordAnswer(n, target)
	i.Equal(concurrent(), 2)
	s.RecordAnswer(n, target)
	s.RecordAnswer(n, target)
	i.Equal(concurrent(), 4)
	s.RecordAnswer(n, target)
	i.Equal(concurrent(), 100)
}

// Guards against a target that never receives calls again because the probe call after its backoff was not
// answered or not sent.
func TestProbeCallWithoutAnswer(t *testing.T) {
	for name, x := range map[string]struct {
		outcome func(s *suppressor.Suppressor[uint64])
		want    time.Duration
	}{
		"no answer":       {outcome: func(*suppressor.Suppressor[uint64]) {}, want: time.Second},
		"withdrawn":       {outcome: func(s *suppressor.Suppressor[uint64]) { s.Withdraw(target) }},
		"withdrawn twice": {outcome: func(s *suppressor.Suppressor[uint64]) { s.Withdraw(target); s.Withdraw(target) }},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			n := time.Unix(1000, 0)
			s := suppressor.New[uint64]()
			s.StartBackoff(n, target, time.Second)

			n = n.Add(time.Second)
			s.RecordSent(n, target)
			x.outcome(s)

			i.Equal(s.Wait(n.Add(x.want), target), time.Duration(0))

			if x.want > 0 {
				i.True(s.Wait(n.Add(x.want-time.Millisecond), target) > 0)
			}
		})
	}
}

// Guards against memory that grows with each target that ever requested a backoff.
func TestExpiredBackoffsAreDropped(t *testing.T) {
	i := is.New(t)
	n := time.Unix(1000, 0)
	s := suppressor.New[uint64]()

	for k := range uint64(1000) {
		s.StartBackoff(n, k, time.Second)
		n = n.Add(time.Second)
	}

	i.True(s.Len() < 100)
}

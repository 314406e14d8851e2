package sparer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/sparer"
)

const target = uint64(7)

// Guards against calls that come in a rest, and against a rest without an end.
func TestRest(t *testing.T) {
	b := time.Unix(1000, 0)

	for name, x := range map[string]struct {
		// asked are the rests, a tenth of a second apart.
		asked []time.Duration
		want  time.Duration
	}{
		"none":                      {},
		"one":                       {asked: []time.Duration{3 * time.Second}, want: 3 * time.Second},
		"a second one is longer":    {asked: []time.Duration{time.Second, 3 * time.Second}, want: 3100 * time.Millisecond},
		"a second one is shorter":   {asked: []time.Duration{3 * time.Second, time.Second}, want: 3 * time.Second},
		"one without reason":        {asked: []time.Duration{1e9 * time.Second}, want: 10 * time.Minute},
		"one shorter than a moment": {asked: []time.Duration{time.Microsecond}, want: time.Microsecond},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s := sparer.New[uint64]()

			for n, d := range x.asked {
				s.Rest(b.Add(time.Duration(n)*100*time.Millisecond), target, d)
			}

			end := b.Add(x.want)
			i.Equal(s.Wait(b, target), x.want)
			i.Equal(s.Resting(b, target), x.want > 0)
			i.Equal(s.Wait(end, target), time.Duration(0))
			i.True(!s.Resting(end, target))
			i.Equal(s.Wait(b, target+1), time.Duration(0))

			if x.want > 0 {
				i.True(s.Resting(end.Add(-time.Nanosecond), target))
			}
		})
	}
}

// Guards against all calls that come back at once when a rest is over.
func TestEndOfARest(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	s := sparer.New[uint64]()
	s.Rest(b, target, time.Second)

	// An answer to a call from before says nothing.
	s.Answered(b.Add(500*time.Millisecond), target)

	n := b.Add(time.Second)
	s.Answered(n, target)

	// together returns how many calls may go at once.
	together := func() int {
		o := 0
		for ; s.Wait(n, target) == 0 && o < 100; o++ {
			s.Sent(n, target)
		}

		return o
	}

	i.Equal(together(), 1)
	i.True(s.Wait(n, target) > 0)
	i.True(!s.Resting(n, target))
	s.Answered(n, target)
	i.Equal(together(), 2)
	s.Answered(n, target)
	s.Answered(n, target)
	i.Equal(together(), 4)
	s.Answered(n, target)
	i.Equal(together(), 100)
}

// Guards against a target that gets no call any more, since the one after its rest got no answer or
// was not sent.
func TestCallAfterARestThatShowsNothing(t *testing.T) {
	for name, x := range map[string]struct {
		then func(s *sparer.Sparer[uint64])
		want time.Duration
	}{
		"no answer":             {then: func(*sparer.Sparer[uint64]) {}, want: time.Second},
		"it was not sent":       {then: func(s *sparer.Sparer[uint64]) { s.Withdraw(target) }},
		"it was not sent twice": {then: func(s *sparer.Sparer[uint64]) { s.Withdraw(target); s.Withdraw(target) }},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			n := time.Unix(1000, 0)
			s := sparer.New[uint64]()
			s.Rest(n, target, time.Second)

			n = n.Add(time.Second)
			s.Sent(n, target)
			x.then(s)

			i.Equal(s.Wait(n.Add(x.want), target), time.Duration(0))

			if x.want > 0 {
				i.True(s.Wait(n.Add(x.want-time.Millisecond), target) > 0)
			}
		})
	}
}

// Guards against memory that grows with each target that ever asked for rest.
func TestOldRestsAreForgotten(t *testing.T) {
	i := is.New(t)
	n := time.Unix(1000, 0)
	s := sparer.New[uint64]()

	for k := range uint64(1000) {
		s.Rest(n, k, time.Second)
		n = n.Add(time.Second)
	}

	i.True(s.Len() < 100)
}

package detector_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/detector"
)

// Guards against wrong conclusions about a target after a stall: an instance is paused for three seconds
// while it waits for an answer. Waits that ended before the stall, or began well after it, are not
// affected.
func TestStalled(t *testing.T) {
	b := time.Unix(1000, 0)
	at := func(ms int) time.Time { return b.Add(time.Duration(ms) * time.Millisecond) }

	tests := map[string]struct {
		ticks      []int
		since, now int
		want       bool
	}{
		"running":                    {ticks: []int{100, 200, 300}, since: 50, now: 320},
		"ticks slightly late":        {ticks: []int{100, 320, 420}, since: 50, now: 430},
		"paused, before the tick":    {ticks: []int{100, 200}, since: 190, now: 3200, want: true},
		"paused, after the tick":     {ticks: []int{100, 200, 3200, 3300}, since: 190, now: 3310, want: true},
		"begun just after the pause": {ticks: []int{100, 200, 3200, 3300}, since: 3250, now: 3390, want: true},
		"begun well after the pause": {ticks: []int{100, 200, 3200, 3300, 3400, 3500, 3600}, since: 3510, now: 3650},
		"never paused, old wait":     {ticks: []int{100, 200}, since: -5000, now: 210},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			d := detector.New(b)
			for _, n := range x.ticks {
				d.Tick(at(n))
			}

			is.New(t).Equal(d.Stalled(at(x.now), at(x.since)), x.want)
		})
	}
}

func TestTickReturnsStallDuration(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	d := detector.New(b)

	i.Equal(d.Tick(b.Add(100*time.Millisecond)), time.Duration(0))
	i.Equal(d.Tick(b.Add(3200*time.Millisecond)), 3*time.Second)
	i.Equal(d.Tick(b.Add(3300*time.Millisecond)), time.Duration(0))
}

// Guards against treating all errors after a stall alike: a refused connection shows the state of the other
// side also after a stall, a time-out does not.
func TestTimedOut(t *testing.T) {
	tests := map[string]struct {
		err  error
		want bool
	}{
		"no error":          {},
		"a deadline":        {err: context.DeadlineExceeded, want: true},
		"a marked deadline": {err: errors.Mark(errors.Wrap(context.DeadlineExceeded, "request"), errors.New("late")), want: true},
		"a dial time-out":   {err: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, want: true},
		"a refused dial":    {err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}},
		"a cancelled call":  {err: context.Canceled},
		"another error":     {err: errors.New("broken")},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(detector.TimedOut(x.err), x.want)
		})
	}
}

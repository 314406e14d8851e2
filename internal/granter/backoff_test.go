package granter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/tracker"
)

// Guards against grants at targets in backoff, and against retries before the backoff ends.
func TestTargetsInBackoff(t *testing.T) {
	const backoff = 20 * time.Second

	for name, x := range map[string]struct {
		inBackoff, leaving []uint32
		// want are the targets at which slots are granted, and wait is the minimum delay before a retry
		// if there are none.
		want []uint32
		wait time.Duration
	}{
		"none":                        {want: []uint32{1, 2, 3}},
		"one":                         {inBackoff: []uint32{2}, want: []uint32{1, 3}},
		"all":                         {inBackoff: []uint32{1, 2, 3}, wait: backoff},
		"all that are not leaving":    {inBackoff: []uint32{1}, leaving: []uint32{2, 3}, wait: backoff},
		"one in backoff, one leaving": {inBackoff: []uint32{1}, leaving: []uint32{2}, want: []uint32{3}},
		"all leaving":                 {leaving: []uint32{1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFixture(3)

			for _, id := range x.inBackoff {
				f.StartBackoff(f.now, id, backoff)
			}

			for _, id := range x.leaving {
				f.Report(f.now, id, -1, tracker.State{Incarnation: 1, Leaving: true})
			}

			got := make(map[uint32]bool)

			for chat := range uint64(60) {
				id, v := f.reserve(1, chat+1, 1)
				if v.Reason == granter.Granted {
					got[v.Target] = true
					f.Release(f.now, id, granter.Outcome{OK: true})

					continue
				}

				i.Equal(v.Reason, granter.NoTargets)
				i.True(v.RetryAfter >= x.wait)
				i.True(v.RetryAfter <= x.wait+3*time.Second)
			}

			i.Equal(len(got), len(x.want))

			for _, id := range x.want {
				i.True(got[id])
			}
		})
	}
}

// Guards against a burst of calls at the end of a backoff, and against health checks of a target in
// backoff.
func TestEndOfBackoff(t *testing.T) {
	i := is.New(t)
	f := newFixture(1)
	f.StartBackoff(f.now, 1, time.Minute)
	i.Equal(len(f.TargetsWithoutReport(f.now, f.now.Add(time.Hour))), 0)

	f.now = f.now.Add(time.Minute)
	i.Equal(len(f.TargetsWithoutReport(f.now, f.now.Add(time.Hour))), 1)

	id, v := f.reserve(1, 1, 1)
	i.Equal(v.Reason, granter.Granted)

	_, v = f.reserve(1, 2, 1)
	i.Equal(v.Reason, granter.NoTargets)

	f.Release(f.now, id, granter.Outcome{OK: true})

	for n := range uint64(2) {
		_, v = f.reserve(1, 10+n, 1)
		i.Equal(v.Reason, granter.Granted)
	}
}

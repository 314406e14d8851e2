package granter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/tracker"
)

// Guards against places at targets that have asked for rest, and against a wait that ends before it.
func TestTargetsThatRest(t *testing.T) {
	const rest = 20 * time.Second

	for name, x := range map[string]struct {
		resting, leaving []uint32
		// want are the targets that places are at, and wait the least wait where there are none.
		want []uint32
		wait time.Duration
	}{
		"none":                        {want: []uint32{1, 2, 3}},
		"one":                         {resting: []uint32{2}, want: []uint32{1, 3}},
		"all":                         {resting: []uint32{1, 2, 3}, wait: rest},
		"all that do not leave":       {resting: []uint32{1}, leaving: []uint32{2, 3}, wait: rest},
		"some leave, and one is well": {resting: []uint32{1}, leaving: []uint32{2}, want: []uint32{3}},
		"all leave":                   {leaving: []uint32{1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFixture(3)

			for _, id := range x.resting {
				f.Rest(f.now, id, rest)
			}

			for _, id := range x.leaving {
				f.Report(f.now, id, -1, tracker.State{Incarnation: 1, Leaving: true})
			}

			got := make(map[uint32]bool)

			for chat := range uint64(60) {
				id, v := f.ask(1, chat+1, 1)
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

// Guards against all that comes back at once when a rest is over, and against checks of a target that
// wants nothing.
func TestRestIsOver(t *testing.T) {
	i := is.New(t)
	f := newFixture(1)
	f.Rest(f.now, 1, time.Minute)
	i.Equal(len(f.Idle(f.now, f.now.Add(time.Hour))), 0)

	f.now = f.now.Add(time.Minute)
	i.Equal(len(f.Idle(f.now, f.now.Add(time.Hour))), 1)

	id, v := f.ask(1, 1, 1)
	i.Equal(v.Reason, granter.Granted)

	_, v = f.ask(1, 2, 1)
	i.Equal(v.Reason, granter.NoTargets)

	f.Release(f.now, id, granter.Outcome{OK: true})

	for n := range uint64(2) {
		_, v = f.ask(1, 10+n, 1)
		i.Equal(v.Reason, granter.Granted)
	}
}

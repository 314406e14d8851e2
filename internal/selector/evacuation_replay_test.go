package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

// The sizes of the replays: the number of engines, the number of prompts, and the usual number of calls per second.
const (
	engines   = 60
	prompts   = 900
	usualRate = 564
)

// enginesOf returns a registry of engines in four data centres. Engines whose index is a multiple of every have
// just started and are cold for the given time.
func enginesOf(now time.Time, every int, cold time.Duration) *discoverer.Registry {
	d := discoverer.New(discoverer.DefaultSettings())

	for k := range engines {
		t := discoverer.Target{ID: fmt.Sprintf("t%d", k), Group: group, DataCentre: fmt.Sprintf("dc%d", k/15), Slots: 32}
		if k%every == 0 {
			t.ColdTime = cold
		}

		d.Set(t.WithReadTime(now, nil))
	}

	return d.Registry()
}

// Guards against overload and lost prompts when a data centre is evacuated at twice the usual load: its calls must
// be assigned to the targets of other data centres within their bound, and these must fetch the prompts that move,
// also from evacuated targets.
func TestReplayOfEvacuationDuringSurge(t *testing.T) {
	for name, hot := range map[string]float64{"no hot prompt": 0, "one call in four has the hot prompt": 0.25} {
		t.Run(name, func(t *testing.T) { replayEvacuation(t, hot) })
	}
}

// replayEvacuation runs the replay with the given fraction of calls that share one prompt.
func replayEvacuation(t *testing.T, hot float64) {
	t.Helper()

	i := is.New(t)
	start := time.Unix(1000, 0)
	r := enginesOf(start, engines+1, 0)
	x := rand.New(rand.NewPCG(1, 2))
	s := selector.New(selector.DefaultSettings())
	running := make(map[string]int)

	type call struct {
		target *discoverer.Target
		ends   time.Time
	}

	var calls []call

	fetched, fromEvacuated, moved, aboveBound, total := 0, 0, 0, 0, 0

	for k := range 6 * usualRate * 2 {
		now := start.Add(time.Duration(k) * time.Second / (usualRate * 2))
		evacuated := k >= 3*usualRate*2

		if evacuated && len(r.Evacuated) == 0 {
			r = r.WithEvacuated(func(centre string) bool { return centre == "dc1" }, nil)
			s.ApplyRegistry(now, r)
		}

		for len(calls) > 0 && !calls[0].ends.After(now) {
			s.Finish(now, calls[0].target, selector.Answered)
			running[calls[0].target.ID]--
			calls = calls[1:]
		}

		p := x.Uint64N(prompts) + 1
		if x.Float64() < hot {
			p = 1
		}

		o := choose(s, now, r, query(p))
		s.ConfirmPlacements(now, o)
		calls = append(calls, call{o.Target, now.Add(time.Second)})
		running[o.Target.ID]++

		if !evacuated {
			continue
		}

		i.True(o.Target.DataCentre != "dc1")
		total++

		if float64(running[o.Target.ID]) > 2*float64(len(calls))/engines+3 {
			aboveBound++
		}

		if !o.Cached {
			moved++

			if o.FetchFrom != nil {
				fetched++
			}

			if o.FetchFrom != nil && o.FetchFrom.DataCentre == "dc1" {
				fromEvacuated++
			}
		}
	}

	i.True(aboveBound*100 <= 3*total)      // The mean includes the engines of the evacuated data centre.
	i.True(fetched*10 >= moved*9)          // Nearly no prompt that moves is computed again.
	i.True(moved > 0 && fromEvacuated > 0) // Prompts do move, also from evacuated engines.
}

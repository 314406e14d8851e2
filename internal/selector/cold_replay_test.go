package selector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/throttler"
)

// How long engines are cold, the calls a second that a cold engine can serve, the maximum number of calls that may
// reach one within a second, and the rate of the surge as a multiple of usualRate.
const (
	coldFor  = 3 * time.Second
	coldRate = 18
	maxCold  = 32 // coldRate times the coverage of 1.5, plus the slack of 5.
	surge    = 2.25
)

// instance is a simulated instance.
type instance struct {
	selector *selector.Selector
	fleet    throttler.Fleet
}

// fleetOf returns instances in groups of the given sizes. Each instance only knows the others of its group, and
// that there were at most maxInstances before.
func fleetOf(maxInstances int, sizes ...int) []*instance {
	var o []*instance

	for _, n := range sizes {
		var live []uint64
		for range n {
			live = append(live, uint64(len(o)+len(live)))
		}

		for _, id := range live {
			x := &instance{
				selector: selector.New(selector.DefaultSettings()),
				fleet:    throttler.Fleet{Self: id, Live: live, MaxInstances: maxInstances, Settled: true},
			}
			x.selector.ConfigureThrottling(throttler.Settings{Coverage: 1.5, Slack: 5}, func() throttler.Fleet { return x.fleet })
			o = append(o, x)
		}
	}

	return o
}

// Guards against cold targets that are overloaded when half of a group, or all of it, returns during a surge:
// instances that do not know of each other's calls exceed the rate that a cold target can serve.
func TestReplayOfSurgeAtColdTargets(t *testing.T) {
	for name, x := range map[string]struct {
		fleet []*instance
		// every is n if every n-th engine is cold; 1 makes all engines cold.
		every int
		// hot is the fraction of the calls that share one prompt.
		hot float64
		// served is the minimum fraction of the calls that are assigned a target.
		served float64
	}{
		"one instance":                   {fleet: fleetOf(1, 1), every: 2, served: 1},
		"8":                              {fleet: fleetOf(8, 8), every: 2, served: 1},
		"85":                             {fleet: fleetOf(85, 85), every: 2, served: 1},
		"380":                            {fleet: fleetOf(380, 380), every: 2, served: 1},
		"8, partitioned":                 {fleet: fleetOf(8, 3, 5), every: 2, served: 1},
		"85, partitioned":                {fleet: fleetOf(85, 20, 65), every: 2, served: 1},
		"85, one call in four is hot":    {fleet: fleetOf(85, 85), every: 2, hot: 0.25, served: 1},
		"380, all cold, one in four hot": {fleet: fleetOf(380, 380), every: 1, hot: 0.25, served: 0.2},
		"8, all cold":                    {fleet: fleetOf(8, 8), every: 1, served: 0.5},
		"85, all cold":                   {fleet: fleetOf(85, 85), every: 1, served: 0.5},
		"85, a quarter cold":             {fleet: fleetOf(85, 85), every: 4, served: 1},
		"85, half of them newly started": {fleet: withNewlyStarted(fleetOf(85, 85)), every: 2, served: 1},
		"85, all of them newly started":  {fleet: withNewlyStarted(fleetOf(85, 85), fleetOf(85, 85)...), every: 2, served: 1},
		"8 of 85 remain, each isolated":  {fleet: fleetOf(85, 1, 1, 1, 1, 1, 1, 1, 1), every: 1},
		"100 where 85 were known before": {fleet: fleetOf(85, 100), every: 2, served: 1},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			worst, served := replaySurge(x.fleet, x.every, x.hot)
			t.Logf("%d calls in the worst second, %.2f of all served", worst, served)
			i.True(worst <= maxCold)
			i.True(served >= x.served)
		})
	}
}

// withNewlyStarted marks every second instance of a list as just started, or every instance if any more are given.
func withNewlyStarted(l []*instance, more ...*instance) []*instance {
	for k, x := range l {
		if k%2 == 0 || len(more) > 0 {
			x.fleet = throttler.Fleet{Self: x.fleet.Self, Live: []uint64{x.fleet.Self}, MaxInstances: 1}
		}
	}

	return l
}

// replaySurge simulates a surge from the moment at which targets start. It returns the maximum number of calls
// that reached a cold target within one second, and the fraction of all calls that were assigned a target.
func replaySurge(l []*instance, every int, hot float64) (worst int, served float64) {
	type call struct {
		from   *instance
		target *discoverer.Target
		ends   time.Time
	}

	var calls []call

	x := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	r := enginesOf(start, every, coldFor)
	arrived := make(map[string][]time.Time)
	running := make(map[string]int)
	all, found := 0, 0

	const gap = time.Second / (usualRate * surge)
	for now := start; now.Before(start.Add(coldFor)); now = now.Add(gap) {
		for len(calls) > 0 && !calls[0].ends.After(now) {
			calls[0].from.selector.Finish(now, calls[0].target, selector.Answered)
			running[calls[0].target.ID]--
			calls = calls[1:]
		}

		k := x.Uint64N(prompts) + 1
		if x.Float64() < hot {
			k = 1
		}

		from := l[x.IntN(len(l))]
		for id, t := range r.Known {
			from.selector.ReportLoad(now, t, selector.Load{Running: running[id], Slots: t.Slots})
		}

		q := query(k)
		q.ColdRate, q.ColdFor = coldRate, coldFor
		all++

		c, ok := from.selector.Choose(now, r, group, q)
		if !ok {
			continue
		}

		found++

		from.selector.Start(now, c.Target)
		running[c.Target.ID]++
		calls = append(calls, call{from, c.Target, now.Add(time.Second)})

		if c.Target.ColdAt(now, coldFor) {
			// The arrival is delayed by the time in which a connection is established.
			at := now.Add(time.Duration(x.Int64N(int64(120 * time.Millisecond))))
			arrived[c.Target.ID] = append(arrived[c.Target.ID], at)
		}
	}

	for _, a := range arrived {
		worst = max(worst, maxWithin(a, time.Second))
	}

	return worst, float64(found) / float64(all)
}

// maxWithin returns the maximum number of times of a list that fall into one span.
func maxWithin(l []time.Time, span time.Duration) int {
	highest := 0

	for _, a := range l {
		n := 0

		for _, b := range l {
			if d := b.Sub(a); d >= 0 && d < span {
				n++
			}
		}

		highest = max(highest, n)
	}

	return highest
}

// Guards against an infinite bound, computed as a mean over no targets, when a group has cold targets and none of
// its targets is reachable: calls would request slots from homes without end.
func TestBoundWithoutReachableTargets(t *testing.T) {
	i := is.New(t)
	now := time.Unix(1000, 0)
	d := discoverer.New(discoverer.DefaultSettings())
	s := selector.New(selector.DefaultSettings())
	s.ConfigureThrottling(throttler.Settings{Coverage: 1}, func() throttler.Fleet { return throttler.Fleet{} })

	for id, cold := range map[string]time.Duration{"warm": 0, "cold": time.Minute} {
		d.Set(discoverer.Target{ID: id, Group: group, DataCentre: "a", Slots: 8, ColdTime: cold}.WithReadTime(now, nil))
	}

	r := d.Registry()
	for _, x := range r.Known {
		s.Start(now, x)
		s.Finish(now, x, selector.Unreachable)
	}

	q := query(1)
	q.ColdRate, q.ColdFor = coldRate, coldFor

	o, ok := s.Choose(now, r, group, q)
	i.True(ok) // One call is sent to find out whether a target is reachable again.
	i.Equal(o.Target.ID, "warm")
	i.True(o.Bound < 10)
}

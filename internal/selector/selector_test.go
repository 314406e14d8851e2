package selector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

const group = "engines"

// registry returns a registry of n targets spread over the data centres.
func registry(n int, centres ...string) *discoverer.Registry {
	d := discoverer.New(discoverer.DefaultSettings())
	for i := range n {
		d.Set(discoverer.Target{
			ID: fmt.Sprintf("t%d", i), Group: group, DataCentre: centres[i%len(centres)], Slots: 64,
		})
	}

	return d.Registry()
}

func query(key uint64) selector.Query {
	return selector.Query{Prefixes: []selector.Prefix{{Key: key, Tokens: 10000}}, DataCentre: "a"}
}

// choose selects a target for a call and counts the call there.
func choose(s *selector.Selector, now time.Time, r *discoverer.Registry, q selector.Query) selector.Choice {
	x, ok := s.Choose(now, r, group, q)
	if !ok {
		panic("no target")
	}

	s.Start(now, x.Target)

	return x
}

// A quarter of all calls share one prompt. Guards against late answers because the one engine that has it
// cached is assigned all of these calls. Calls that exceed its bound are sent to other engines, always the
// same ones.
func TestHotPromptStaysWithinTheBound(t *testing.T) {
	for name, factor := range map[string]float64{"default": 0, "factor 2": 2, "factor 1.5": 1.5, "factor 3": 3} {
		t.Run(name, func(t *testing.T) { testHotPrompt(t, factor) })
	}
}

func testHotPrompt(t *testing.T, factor float64) {
	t.Helper()

	is := is.New(t)
	r := registry(9, "a", "b", "c")
	s := selector.New(selector.DefaultSettings().WithMaxFactor(factor))

	if factor == 0 {
		factor = 2
	}

	x := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)

	type call struct {
		target *discoverer.Target
		ends   time.Time
	}

	var calls []call

	running := map[string]int{}
	hot := map[string]bool{}

	for range 6000 {
		now = now.Add(10 * time.Millisecond)

		for len(calls) > 0 && !calls[0].ends.After(now) {
			s.Finish(now, calls[0].target, selector.Answered)
			running[calls[0].target.ID]--
			calls = calls[1:]
		}

		k := x.Uint64N(200)
		if x.Float64() < 0.28 {
			k = 0
		}

		o := choose(s, now, r, query(k+1))
		calls = append(calls, call{o.Target, now.Add(2 * time.Second)})
		running[o.Target.ID]++

		if k == 0 {
			hot[o.Target.ID] = true
		}

		mean := float64(len(calls)) / 9
		is.True(float64(running[o.Target.ID]) <= factor*mean+3)
	}

	is.True(factor < 2 || len(hot) <= 5) // Not all nine have computed the prompt.
}

// A data centre is partitioned. Guards against calls that are refused although most engines are healthy: each
// unreachable target costs a call a dial time-out, until the call has no attempts left.
func TestPartitionedDataCentreCostsTwoDials(t *testing.T) {
	is := is.New(t)
	r := registry(18, "a", "b", "c")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)
	dials := 0

	for i := range 300 {
		now = now.Add(time.Millisecond)
		o := choose(s, now, r, query(uint64(i+1)))

		if o.Target.DataCentre == "b" {
			dials++

			s.Finish(now, o.Target, selector.Unreachable)
		} else {
			s.Finish(now, o.Target, selector.Answered)
		}
	}

	is.Equal(dials, 2)

	out := s.HealthChanges()
	is.Equal(out[len(out)-1], selector.HealthChange{Cause: selector.CentreUnreachable, Source: selector.Own, Name: "b", Excluded: true})
	is.Equal(len(s.HealthChanges()), 0)

	// Once the partition has healed, one call detects it and others follow: those with new prompts, since
	// earlier ones are cached elsewhere by now.
	readmitted := 0

	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		o := choose(s, now, r, query(uint64(i+1000)))
		s.Finish(now, o.Target, selector.Answered)

		if o.Target.DataCentre == "b" {
			readmitted++
		}
	}

	is.True(readmitted > 30)

	in := s.HealthChanges()
	is.True(slices.Contains(in, selector.HealthChange{Cause: selector.CentreUnreachable, Source: selector.Own, Name: "b"}))
}

// An instance whose data centre is partitioned from all others reaches a fifth of the targets. Guards against
// panic mode, which would make it use the unreachable ones.
func TestPartitionedInstanceUsesLocalTargets(t *testing.T) {
	is := is.New(t)
	r := registry(20, "a", "b", "c", "d", "e")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)
	unreachable := 0

	for i := range 200 {
		now = now.Add(time.Millisecond)
		o := choose(s, now, r, query(uint64(i+1)))

		if o.Target.DataCentre != "a" {
			unreachable++

			s.Finish(now, o.Target, selector.Unreachable)
		} else {
			s.Finish(now, o.Target, selector.Answered)
		}
	}

	is.True(unreachable <= 8)
}

// The data centre of this instance is partitioned, and all targets of a group are in other data centres. Guards
// against calls that dial each of them in turn, a third of a second in total, before they are refused. One call in
// 100 ms probes the targets; the others are refused at once.
func TestUnreachableGroupIsProbed(t *testing.T) {
	is := is.New(t)
	r := registry(3, "b", "c", "d")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)
	dials, refused := 0, 0

	call := func(reached bool) bool {
		q := selector.Query{DataCentre: "a"}

		for range 3 {
			o, ok := s.Choose(now, r, group, q)
			if !ok {
				refused++

				return false
			}

			dials++
			q.Tried = append(q.Tried, o.Target.ID)
			s.Start(now, o.Target)

			if reached {
				s.Finish(now, o.Target, selector.Answered)

				return true
			}

			s.Finish(now, o.Target, selector.Unreachable)
		}

		return false
	}

	for range 500 {
		now = now.Add(10 * time.Millisecond)
		call(false)
	}

	is.True(dials < 70)
	is.True(refused > 400)

	// The end of the partition is noticed 100 ms later.
	served := 0

	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if call(true) {
			served++
		}
	}

	is.True(served >= 90)
}

// One engine is slow and never fails. Guards against answers that begin late while the engine is slow: calls that
// may run only once can't be sent to another engine afterwards.
func TestSlowTargetIsExcludedAndProbed(t *testing.T) {
	is := is.New(t)
	r := registry(6, "a")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)

	send := func(n int, slow bool) int {
		k := 0

		for range n {
			now = now.Add(10 * time.Millisecond)
			o := choose(s, now, r, query(uint64(now.UnixMilli())))
			p := 0.15

			if o.Target.ID == "t3" {
				k++

				if slow {
					p = 1.2
				}
			}

			s.ObserveLatency(now, o.Target, p)
			s.Finish(now, o.Target, selector.Answered)
		}

		return k
	}

	is.True(send(300, false) > 20)
	is.True(send(300, true) < 12)
	is.Equal(s.HealthChanges(), []selector.HealthChange{{Cause: selector.TargetSlow, Source: selector.Own, Name: "t3", Process: discoverer.Process{ID: "t3"}, Excluded: true}})
	send(600, false)
	is.True(send(300, false) > 20)
}

// A release replaces engines one by one. Guards against the prompts of the old engine being computed again
// while they can be fetched from it as it drains.
func TestPromptIsFetchedFromDrainingTarget(t *testing.T) {
	is := is.New(t)
	d := discoverer.New(discoverer.DefaultSettings())
	now := time.Unix(0, 0)
	d.Set(discoverer.Target{ID: "old", Group: group})

	s := selector.New(selector.DefaultSettings())
	o := choose(s, now, d.Registry(), query(7))
	is.Equal(o.FetchFrom, nil)

	d.Set(discoverer.Target{ID: "new", Group: group})
	d.Set(discoverer.Target{ID: "old", Group: group, Draining: true})

	o = choose(s, now, d.Registry(), query(7))
	is.Equal(o.Target.ID, "new")
	is.Equal(o.FetchFrom.ID, "old")

	o = choose(s, now, d.Registry(), query(7))
	is.Equal(o.FetchFrom, nil) // The new engine has the prompt cached now.
}

func TestPlacementsFromPeers(t *testing.T) {
	for name, x := range map[string]struct {
		holder string
		age    time.Duration
		fetch  bool
	}{
		"cached elsewhere":  {"t0", 0, true},
		"expired":           {"t0", -2 * time.Minute, false},
		"holder not listed": {"gone", 0, false},
		"no holder":         {"", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := registry(2, "a")
			s := selector.New(selector.DefaultSettings())
			q := query(9)
			q.Tried = []string{"t0"} // The call is sent to the other target in any case.

			if x.holder != "" {
				s.ApplyUpdate(now.Add(x.age), r, selector.Update{Placements: []selector.Placement{{Key: 9, Target: discoverer.Process{ID: x.holder}.Key().Name()}}})
			}

			o, ok := s.Choose(now, r, group, q)
			is.True(ok)
			is.Equal(o.Target.ID, "t1")
			is.Equal(o.FetchFrom != nil, x.fetch)
		})
	}
}

func TestPlacementIsRenotified(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	r := registry(1, "a")
	s := selector.New(selector.DefaultSettings())

	confirm := func(now time.Time) { s.ConfirmPlacements(now, choose(s, now, r, query(1))) }

	confirm(now)
	is.Equal(len(s.PendingUpdate().Placements), 1)
	confirm(now.Add(time.Second))
	is.Equal(len(s.PendingUpdate().Placements), 0)
	confirm(now.Add(30 * time.Second))
	is.Equal(len(s.PendingUpdate().Placements), 1)
}

// Guards against a fetch from a target that does not have the prompt: other instances were notified of a
// placement when the call was sent, while the target was still processing the prompt or had failed.
func TestPlacementIsNotifiedOnceProcessed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := discoverer.New(discoverer.DefaultSettings())
	d.Set(discoverer.Target{ID: "t", Group: group})

	s := selector.New(selector.DefaultSettings())
	x := choose(s, now, d.Registry(), query(1))
	is.Equal(len(s.PendingUpdate().Placements), 0)

	s.ConfirmPlacements(now, x)
	is.Equal(s.PendingUpdate().Placements, []selector.Placement{{Key: 1, Target: x.Target.Key().Name()}})

	// No notification is sent for a process that is no longer listed.
	y := choose(s, now.Add(time.Minute), d.Registry(), query(2))
	d.Remove(now.Add(time.Minute), "t")
	s.ApplyRegistry(now.Add(time.Minute), d.Registry())
	s.ConfirmPlacements(now.Add(time.Minute), y)
	is.Equal(len(s.PendingUpdate().Placements), 0)
}

// All instances lost power and all callers return at once. The engines still have the prompts cached, but the
// placements are unknown. Guards against prompts being computed again: calls that exceed the bound of the
// engine that had a prompt are sent to the next ones, which fetch it from there.
func TestPromptWithoutKnownHolder(t *testing.T) {
	now := time.Unix(0, 0)
	r := registry(9, "a", "b", "c")

	for name, x := range map[string]struct {
		tokens int
		// full reports whether the first target in the rendezvous order exceeds its bound, and unreachable
		// whether it can't be reached.
		full, unreachable bool
		want              bool
	}{
		"first has free slots": {tokens: 10_000},
		"first is full":        {tokens: 10_000, full: true, want: true},
		"a short prompt":       {tokens: 100, full: true},
		"first is unreachable": {tokens: 10_000, unreachable: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := query(7)
			q.Prefixes[0].Tokens = x.tokens

			first := choose(selector.New(selector.DefaultSettings()), now, r, q).Target
			s := selector.New(selector.DefaultSettings())

			if x.full {
				s.ReportLoad(now, first, selector.Load{Running: 60, Slots: 64})
			}

			if x.unreachable {
				s.Start(now, first)
				s.Finish(now, first, selector.Unreachable)
			}

			o := choose(s, now, r, q)
			is.Equal(o.Target != first, x.full || x.unreachable)
			is.Equal(o.FetchFrom == first, x.want)
			is.Equal(o.FetchFrom != nil, x.want)
		})
	}
}

func TestTargetThatShedsIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	r := registry(2, "a")
	s := selector.New(selector.DefaultSettings())

	o := choose(s, now, r, query(1))
	s.Finish(now, o.Target, selector.Shed)

	p := choose(s, now, r, query(1))
	is.True(p.Target.ID != o.Target.ID)
	s.Finish(now, p.Target, selector.Answered)

	// With both full, a call is still sent: only the target knows whether it has a free slot by now.
	s.Start(now, p.Target)
	s.Finish(now, p.Target, selector.Shed)
	choose(s, now, r, query(1))
}

func TestLoadReportsCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	r := registry(3, "a")
	s := selector.New(selector.DefaultSettings())

	o := choose(s, now, r, query(5))
	s.ReportLoad(now, o.Target, selector.Load{Running: 40, Slots: 64})

	p := choose(s, now, r, query(5))
	is.True(p.Target.ID != o.Target.ID)
	is.Equal(p.FetchFrom.ID, o.Target.ID)

	// A load report expires.
	now = now.Add(time.Minute / 2)
	s.Finish(now, p.Target, selector.Answered)
	s.Finish(now, o.Target, selector.Answered)
	is.Equal(choose(s, now, r, query(5)).Target.ID, o.Target.ID)
}

func TestCallsWithoutPromptPreferLocalTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	r := registry(2, "a", "b")
	s := selector.New(selector.DefaultSettings())
	q := selector.Query{DataCentre: "b"}
	remote := 0

	for range 50 {
		if choose(s, now, r, q).Target.DataCentre != "b" {
			remote++
		}
	}

	is.True(remote > 0 && remote < 20) // Calls stay local until the local target has 0.5 calls per slot more than the other.
}

func TestNoTarget(t *testing.T) {
	is := is.New(t)
	s := selector.New(selector.DefaultSettings())
	_, ok := s.Choose(time.Unix(0, 0), registry(1, "a"), "other", query(1))
	is.True(!ok)
}

func TestUnlistedProcess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	r := registry(1, "a")
	s := selector.New(selector.DefaultSettings())
	o := choose(s, now, r, query(1))

	s.ApplyRegistry(now, &discoverer.Registry{}) // A call is still running there.
	s.Finish(now, o.Target, selector.Answered)
	s.ApplyRegistry(now, &discoverer.Registry{})
	s.Finish(now, o.Target, selector.Answered) // The count does not become negative.
	is.Equal(choose(s, now, r, query(1)).Target.ID, o.Target.ID)
}

// Each of seventy instances has sent an engine few calls and does not know of the others' calls. Guards
// against an engine with a long queue being assigned more.
func TestLoadReportsFromPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := registry(3, "a")
	s := selector.New(selector.DefaultSettings())
	o, ok := s.Choose(now, r, group, query(5))
	is.True(ok)

	s.ApplyUpdate(now, r, selector.Update{Loads: []selector.TargetLoad{{Target: o.Target.Key().Name(), Calls: 40, At: now.Add(-time.Second / 2)}}})
	p, ok := s.Choose(now, r, group, query(5))
	is.True(ok)
	is.True(p.Target.ID != o.Target.ID)

	// An older report does not replace a newer one.
	s.ReportLoad(now, o.Target, selector.Load{Running: 1, Slots: 64})
	s.ApplyUpdate(now, r, selector.Update{Loads: []selector.TargetLoad{{Target: o.Target.Key().Name(), Calls: 40, At: now.Add(-time.Second)}}})
	is.Equal(s.PendingUpdate().Loads, []selector.TargetLoad{{Target: o.Target.Key().Name(), Calls: 1, At: now}})

	p, ok = s.Choose(now, r, group, query(5))
	is.True(ok)
	is.Equal(p.Target.ID, o.Target.ID)
}

// A third of the engines failed briefly and are healthy again, but this instance still excludes them. Guards
// against the others being filled to a multiple of their own mean, which is far above the mean of the group:
// all answers there began late. The bound applies to the whole group, and calls that fit nowhere are sent to
// the least loaded target.
func TestBoundCoversWholeGroup(t *testing.T) {
	i := is.New(t)
	r := registry(20, "a", "b", "c")
	s := selector.New(selector.DefaultSettings())
	x := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(0, 0)

	for n := range 7 {
		for range 3 {
			k := r.Known[fmt.Sprintf("t%d", n)]
			s.Start(now, k)
			s.Finish(now, k, selector.Failed)
		}
	}

	running := map[string]int{}

	// A fifth of the calls share one prompt.
	for n := range 200 {
		k := uint64(0)
		if x.Float64() > 0.2 {
			k = 1 + x.Uint64N(300)
		}

		o := choose(s, now.Add(time.Duration(n)*time.Millisecond), r, query(k+1))
		running[o.Target.ID]++

		// The guaranteed multiple of the mean, plus a constant that matters when there are few calls.
		i.True(float64(running[o.Target.ID]) <= 2*float64(n+1)/20+3)
	}
}

// A target that failed is half-open, and the caller of its one probe call disconnects. Guards against the
// target remaining excluded for ten more seconds although the probe call was inconclusive.
func TestInconclusiveProbeIsRepeated(t *testing.T) {
	for name, end := range map[string]func(s *selector.Selector, now time.Time, k *discoverer.Target){
		"the caller disconnects": func(s *selector.Selector, now time.Time, k *discoverer.Target) {
			s.Finish(now, k, selector.Inconclusive)
		},
		"the answer has begun":   func(s *selector.Selector, now time.Time, k *discoverer.Target) { s.ObserveLatency(now, k, 0.1) },
		"the answer is complete": func(s *selector.Selector, now time.Time, k *discoverer.Target) { s.Finish(now, k, selector.Answered) },
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := registry(3, "a")
			s := selector.New(selector.DefaultSettings())
			now := time.Unix(0, 0)
			k := r.Known["t0"]

			for range 3 {
				s.Start(now, k)
				s.Finish(now, k, selector.Failed)
			}

			now = now.Add(2 * time.Second)
			s.Start(now, k)
			end(s, now, k)

			var seen bool

			for n := range uint64(100) {
				o, ok := s.Choose(now.Add(time.Millisecond), r, group, query(n))
				i.True(ok)

				seen = seen || o.Target.ID == "t0"
			}

			i.True(seen)
		})
	}
}

// Guards against metrics that do not show the health status of targets.
func TestTargetStates(t *testing.T) {
	i := is.New(t)
	r := registry(3, "a", "b", "c")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)

	s.Start(now, r.Known["t1"])
	s.Start(now, r.Known["t2"])
	s.Finish(now, r.Known["t2"], selector.Unreachable)

	v := s.TargetStates(now, r)
	i.Equal(len(v), 3)
	i.Equal(v[1].Load, 1.0)
	i.True(!v[1].Excluded)
	i.Equal(v[2].Target.ID, "t2")
	i.True(v[2].Excluded)
}

// A data centre is partitioned. Guards against its instances refusing callers repeatedly while instances of
// other data centres could serve them: an instance must detect that it is on the minority side of a partition.
// In an even split neither side is.
func TestInstanceDetectsPartition(t *testing.T) {
	tests := map[string]struct {
		centres, unreachable []string
		want                 bool
	}{
		"none":              {centres: []string{"a", "b", "c", "d"}},
		"one of four":       {centres: []string{"a", "b", "c", "d"}, unreachable: []string{"b"}},
		"half":              {centres: []string{"a", "b", "c", "d"}, unreachable: []string{"b", "c"}},
		"all but the local": {centres: []string{"a", "b", "c", "d"}, unreachable: []string{"b", "c", "d"}, want: true},
		"the local too":     {centres: []string{"a", "b", "c"}, unreachable: []string{"a", "b", "c"}, want: true},
		"one of two":        {centres: []string{"a", "b"}, unreachable: []string{"b"}},
		"the only one":      {centres: []string{"a"}, unreachable: []string{"a"}, want: true},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := registry(3*len(x.centres), x.centres...)
			s := selector.New(selector.DefaultSettings())
			now := time.Unix(0, 0)

			for _, k := range r.Known {
				if slices.Contains(x.unreachable, k.DataCentre) {
					s.Start(now, k)
					s.Finish(now, k, selector.Unreachable)
				}
			}

			l := s.PartitionProbes(r)
			i.Equal(len(l) > 0, x.want)

			if !x.want {
				return
			}

			i.Equal(len(l), len(x.unreachable)) // One to probe in each data centre.

			// One answer from each data centre ends the partition.
			for _, k := range l {
				s.Finish(now, k, selector.Answered)
			}

			i.Equal(len(s.PartitionProbes(r)), 0)
		})
	}
}

// A target crashed and another process has its address, which refuses each call as misdirected until the
// registry drops the target seconds later. One such answer is sufficient to exclude it.
func TestReplacedTargetIsExcluded(t *testing.T) {
	i := is.New(t)
	r := registry(3, "a")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)

	s.Start(now, r.Known["t0"])
	s.Finish(now, r.Known["t0"], selector.Gone)

	for n := range uint64(200) {
		now = now.Add(10 * time.Millisecond)
		o, ok := s.Choose(now, r, group, query(n))
		i.True(ok)
		i.True(o.Target.ID != "t0")
	}

	i.True(s.TargetStates(now, r)[0].Excluded)
}

// Targets of a data centre crash one after the other, and calls to them are refused a connection. Guards
// against two consecutive crashes being considered a network partition: the healthy targets of the data centre
// were excluded for half a second repeatedly, and an instance that saw this in more than half of the data
// centres redirected its callers.
func TestCrashesAreNoPartition(t *testing.T) {
	i := is.New(t)
	r := registry(6, "a", "b")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)

	for _, id := range []string{"t0", "t2"} { // Both of "a".
		s.Start(now, r.Known[id])
		s.Finish(now, r.Known[id], selector.Crashed)
	}

	for _, b := range s.HealthChanges() {
		i.Equal(b.Cause, selector.TargetUnreachable)
	}

	called := make(map[string]bool)

	for n := range uint64(50) {
		o, ok := s.Choose(now, r, group, query(n))
		i.True(ok)

		called[o.Target.ID] = true
	}

	i.True(called["t4"]) // The healthy one of "a".
	i.True(!called["t0"])
	i.True(!called["t2"])
}

// Other targets of its data centre, the healthy ones first, show whether a target crashed or is partitioned.
// Targets of other data centres only count if its own has no other target.
func TestWitnesses(t *testing.T) {
	for name, x := range map[string]struct {
		targets int
		centres []string
		crashed []string
		// want are the healthy witnesses, which come first in any order, and wantCrashed those after them.
		want, wantCrashed []string
	}{
		"others of its data centre": {6, []string{"a", "b"}, nil, []string{"t2", "t4"}, nil},
		"another crashed too":       {6, []string{"a", "b", "a"}, []string{"t2"}, []string{"t3", "t5"}, []string{"t2"}},
		"all others crashed":        {6, []string{"a", "b"}, []string{"t2", "t4"}, nil, []string{"t2", "t4"}},
		"the only one there":        {6, []string{"a", "b", "c", "d", "e", "f"}, []string{"t1", "t2", "t3"}, []string{"t4", "t5"}, []string{"t1", "t2", "t3"}},
		"more than are probed":      {10, []string{"a"}, []string{"t1", "t2", "t3"}, []string{"t4", "t5", "t6", "t7", "t8", "t9"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := registry(x.targets, x.centres...)
			s := selector.New(selector.DefaultSettings())
			now := time.Unix(0, 0)

			for _, id := range x.crashed {
				s.Start(now, r.Known[id])
				s.Finish(now, r.Known[id], selector.Crashed)
			}

			var o []string
			for _, y := range s.Witnesses(now, r, r.Known["t0"]) {
				o = append(o, y.ID)
			}

			i.Equal(len(o), len(x.want)+len(x.wantCrashed))
			slices.Sort(o[:len(x.want)])
			slices.Sort(o[len(x.want):])
			i.Equal(o, slices.Concat(x.want, x.wantCrashed))
		})
	}
}

// Guards against calls to a target after another instance notified this one that the target was replaced at its
// address. The notification applies only to a process that this instance's registry lists.
func TestGoneReportedByPeer(t *testing.T) {
	i := is.New(t)
	r := registry(3, "a")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)

	for _, p := range []discoverer.Process{{ID: "unknown"}, {ID: "t0", Start: startedAt}} {
		s.ReportGone(now, r, p)
		i.Equal(len(s.HealthChanges()), 0) // The process is not listed.
	}

	s.ReportGone(now, r, discoverer.Process{ID: "t0"})
	i.Equal(s.HealthChanges(), []selector.HealthChange{
		{Cause: selector.TargetGone, Source: selector.Peer, Name: "t0", Process: discoverer.Process{ID: "t0"}, Excluded: true},
	})

	s.ReportGone(now, r, discoverer.Process{ID: "t0"})
	s.Start(now, r.Known["t0"])
	s.Finish(now, r.Known["t0"], selector.Gone)
	i.Equal(len(s.HealthChanges()), 0) // The target is already excluded, so the instance's own observation changes nothing.

	for n := range uint64(50) {
		o, ok := s.Choose(now, r, group, query(n))
		i.True(ok)
		i.True(o.Target.ID != "t0")
	}

	i.Equal(len(s.HealthChanges()), 0)

	// When the exclusion is over, the target is readmitted like one that this instance excluded itself.
	now = now.Add(time.Minute)
	s.Start(now, r.Known["t0"])
	s.Finish(now, r.Known["t0"], selector.Answered)
	i.Equal(s.HealthChanges(), []selector.HealthChange{
		{Cause: selector.TargetGone, Source: selector.Own, Name: "t0", Process: discoverer.Process{ID: "t0"}},
	})
}

package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/searcher"
	"github.com/auburntray/auburntray/internal/selector"
)

const (
	// narrowInstances have all just started. Each hears of the others' load reports after narrowLag.
	narrowInstances = 6
	narrowTargets   = 18
	narrowLag       = 100 * time.Millisecond
	// narrowHerd is the number of calls that arrive at once and that only a few targets may run.
	narrowHerd = 150
	// narrowPerStep is the number of other calls per narrowStep; a call lasts about narrowMean.
	narrowPerStep = 1
	narrowStep    = 5 * time.Millisecond
	narrowMean    = time.Second
	// narrowSpread is the time over which callers come that use the same part of a prompt.
	narrowSpread = 300 * time.Millisecond
	// narrowTries is how often a call that was refused comes again.
	narrowTries = 3
)

// narrowReplay simulates instances that know nothing at first, and targets that report their load when an answer begins.
type narrowReplay struct {
	random    *rand.Rand
	registry  *discoverer.Registry
	instances []*selector.Selector
	homes     *aggregator.Aggregator
	load      map[string]int
	begin     time.Time
	now       time.Time
	events    map[int][]func()
	// arrivals counts the calls sent since the herd came, and crowded those of them that reached a target that held over twice the
	// mean, and three more. refused counts the refusals of the herd's calls, and served how many of these were sent.
	arrivals, crowded, refused, served int
	lastID                             uint64
}

func newNarrowReplay(seed uint64, r *discoverer.Registry) *narrowReplay {
	o := &narrowReplay{
		random: rand.New(rand.NewPCG(seed, 1)), registry: r, homes: aggregator.New(), load: make(map[string]int),
		begin: time.Unix(1000, 0), events: make(map[int][]func()),
	}

	for range narrowInstances {
		o.instances = append(o.instances, selector.New(selector.DefaultSettings()))
	}

	return o
}

// after runs a function once the given time has passed.
func (r *narrowReplay) after(d time.Duration, f func()) {
	n := int(r.now.Add(max(d, narrowStep)).Sub(r.begin) / narrowStep)
	r.events[n] = append(r.events[n], f)
}

// choose selects a target as a forwarder does, with a slot from the target's home where the call must have one.
func (r *narrowReplay) choose(s *selector.Selector, q selector.Query) (selector.Choice, aggregator.ID, bool) {
	r.lastID++
	id := aggregator.ID{Number: r.lastID}
	h := searcher.Searcher{Prompt: true}

	for {
		q.Declined = h.FullCount()

		x, ok := s.Choose(r.now, r.registry, group, q)
		if !ok {
			return x, id, false
		}

		s.StartChoice(r.now, x)

		if !x.Narrowed {
			return x, id, true
		}

		h.Bounded = true
		v := r.homes.Reserve(r.now, aggregator.Request{
			ID: id, Target: x.Target.Key().Name(), MaxCalls: h.MaxCalls(x.Bound), Deadline: r.now.Add(time.Minute),
		})

		// As in a small fleet, the home counts the calls with slots until it is told of the others.
		if n := int(x.Load); v.Outcome == aggregator.Granted && n > v.Calls+2 {
			r.homes.Report(r.now, x.Target.Key().Name(), n)
		}

		switch h.Next(v.Outcome) {
		case searcher.Send:
			return x, id, true
		case searcher.Refuse:
			s.Decline(r.now, x, v.Calls)

			return x, id, false
		case searcher.TryNext:
			s.Decline(r.now, x, v.Calls)
		}
	}
}

// call sends a call and reports whether a target was found.
func (r *narrowReplay) call(q selector.Query) bool {
	s := r.instances[r.random.IntN(len(r.instances))]

	x, id, ok := r.choose(s, q)
	if !ok {
		return false
	}

	t := x.Target
	r.record(t)
	r.load[t.ID]++

	r.after(50*time.Millisecond, func() {
		n := r.load[t.ID]
		at := r.now
		s.ReportLoad(at, t, selector.Load{Running: n, Slots: t.Slots})

		if x.Narrowed {
			r.homes.Report(at, t.Key().Name(), n)
		}

		r.after(narrowLag, func() {
			for _, y := range r.instances {
				if y != s {
					y.ApplyUpdate(r.now, r.registry, selector.Update{Loads: []selector.TargetLoad{{Target: t.Key().Name(), Calls: n, At: at}}})
				}
			}
		})
	})
	r.after(time.Duration((0.5+r.random.Float64())*float64(narrowMean)), func() {
		r.load[t.ID]--
		s.FinishChoice(r.now, x, selector.Answered)

		if x.Narrowed {
			r.homes.Release(r.now, t.Key().Name(), id, aggregator.Answered, 0)
		}
	})

	return true
}

// record records a call that arrives at a target before the target holds it.
func (r *narrowReplay) record(t *discoverer.Target) {
	if r.refused+r.served == 0 {
		return
	}

	n := 0
	for _, l := range r.load {
		n += l
	}

	r.arrivals++

	if float64(r.load[t.ID]) > 2*float64(n)/narrowTargets+3 {
		r.crowded++
	}
}

// herdCall sends one of the calls that only a few targets may run.
func (r *narrowReplay) herdCall(q selector.Query, tries int) {
	if r.call(q) {
		r.served++

		return
	}

	r.refused++

	if tries > 1 {
		r.after(time.Duration((0.75+0.5*r.random.Float64())*float64(time.Second)), func() { r.herdCall(q, tries-1) })
	}
}

// run lets the herd come two seconds after the instances have started. The function before is called first; the prefixes of the
// herd's calls are drawn unless it has some. They come within the time spread.
func (r *narrowReplay) run(herd selector.Query, spread time.Duration, before func(r *narrowReplay)) {
	for i := range int(6 * time.Second / narrowStep) {
		r.now = r.begin.Add(time.Duration(i) * narrowStep)

		for _, f := range r.events[i] {
			f()
		}

		for range narrowPerStep {
			r.call(query(r.random.Uint64()))
		}

		if r.now.Sub(r.begin) == 2*time.Second {
			before(r)

			for range narrowHerd {
				q := herd
				if len(q.Prefixes) == 0 {
					q.Prefixes = query(r.random.Uint64()).Prefixes
				}

				if spread == 0 {
					r.herdCall(q, narrowTries)
				} else {
					r.after(time.Duration(r.random.Int64N(int64(spread))), func() { r.herdCall(q, narrowTries) })
				}
			}
		}
	}
}

// narrowRegistry returns a registry of targets of which the first few are of version v1, and the others of v2, in three data
// centres.
func narrowRegistry(old int) *discoverer.Registry {
	d := discoverer.New(discoverer.DefaultSettings())

	for i := range narrowTargets {
		v, c := "v2", []string{"a", "b"}[i%2]
		if i < old {
			v = "v1"
		}

		if i < 2 {
			c = "c"
		}

		d.Set(discoverer.Target{ID: fmt.Sprintf("t%d", i), Group: group, DataCentre: c, Slots: 64, Version: v})
	}

	return d.Registry()
}

// Guards against calls that all crowd the few targets that may run them after a loss of all instances: the bound on a target's
// load was a multiple of the mean of these few targets, which rises with each call that they get.
func TestFewTargetsAreNotCrowded(t *testing.T) {
	for name, x := range map[string]struct {
		old  int
		herd selector.Query
	}{
		"one target of the version":      {1, selector.Query{Version: discoverer.VersionOf("v1")}},
		"three targets of the version":   {3, selector.Query{Version: discoverer.VersionOf("v1")}},
		"a data centre with two targets": {0, selector.Query{Centres: map[string]bool{"c": true}}},
		"a shard of the targets":         {0, selector.Query{Sharded: true, Customer: 7}},
		"a version in a data centre":     {3, selector.Query{Version: discoverer.VersionOf("v1"), Centres: map[string]bool{"c": true}}},
		"another instance's links":       {1, selector.Query{Version: discoverer.VersionOf("v1"), Route: selector.Delegated}},
		"all targets":                    {0, selector.Query{}},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				i := is.New(t)
				r := newNarrowReplay(seed, narrowRegistry(x.old))
				x.herd.DataCentre = "a"
				r.run(x.herd, 0, func(*narrowReplay) {})

				t.Logf("%d of %d arrivals crowd a target, %d of the herd served, %d refusals", r.crowded, r.arrivals, r.served, r.refused)
				i.True(r.crowded <= max(20, 3*r.arrivals/100))
				i.True(r.served > 0)
			})
		}
	}
}

// narrowCase is a reason why calls go to a few targets though others of the group may run them.
type narrowCase struct {
	herd   selector.Query
	before func(r *narrowReplay)
}

// everywhere calls a function for each instance and each target of a data centre.
func (r *narrowReplay) everywhere(centre string, f func(s *selector.Selector, t *discoverer.Target)) {
	for _, s := range r.instances {
		for _, t := range r.registry.Groups[group] {
			if t.DataCentre == centre {
				f(s, t)
			}
		}
	}
}

// cache records at all instances that targets have prefixes cached.
func (r *narrowReplay) cache(l map[uint64]string) {
	for _, s := range r.instances {
		for k, t := range l {
			s.ApplyUpdate(r.now, r.registry, selector.Update{Placements: []selector.Placement{{Key: k, Target: r.registry.Known[t].Key().Name()}}})
		}
	}
}

func testNarrowCases(t *testing.T, l map[string]narrowCase) {
	t.Helper()

	for name, x := range l {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				i := is.New(t)
				r := newNarrowReplay(seed, narrowRegistry(0))
				x.herd.DataCentre = "a"
				r.run(x.herd, narrowSpread, x.before)

				t.Logf("%d of %d arrivals crowd a target, %d of the herd served, %d refusals", r.crowded, r.arrivals, r.served, r.refused)
				i.True(r.crowded <= max(20, 3*r.arrivals/100))
				i.True(r.served > 0)
			})
		}
	}
}

// Guards against calls that crowd the targets that are left, since the others are avoided.
func TestTargetsThatAreLeftAreNotCrowded(t *testing.T) {
	testNarrowCases(t, map[string]narrowCase{
		"a data centre whose targets rest": {selector.Query{}, func(r *narrowReplay) {
			r.everywhere("b", func(s *selector.Selector, t *discoverer.Target) { s.StartBackoff(r.now, t, 2*time.Second) })
		}},
		"a data centre that is not reached": {selector.Query{}, func(r *narrowReplay) {
			r.everywhere("b", func(s *selector.Selector, t *discoverer.Target) {
				s.Start(r.now, t)
				s.Finish(r.now, t, selector.Unreachable)
			})
		}},
		"a data centre whose targets are cold": {selector.Query{ColdRate: 5, ColdFor: 3 * time.Second}, func(r *narrowReplay) {
			o := *r.registry
			o.Reopened = map[string]time.Time{"b": r.now}
			r.registry = &o
		}},
		"through another instance": {selector.Query{Route: selector.Delegated}, func(*narrowReplay) {}},
	})
}

// Guards against callers that return at once after a loss of all instances and crowd the target that holds their part, or the
// targets outside an evacuated data centre, before the instances know of each other's calls.
func TestHerdIsSpreadWithinTheBound(t *testing.T) {
	testNarrowCases(t, map[string]narrowCase{
		"the only holder of a part": {selector.Query{Prefixes: query(5).Prefixes}, func(r *narrowReplay) {
			r.cache(map[uint64]string{5: "t7"})
		}},
		"a part of which no holder is known": {selector.Query{Prefixes: query(5).Prefixes}, func(*narrowReplay) {}},
		"a resumed chat": {selector.Query{Prefixes: []selector.Prefix{{Key: 5, Tokens: 9000}, {Key: 6, Tokens: 300}}}, func(r *narrowReplay) {
			r.cache(map[uint64]string{5: "t7", 6: "t9"})
		}},
		"an evacuated data centre": {selector.Query{}, func(r *narrowReplay) {
			r.registry = r.registry.WithEvacuated(func(c string) bool { return c == "b" }, nil)
		}},
	})
}

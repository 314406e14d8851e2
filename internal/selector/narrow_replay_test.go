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
func (r *narrowReplay) choose(s *selector.Selector, q selector.Query, counted bool) (selector.Choice, aggregator.ID, bool) {
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

		if !counted {
			return x, id, true
		}

		h.Bounded = x.Narrowed
		v := r.homes.Reserve(r.now, aggregator.Request{
			ID: id, Target: x.Target.Key().Name(), MaxCalls: h.MaxCalls(x.Bound), Deadline: r.now.Add(time.Minute),
		})

		// As in a small fleet, the home counts the calls with slots until it is told of the others.
		if n := int(x.Load); x.Narrowed && v.Outcome == aggregator.Granted && n > v.Calls+2 {
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
func (r *narrowReplay) call(q selector.Query, counted bool) bool {
	s := r.instances[r.random.IntN(len(r.instances))]

	x, id, ok := r.choose(s, q, counted)
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

		if counted {
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

		if counted {
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
	if r.call(q, true) {
		r.served++

		return
	}

	r.refused++

	if tries > 1 {
		r.after(time.Duration((0.75+0.5*r.random.Float64())*float64(time.Second)), func() { r.herdCall(q, tries-1) })
	}
}

func (r *narrowReplay) run(herd selector.Query) {
	for i := range int(6 * time.Second / narrowStep) {
		r.now = r.begin.Add(time.Duration(i) * narrowStep)

		for _, f := range r.events[i] {
			f()
		}

		for range narrowPerStep {
			r.call(query(r.random.Uint64()), false)
		}

		if r.now.Sub(r.begin) == 2*time.Second {
			for range narrowHerd {
				q := herd
				q.Prefixes = query(r.random.Uint64()).Prefixes
				r.herdCall(q, narrowTries)
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
				r.run(x.herd)

				t.Logf("%d of %d arrivals crowd a target, %d of the herd served, %d refusals", r.crowded, r.arrivals, r.served, r.refused)
				i.True(r.crowded <= max(20, 3*r.arrivals/100))
				i.True(r.served > 0)
			})
		}
	}
}

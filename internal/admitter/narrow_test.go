package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/admitter"
	"github.com/auburntray/auburntray/internal/discoverer"
)

func narrowScope() admitter.Scope {
	return admitter.Scope{Group: "engines", Version: discoverer.VersionOf("v1")}
}

// Guards against a herd of calls that wait for each other's prompts at the last target of their version until their callers
// leave, and against room that stays unused once calls begin in time.
func TestNarrowWindow(t *testing.T) {
	const within = time.Second

	for name, x := range map[string]struct {
		room admitter.Room
		// first is the time until the calls of the first herd begin, and want how many calls of the first and of the second
		// herd are admitted.
		first time.Duration
		want  [2]int
	}{
		"calls begin in time":          {admitter.Room{Targets: 1, Slots: 64, Places: 40, Instances: 4, Within: within}, 100 * time.Millisecond, [2]int{4, 6}},
		"calls begin late":             {admitter.Room{Targets: 1, Slots: 64, Places: 40, Instances: 4, Within: within}, 2 * time.Second, [2]int{4, 2}},
		"calls never begin":            {admitter.Room{Targets: 1, Slots: 64, Places: 40, Instances: 4, Within: within}, 0, [2]int{4, 2}},
		"three targets":                {admitter.Room{Targets: 3, Slots: 64, Places: 120, Instances: 4, Within: within}, 2 * time.Second, [2]int{12, 6}},
		"more instances than slots":    {admitter.Room{Targets: 1, Slots: 64, Places: 40, Instances: 900, Within: within}, 2 * time.Second, [2]int{1, 1}},
		"instances not known yet":      {admitter.Room{Targets: 3, Slots: 64, Places: 40, Within: within}, 100 * time.Millisecond, [2]int{3, 5}},
		"no latency objective":         {admitter.Room{Targets: 1, Slots: 64, Places: 40, Instances: 4}, 2 * time.Second, [2]int{100, 100}},
		"slots are not known":          {admitter.Room{Targets: 1, Places: 40, Instances: 4, Within: within}, 2 * time.Second, [2]int{100, 100}},
		"calls begin just not in time": {admitter.Room{Targets: 1, Slots: 64, Places: 40, Instances: 4, Within: within}, within + time.Millisecond, [2]int{4, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			n := admitter.NewNarrow()
			now := time.Unix(1000, 0)

			herd := func() []*admitter.Place {
				var o []*admitter.Place

				for c := range uint64(100) {
					if p := n.Admit(now, narrowScope(), uint32(c), c+1, x.room); p != nil {
						o = append(o, p)
					}
				}

				return o
			}

			l := herd()
			i.Equal(len(l), x.want[0])

			now = now.Add(x.first)

			if x.first == 0 {
				now = now.Add(3 * time.Second)
			}

			for _, p := range l {
				if x.first > 0 {
					p.Begin(now)
				}
			}

			for _, p := range l {
				p.End(now)
				p.End(now)
				p.Cancel(now)
			}

			i.Equal(len(herd()), x.want[1])
		})
	}
}

// Guards against refused calls that are told to return at the same time or long before there is room, and against one that
// returns too early and loses its turn.
func TestNarrowReturns(t *testing.T) {
	i := is.New(t)
	n := admitter.NewNarrow()
	now := time.Unix(1000, 0)
	r := admitter.Room{Targets: 1, Slots: 64, Places: 20, Instances: 5}

	// A call lasts 2 s and 20 places serve five instances: this one has a free place each half second.
	i.Equal(n.Refuse(now, narrowScope(), 1, 11, r), 500*time.Millisecond)
	i.Equal(n.Refuse(now, narrowScope(), 1, 12, r), time.Second)
	i.Equal(n.Refuse(now, narrowScope(), 1, 11, r), 500*time.Millisecond)

	// Customers take turns.
	i.Equal(n.Refuse(now, narrowScope(), 2, 21, r), time.Second)
	i.Equal(n.Refuse(now, narrowScope(), 2, 22, r), 2*time.Second)

	i.Equal(n.Wanted(now, "engines"), []discoverer.Version{narrowScope().Version})
	i.Equal(len(n.Wanted(now, "others")), 0)

	// A call that was admitted no longer counts.
	p := n.Admit(now, narrowScope(), 1, 11, r)
	i.True(p != nil)
	i.Equal(n.Refuse(now, narrowScope(), 1, 12, r), time.Second)

	// Calls that do not return are forgotten.
	p.End(now)

	now = now.Add(time.Minute)
	i.Equal(len(n.Wanted(now, "engines")), 0)
	i.Equal(n.Refuse(now, narrowScope(), 3, 31, r), 500*time.Millisecond)

	// The time is bounded, and at least that of a full target.
	for c := range uint64(2000) {
		i.True(n.Refuse(now, narrowScope(), 4, c+1, r) <= 10*time.Second)
	}

	r.Places = 10000
	i.Equal(n.Refuse(now, narrowScope(), 3, 31, r), 250*time.Millisecond)
}

// narrowCustomer is a customer of the replay. Each of its calls comes until it was admitted, at most maxNarrowTries times.
type narrowCustomer struct {
	calls, served int
}

const maxNarrowTries = 4

// Guards against a customer with many resumed streams that takes all places of their version: a customer with few must be served
// nearly as if it were alone, and no place may stay free while calls wait.
func TestNarrowIsFair(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			i := is.New(t)
			x := rand.New(rand.NewPCG(seed, 1))
			n := admitter.NewNarrow()
			r := admitter.Room{Targets: 1, Slots: 64, Places: 16, Instances: 1, Within: time.Second}

			type event struct {
				at       time.Duration
				customer int
				call     uint64
				try      int
				end      *admitter.Place
			}

			var l []event

			// The first customer has ten times the calls of each other one.
			c := []narrowCustomer{{calls: 200}, {calls: 20}, {calls: 20}, {calls: 20}}
			id := uint64(0)

			for k := range c {
				for range c[k].calls {
					id++
					l = append(l, event{at: time.Duration(x.Int64N(int64(8 * time.Second))), customer: k, call: id})
				}
			}

			running := 0

			for len(l) > 0 {
				slices.SortStableFunc(l, func(a, b event) int { return int(a.at - b.at) })

				e := l[0]
				l = l[1:]
				now := time.Unix(1000, 0).Add(e.at)

				if e.end != nil {
					e.end.End(now)

					running--

					continue
				}

				var p *admitter.Place

				// The target's places are counted elsewhere.
				if running < int(r.Places) {
					p = n.Admit(now, narrowScope(), uint32(e.customer), e.call, r)
				}

				if p == nil {
					w := n.Refuse(now, narrowScope(), uint32(e.customer), e.call, r)

					if e.try++; e.try < maxNarrowTries {
						e.at += time.Duration((0.75 + x.Float64()/2) * float64(w))
						l = append(l, e)
					}

					continue
				}

				running++
				c[e.customer].served++

				p.Begin(now.Add(50 * time.Millisecond))
				l = append(l, event{at: e.at + time.Duration((0.5+x.Float64())*float64(time.Second)), end: p})
			}

			total := 0
			for k := range c {
				total += c[k].served
			}

			t.Logf("served %v, %d in all", c, total)

			for _, k := range c[1:] {
				i.True(k.served >= 18)
			}

			// Of 260 calls, 128 or so find room as they come; the others return until they do.
			i.True(total >= 230)
		})
	}
}

package tallier_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/tallier"
)

const (
	instances = 295
	targets   = 192
	// rate is the calls a second of the whole fleet.
	rate = 1500
	// hot is the part of them that share one prompt, and prompts how many others there are.
	hot     = 0.12
	prompts = 500
	// tellEvery is how often an instance tells the others what it saw: 16 ms for each.
	tellEvery = instances * 16 * time.Millisecond
	// lasts is how long a call runs on average.
	lasts = 400 * time.Millisecond
	// asks is how many homes a call asks.
	asks = 5
)

// running is a call at a target.
type running struct {
	by     int
	target *enroller.Target
	ends   time.Time
	id     tallier.ID
}

type queue []running

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].ends.Before(q[b].ends) }
func (q queue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)        { *q = append(*q, x.(running)) }
func (q *queue) Pop() any {
	l := *q
	x := l[len(l)-1]
	*q = l[:len(l)-1]

	return x
}

// replay is a fleet of instances that choose targets, and tell each other what these say.
type replay struct {
	random   *rand.Rand
	roster   *enroller.Roster
	choosers []*selector.Selector
	tallier  *tallier.Tallier
	calls    queue
	at       map[string]int
	number   uint64
	// sent are the calls since the first second, and over those at a target that then had
	// more than twice the mean and three.
	sent, over int
}

func newReplay(homes bool) *replay {
	e := enroller.New(enroller.DefaultSettings())

	for n := range targets {
		e.Set(enroller.Target{
			ID: fmt.Sprintf("t%d", n), Group: "g", DataCentre: fmt.Sprintf("dc%d", n%6), Slots: 12,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
		})
	}

	r := &replay{random: rand.New(rand.NewPCG(1, 2)), roster: e.Roster(), at: make(map[string]int)}

	for range instances {
		c := selector.New(selector.DefaultSettings())
		c.ApplyRegistry(time.Unix(0, 0), r.roster)
		r.choosers = append(r.choosers, c)
	}

	if homes {
		r.tallier = tallier.New()
	}

	return r
}

// call sends one call of an instance to a target.
func (r *replay) call(now time.Time) {
	n := r.random.IntN(instances)

	k := uint64(1)
	if r.random.Float64() >= hot {
		k += 1 + r.random.Uint64N(prompts)
	}

	r.number++
	x := running{by: n, ends: now.Add(time.Duration(r.random.ExpFloat64() * float64(lasts))), id: tallier.ID{Number: r.number}}
	x.target = r.choose(now, n, k, x.id)

	r.at[x.target.ID]++
	heap.Push(&r.calls, x)

	r.sent++

	if float64(r.at[x.target.ID]) > 2*float64(len(r.calls))/targets+3 {
		r.over++
	}

	r.choosers[n].ReportLoad(now, x.target, selector.LoadReport{Running: r.at[x.target.ID], Slots: x.target.Slots})
}

func (r *replay) choose(now time.Time, n int, key uint64, id tallier.ID) *enroller.Target {
	c := r.choosers[n]

	for i := 1; ; i++ {
		o, _ := c.Choose(now, r.roster, "g", selector.Query{Prefixes: []selector.Prefix{{Key: key, Tokens: 1000}}, Declined: i - 1, Draw: id.Number})
		c.Start(now, o.Target)

		if r.tallier == nil {
			return o.Target
		}

		v := r.tallier.Reserve(now, tallier.Request{ID: id, Target: o.Target.Key().Name(), Most: int(o.Bound), Until: now.Add(time.Minute)})
		if v.Outcome == tallier.Granted || i == asks {
			return o.Target
		}

		c.Decline(now, o, v.Calls)
	}
}

// end ends the calls that are over.
func (r *replay) end(now time.Time) {
	for len(r.calls) > 0 && !r.calls[0].ends.After(now) {
		x := heap.Pop(&r.calls).(running)
		r.at[x.target.ID]--
		r.choosers[x.by].Finish(now, x.target, selector.Answered)

		if r.tallier != nil {
			r.tallier.Release(now, x.target.Key().Name(), x.id, tallier.Well, 0)
		}
	}
}

// tell has one instance tell all others what it saw.
func (r *replay) tell(now time.Time, n int) {
	w := r.choosers[n].PendingUpdate()

	for m, c := range r.choosers {
		if m != n {
			c.ApplyUpdate(now, r.roster, w)
		}
	}
}

// run plays some seconds and returns the part of the calls that came to a target above its
// limit, leaving out the first second.
func (r *replay) run(seconds int) float64 {
	told := 0

	for step := range seconds * rate {
		now := start.Add(time.Duration(step) * time.Second / rate)
		r.end(now)
		r.call(now)

		for ; told < int(now.Sub(start)*instances/tellEvery); told++ {
			r.tell(now, told%instances)
		}

		if step == rate {
			r.sent, r.over = 0, 0
		}
	}

	return float64(r.over) / float64(r.sent)
}

// An eighth of the calls of 295 instances share a prompt. Each instance sees a few calls a
// second and hears of the others' seconds later: they bury the engine that holds the prompt,
// see it buried, and leave together for the next. No more than 3 in 100 calls may come to an
// engine with more than twice the mean and three.
func TestHotPromptOfALargeFleet(t *testing.T) {
	i := is.New(t)

	alone, counted := newReplay(false).run(4), newReplay(true).run(4)
	t.Logf("calls to a target above its limit: %.4f alone, %.4f with homes", alone, counted)

	i.True(alone > 0.03)
	i.True(counted <= 0.03)
}

package aggregator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

const (
	instances = 295
	targets   = 192
	// rate is the number of calls per second of the whole fleet.
	rate = 1500
	// hotFraction is the fraction of calls that share one prompt, and prompts is the number of others.
	hotFraction = 0.12
	prompts     = 500
	// notifyInterval is the time between two load updates of an instance to the others, 16 ms per
	// instance.
	notifyInterval = instances * 16 * time.Millisecond
	// meanDuration is the mean duration of a call.
	meanDuration = 400 * time.Millisecond
	// maxAttempts is the maximum number of homes that a call requests a slot from.
	maxAttempts = 5
)

// running is a call in progress at a target.
type running struct {
	instance int
	target   *discoverer.Target
	ends     time.Time
	id       aggregator.ID
}

// queue is a heap of calls in the order of their ends.
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

// replay simulates a fleet of instances that choose targets and send each other load updates.
type replay struct {
	random     *rand.Rand
	registry   *discoverer.Registry
	selectors  []*selector.Selector
	aggregator *aggregator.Aggregator
	calls      queue
	inProgress map[string]int
	lastNumber uint64
	// sent counts the calls since the first second, and overLimit those sent to a target that then had
	// more calls than its limit, twice the mean plus three.
	sent, overLimit int
}

// newReplay returns a fleet. If homes is set, its instances request slots from homes; otherwise they
// choose targets by load updates only.
func newReplay(homes bool) *replay {
	e := discoverer.New(discoverer.DefaultSettings())

	for n := range targets {
		e.Set(discoverer.Target{
			ID: fmt.Sprintf("t%d", n), Group: "g", DataCentre: fmt.Sprintf("dc%d", n%6), Slots: 12,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
		})
	}

	r := &replay{random: rand.New(rand.NewPCG(1, 2)), registry: e.Registry(), inProgress: make(map[string]int)}

	for range instances {
		c := selector.New(selector.DefaultSettings())
		c.ApplyRegistry(time.Unix(0, 0), r.registry)
		r.selectors = append(r.selectors, c)
	}

	if homes {
		r.aggregator = aggregator.New()
	}

	return r
}

// call sends one call of a random instance to a target.
func (r *replay) call(now time.Time) {
	n := r.random.IntN(instances)

	k := uint64(1)
	if r.random.Float64() >= hotFraction {
		k += 1 + r.random.Uint64N(prompts)
	}

	r.lastNumber++
	x := running{instance: n, ends: now.Add(time.Duration(r.random.ExpFloat64() * float64(meanDuration))), id: aggregator.ID{Number: r.lastNumber}}
	x.target = r.choose(now, n, k, x.id)

	r.inProgress[x.target.ID]++
	heap.Push(&r.calls, x)

	r.sent++

	if float64(r.inProgress[x.target.ID]) > 2*float64(len(r.calls))/targets+3 {
		r.overLimit++
	}

	r.selectors[n].ReportLoad(now, x.target, selector.Load{Running: r.inProgress[x.target.ID], Slots: x.target.Slots})
}

func (r *replay) choose(now time.Time, n int, key uint64, id aggregator.ID) *discoverer.Target {
	c := r.selectors[n]

	for i := 1; ; i++ {
		o, _ := c.Choose(now, r.registry, "g", selector.Query{Prefixes: []selector.Prefix{{Key: key, Tokens: 1000}}, Declined: i - 1, Draw: id.Number})
		c.Start(now, o.Target)

		if r.aggregator == nil {
			return o.Target
		}

		v := r.aggregator.Reserve(now, aggregator.Request{ID: id, Target: o.Target.Key().Name(), MaxCalls: int(o.Bound), Deadline: now.Add(time.Minute)})
		if v.Outcome == aggregator.Granted || i == maxAttempts {
			return o.Target
		}

		c.Decline(now, o, v.Calls)
	}
}

// finish ends the calls that are due.
func (r *replay) finish(now time.Time) {
	for len(r.calls) > 0 && !r.calls[0].ends.After(now) {
		x := heap.Pop(&r.calls).(running)
		r.inProgress[x.target.ID]--
		r.selectors[x.instance].Finish(now, x.target, selector.Answered)

		if r.aggregator != nil {
			r.aggregator.Release(now, x.target.Key().Name(), x.id, aggregator.Answered, 0)
		}
	}
}

// notify sends the load updates of one instance to all others.
func (r *replay) notify(now time.Time, n int) {
	w := r.selectors[n].PendingUpdate()

	for m, c := range r.selectors {
		if m != n {
			c.ApplyUpdate(now, r.registry, w)
		}
	}
}

// run simulates a number of seconds and returns the fraction of calls, without those of the first
// second, that were sent to a target above its limit.
func (r *replay) run(seconds int) float64 {
	notified := 0

	for step := range seconds * rate {
		now := start.Add(time.Duration(step) * time.Second / rate)
		r.finish(now)
		r.call(now)

		for ; notified < int(now.Sub(start)*instances/notifyInterval); notified++ {
			r.notify(now, notified%instances)
		}

		if step == rate {
			r.sent, r.overLimit = 0, 0
		}
	}

	return float64(r.overLimit) / float64(r.sent)
}

// Guards against instances that together overload the engine that holds a shared prompt, and then switch
// to the next one together. An eighth of the calls of 295 instances share a prompt; each instance handles
// a few calls per second and receives the loads of the others seconds later. At most 3 in 100 calls may be
// sent to an engine with more calls than twice the mean plus three.
func TestHotPromptOfALargeFleet(t *testing.T) {
	i := is.New(t)

	without, with := newReplay(false).run(4), newReplay(true).run(4)
	t.Logf("fraction of calls sent to a target above its limit: %.4f without homes, %.4f with homes", without, with)

	i.True(without > 0.03)
	i.True(with <= 0.03)
}

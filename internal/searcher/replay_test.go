package searcher_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/searcher"
)

const (
	services = 6
	slots    = 6
	// queueLimit is the number of calls that may wait at a service, which rejects further calls.
	queueLimit = 24
	// meanDuration is the mean duration of a call. A call that ends within objective has its
	// full value, and a later one half of it.
	meanDuration = 40 * time.Millisecond
	objective    = 150 * time.Millisecond
	// retryAfter is the mean delay after which a refused caller retries, which it does once.
	retryAfter = 250 * time.Millisecond
	// burst is the number of calls that arrive at the same time.
	burst     = 3
	simulated = 30 * time.Second
)

// call is a call with its arrival time.
type call struct {
	id      aggregator.ID
	arrived time.Time
	retried bool
}

// event is the arrival of a call at an instance, or its end at a service.
type event struct {
	at      time.Time
	service int
	ends    bool
	call    call
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(a, b int) bool { return q[a].at.Before(q[b].at) }
func (q events) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	l := *q
	x := l[len(l)-1]
	*q = l[:len(l)-1]

	return x
}

// replay simulates six services and many instances, which request slots from the homes of the
// services.
type replay struct {
	random     *rand.Rand
	bounded    bool
	aggregator *aggregator.Aggregator
	events     events
	running    [services]int
	waiting    [services][]call
	calls      int
	value      float64
}

// schedule adds arrivals at a rate per second.
func (r *replay) schedule(rate float64) {
	var d time.Duration

	for d < simulated {
		d += time.Duration(r.random.ExpFloat64() * burst / rate * float64(time.Second))

		for range burst {
			r.calls++
			at := time.Unix(1000, 0).Add(d)
			r.events = append(r.events, event{at: at, call: call{id: aggregator.ID{Number: uint64(r.calls)}, arrived: at}})
		}
	}

	heap.Init(&r.events)
}

// search returns the service that a call is sent to, and false if the call is refused. Without a bound on
// queues a call searches in the same way as a call with a prompt.
func (r *replay) search(now time.Time, c call) (int, bool) {
	s := searcher.Searcher{Prompt: !r.bounded}
	known := make(map[int]int)

	for _, n := range append(r.random.Perm(services), 0) {
		if len(known) == services-1 {
			n = leastLoaded(known)
		}

		v := r.aggregator.Reserve(now, aggregator.Request{ID: c.id, Target: discoverer.Name(n), MaxCalls: s.MaxCalls(slots), Deadline: now.Add(time.Minute)})
		known[n] = v.Calls

		switch s.Next(v.Outcome) {
		case searcher.Send:
			return n, true
		case searcher.Refuse:
			return 0, false
		case searcher.TryNext:
		}
	}

	return 0, false
}

// leastLoaded returns the service with the fewest known calls.
func leastLoaded(known map[int]int) int {
	o, b := 0, -1

	for n := range services {
		if c, ok := known[n]; ok && (b < 0 || c < b) {
			o, b = n, c
		}
	}

	return o
}

func (r *replay) arrive(e event) {
	n, ok := r.search(e.at, e.call)

	switch {
	case ok && r.running[n] < slots:
		r.start(e.at, n, e.call)
	case ok && len(r.waiting[n]) < queueLimit:
		r.waiting[n] = append(r.waiting[n], e.call)
	default:
		r.aggregator.Release(e.at, discoverer.Name(n), e.call.id, aggregator.NoResult, 0)
		r.refuse(e)
	}
}

// refuse rejects a call, which its caller retries once.
func (r *replay) refuse(e event) {
	if e.call.retried {
		return
	}

	e.call.retried = true
	e.at = e.at.Add(retryAfter*3/4 + time.Duration(r.random.Int64N(int64(retryAfter/2))))
	heap.Push(&r.events, e)
}

func (r *replay) start(now time.Time, n int, c call) {
	r.running[n]++
	heap.Push(&r.events, event{at: now.Add(time.Duration(r.random.ExpFloat64() * float64(meanDuration))), service: n, ends: true, call: c})
}

func (r *replay) end(e event) {
	r.value += 0.5
	if e.at.Sub(e.call.arrived) <= objective {
		r.value += 0.5
	}

	r.running[e.service]--
	r.aggregator.Release(e.at, discoverer.Name(e.service), e.call.id, aggregator.NoResult, 0)

	if l := r.waiting[e.service]; len(l) > 0 {
		r.waiting[e.service] = l[1:]
		r.start(e.at, e.service, l[0])
	}
}

// achieved simulates calls at a rate per second and returns the achieved fraction of their value.
func achieved(bounded bool, rate float64) float64 {
	r := &replay{random: rand.New(rand.NewPCG(1, 2)), bounded: bounded, aggregator: aggregator.New()}
	r.schedule(rate)

	for len(r.events) > 0 {
		if e := heap.Pop(&r.events).(event); e.ends {
			r.end(e)
		} else {
			r.arrive(e)
		}
	}

	return r.value / float64(r.calls)
}

// Guards against late and rejected calls when bursts slightly exceed the capacity of six services, 900 calls
// per second. Without bounded queues, calls are sent to full services and wait in queues of up to 24: most
// are late, and many are rejected. With short queues the calls that run are in time and the others are
// retried. Below capacity the bound lowers the achieved fraction of the value by at most 0.01.
func TestServicesSlightlyAboveCapacity(t *testing.T) {
	for name, tc := range map[string]struct {
		rate, least, gain float64
	}{
		"below capacity":     {700, 0.95, -0.01},
		"near capacity":      {880, 0.85, 0.03},
		"7% above capacity":  {960, 0.75, 0.1},
		"22% above capacity": {1100, 0.6, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			before, after := achieved(false, tc.rate), achieved(true, tc.rate)
			t.Logf("%.3f of the value without bounded queues, %.3f with", before, after)

			i.True(after >= tc.least)
			i.True(after-before >= tc.gain)
		})
	}
}

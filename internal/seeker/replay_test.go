package seeker_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/seeker"
)

const (
	services = 6
	slots    = 6
	// line is how many calls a service lets wait; it turns away what is more.
	line = 24
	// lasts is how long a call runs on average, and full within what it earns its whole worth.
	lasts = 40 * time.Millisecond
	full  = 150 * time.Millisecond
	// comeBack is when a caller that was refused is told to return, which it does once.
	comeBack = 250 * time.Millisecond
	// clump is how many calls come at a time.
	clump   = 3
	lasting = 30 * time.Second
)

// call is a call of a caller that came at a time.
type call struct {
	id       aggregator.ID
	came     time.Time
	returned bool
}

// event is a call that comes to an instance, or ends at a service.
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

// replay is six plain services before many instances, which ask the homes of the services.
type replay struct {
	random  *rand.Rand
	bounded bool
	tallier *aggregator.Aggregator
	events  events
	running [services]int
	waiting [services][]call
	calls   int
	worth   float64
}

// come lets calls come at a rate a second.
func (r *replay) come(rate float64) {
	var d time.Duration

	for d < lasting {
		d += time.Duration(r.random.ExpFloat64() * clump / rate * float64(time.Second))

		for range clump {
			r.calls++
			at := time.Unix(1000, 0).Add(d)
			r.events = append(r.events, event{at: at, call: call{id: aggregator.ID{Number: uint64(r.calls)}, came: at}})
		}
	}

	heap.Init(&r.events)
}

// seek returns the service that a call goes to, and false when it is refused. Without a bound on
// lines a call goes on as one with a prompt does.
func (r *replay) seek(now time.Time, c call) (int, bool) {
	s := seeker.Seeker{Prompt: !r.bounded}
	known := make(map[int]int)

	for _, n := range append(r.random.Perm(services), 0) {
		if len(known) == services-1 {
			n = least(known)
		}

		v := r.tallier.Reserve(now, aggregator.Request{ID: c.id, Target: enroller.Name(n), MaxCalls: s.Most(slots), Deadline: now.Add(time.Minute)})
		known[n] = v.Calls

		switch s.Next(v.Outcome) {
		case seeker.Take:
			return n, true
		case seeker.Refuse:
			return 0, false
		case seeker.Ask:
		}
	}

	return 0, false
}

func least(known map[int]int) int {
	o, b := 0, -1

	for n := range services {
		if c, ok := known[n]; ok && (b < 0 || c < b) {
			o, b = n, c
		}
	}

	return o
}

func (r *replay) arrive(e event) {
	n, ok := r.seek(e.at, e.call)

	switch {
	case ok && r.running[n] < slots:
		r.start(e.at, n, e.call)
	case ok && len(r.waiting[n]) < line:
		r.waiting[n] = append(r.waiting[n], e.call)
	default:
		r.tallier.Release(e.at, enroller.Name(n), e.call.id, aggregator.NoResult, 0)
		r.refuse(e)
	}
}

// refuse sends a caller away, which returns once.
func (r *replay) refuse(e event) {
	if e.call.returned {
		return
	}

	e.call.returned = true
	e.at = e.at.Add(comeBack*3/4 + time.Duration(r.random.Int64N(int64(comeBack/2))))
	heap.Push(&r.events, e)
}

func (r *replay) start(now time.Time, n int, c call) {
	r.running[n]++
	heap.Push(&r.events, event{at: now.Add(time.Duration(r.random.ExpFloat64() * float64(lasts))), service: n, ends: true, call: c})
}

func (r *replay) end(e event) {
	r.worth += 0.5
	if e.at.Sub(e.call.came) <= full {
		r.worth += 0.5
	}

	r.running[e.service]--
	r.tallier.Release(e.at, enroller.Name(e.service), e.call.id, aggregator.NoResult, 0)

	if l := r.waiting[e.service]; len(l) > 0 {
		r.waiting[e.service] = l[1:]
		r.start(e.at, e.service, l[0])
	}
}

// earned plays calls at a rate a second and returns the part of their worth that is earned.
func earned(bounded bool, rate float64) float64 {
	r := &replay{random: rand.New(rand.NewPCG(1, 2)), bounded: bounded, tallier: aggregator.New()}
	r.come(rate)

	for len(r.events) > 0 {
		if e := heap.Pop(&r.events).(event); e.ends {
			r.end(e)
		} else {
			r.arrive(e)
		}
	}

	return r.worth / float64(r.calls)
}

// A little more comes than six plain services run, 900 calls a second, in clumps. Each call that
// finds all full is sent all the same and stands in a line of up to 24: most are late, and many
// turned away in the end. With short lines those that run are in time, the others come back. As
// long as all can be run, nobody loses by it.
func TestPlainServicesWithMoreThanTheyRun(t *testing.T) {
	for name, tc := range map[string]struct {
		rate, least, gains float64
	}{
		"less than they run":  {700, 0.95, -0.01},
		"as much as they run": {880, 0.85, 0.03},
		"a tenth more":        {960, 0.75, 0.1},
		"a quarter more":      {1100, 0.6, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			before, after := earned(false, tc.rate), earned(true, tc.rate)
			t.Logf("%.3f of the worth before, %.3f after", before, after)

			i.True(after >= tc.least)
			i.True(after-before >= tc.gains)
		})
	}
}

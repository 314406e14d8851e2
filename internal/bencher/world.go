package bencher

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	tickEvery = 500 * time.Millisecond
	// troubleEvery is the time between two losses under churn.
	troubleEvery = 20 * time.Second
	skewUnit     = 1000
	skewMost     = 100 * skewUnit
	digits       = 3
	// leastRunning is the mean of requests on a target below which one request
	// more or less says nothing about skew.
	leastRunning = 10.0
	quietPart    = 15
	surgeStart   = 0.6
	surgeEnd     = 0.85
)

// policy chooses targets.
type policy interface {
	// pick returns the target for a request; nil and a time to have it wait and
	// come again, or nil and zero to refuse it.
	pick(w *world, q *request) (*target, time.Duration)
	// done is told that a request ended.
	done(w *world, q *request)
	// tick is called every tickEvery.
	tick(w *world)
	// lose is told that a router is gone.
	lose(w *world, router int)
}

// router is an entry instance.
type router struct {
	id     uint64
	region int
	centre int
	// sent counts the control bytes that go out of and into it.
	bytes int
}

// world is the fleet with its targets and callers.
type world struct {
	size      Size
	condition Condition
	now       time.Duration
	random    *rand.Rand
	traffic   *traffic
	targets   []*target
	// pools are the targets of each model in each region.
	pools   map[[2]int][]*target
	routers []*router
	running flights
	// cut is the data centre that is cut off, or -1.
	cut    int
	healed bool
	policy policy
	result *Result
	cpu    time.Duration
	losses int
	skew   *hdrhistogram.Histogram
	work   *hdrhistogram.Histogram
	// surge is the surge's rate over the usual.
	surge float64
}

func newWorld(s Size, c Condition, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, uint64(s.Targets))) //nolint:gosec // Reproducible.
	w := &world{
		size: s, condition: c, random: r, traffic: newTraffic(s, r), cut: -1,
		pools: make(map[[2]int][]*target), result: &Result{Case: s.Name + "/" + string(c)},
		skew: hdrhistogram.New(1, skewMost, digits), work: hdrhistogram.New(1, skewMost, digits),
	}

	p := spread(s.Targets, s.Models)
	w.surge = float64(p[0]) / float64(s.Targets)
	i := 0

	for m, n := range p {
		for range n {
			t := newTarget(i, s)
			t.model = m
			t.centre = i % s.Centres
			t.region = t.centre * s.Regions / s.Centres
			w.targets = append(w.targets, t)
			k := [2]int{m, t.region}
			w.pools[k] = append(w.pools[k], t)
			i++
		}
	}

	for i := range s.Routers {
		c := i % s.Centres
		w.routers = append(w.routers, &router{id: uint64(i + 1), centre: c, region: c * s.Regions / s.Centres})
	}

	return w
}

// spread divides n among m parts by a power law, each at least four, as models
// are used.
func spread(n, m int) []int {
	w := 0.0
	for i := range m {
		w += 1 / float64(i+1)
	}

	o := make([]int, m)
	for i := range o {
		o[i] = max(4, int(float64(n)/w/float64(i+1))) //nolint:mnd // See above.
	}

	return o
}

func customerName(i int) string { return "customer-" + strconv.Itoa(i) }

// run follows the fleet to its end.
func (w *world) run() {
	a := time.Duration(0)
	t := tickEvery

	for w.now < w.size.Length {
		e := w.size.Length
		if len(w.running) > 0 {
			e = min(e, w.running[0].ends)
		}

		w.now = min(a, t, e)

		switch w.now {
		case a:
			w.arrive()

			a += time.Duration(w.random.ExpFloat64() / w.rate() * float64(time.Second))
		case t:
			w.tick()

			t += tickEvery
		default:
			w.end()
		}
	}
}

func (w *world) rate() float64 {
	if w.condition == Quiet {
		return w.size.Rate / quietPart
	}

	if w.surging() {
		return (1 + w.surge) * w.size.Rate
	}

	return w.size.Rate
}

func (w *world) surging() bool {
	p := float64(w.now) / float64(w.size.Length)

	return w.condition == Surge && p > surgeStart && p < surgeEnd
}

// arrive brings a request to a random router of its region.
func (w *world) arrive() {
	var c *customer
	if w.surging() && w.random.Float64() < w.surge/(1+w.surge) {
		l := w.traffic.surgers()
		c = l[w.random.IntN(len(l))]
	}

	q := w.traffic.make(c)
	q.router = w.entry(q.chat.region)
	q.surge = w.condition == Surge && slices.Contains(w.traffic.surgers(), q.chat.customer)
	w.place(q)
}

// place finds a target for a request and starts it there.
func (w *world) place(q *request) {
	s := time.Now()
	t, d := w.policy.pick(w, q)
	w.cpu += time.Since(s)

	if t == nil && d > 0 {
		q.waited += d
		heap.Push(&w.running, flight{ends: w.now + d, request: q})

		return
	}

	w.count(q, t)

	if t == nil {
		return
	}

	q.target = t
	e, h := t.serve(q)

	if w.measuring() {
		w.result.waited += q.waited
		w.result.reusable[w.phase()] += q.reusable
		w.result.reused[w.phase()] += min(h, q.reusable)
	}

	heap.Push(&w.running, flight{ends: w.now + e, request: q})
}

func (w *world) entry(region int) int {
	for {
		i := w.random.IntN(len(w.routers))
		if w.routers[i].region == region {
			return i
		}
	}
}

func (w *world) count(q *request, t *target) {
	if !w.measuring() {
		return
	}

	w.result.requests++

	switch {
	case t == nil && q.surge:
		w.result.surgeRefused++
	case t == nil:
		w.result.refused++
	}

	if q.surge {
		w.result.surged++
	}
}

// phase is 0 before the time of a surge or cut, 1 during it and 2 after it.
func (w *world) phase() int {
	p := float64(w.now) / float64(w.size.Length)

	switch {
	case p <= surgeStart:
		return 0
	case p < surgeEnd:
		return 1
	default:
		return 2
	}
}

func (w *world) end() {
	f, _ := heap.Pop(&w.running).(flight)
	if f.request.target == nil {
		w.place(f.request)

		return
	}

	f.request.target.finish(f.request)

	s := time.Now()
	w.policy.done(w, f.request)
	w.cpu += time.Since(s)
}

func (w *world) measuring() bool {
	return w.now >= w.size.Warm
}

// tick causes the condition's trouble and samples the skew.
func (w *world) tick() {
	for _, t := range w.targets {
		t.tick()
	}

	w.trouble()
	w.policy.tick(w)

	if w.measuring() {
		w.sample()
	}
}

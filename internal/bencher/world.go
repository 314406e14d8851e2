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
	tickInterval = 500 * time.Millisecond
	// churnInterval is the time between two faults under Churn.
	churnInterval     = 20 * time.Second
	skewUnit          = 1000
	maxSkew           = 100 * skewUnit
	significantDigits = 3
	// minMeanRunning is the mean number of requests per target below which the skew is
	// not sampled, since one request more or less would dominate it.
	minMeanRunning = 10.0
	quietDivisor   = 15
	// surgeStart and surgeEnd bound the window of a surge or a network partition, as
	// fractions of the simulated time.
	surgeStart = 0.6
	surgeEnd   = 0.85
)

// policy selects targets.
type policy interface {
	// pick returns the target for a request. With no target, a positive delay means
	// that the request waits and is tried again, and zero that it is refused.
	pick(w *world, q *request) (*target, time.Duration)
	// done is called when a request completed.
	done(w *world, q *request)
	// tick is called every tickInterval.
	tick(w *world)
	// replaceRouter is called when a router's process is replaced by a new one.
	replaceRouter(w *world, router int)
}

// router is a simulated router, at which requests enter the fleet.
type router struct {
	id     uint64
	region int
	centre int
	// controlBytes counts the control bytes that it sent and received.
	controlBytes int
}

// world is the state of a simulation: the fleet, its targets and its callers.
type world struct {
	size      Size
	condition Condition
	now       time.Duration
	random    *rand.Rand
	traffic   *traffic
	targets   []*target
	// pools holds the targets by model and region.
	pools   map[[2]int][]*target
	routers []*router
	events  eventQueue
	// partitioned is the data centre isolated by a network partition, or -1.
	// reconnected is true only in the tick at which the partition ends.
	partitioned  int
	reconnected  bool
	policy       policy
	result       *Result
	cpu          time.Duration
	replacements int
	skew         *hdrhistogram.Histogram
	work         *hdrhistogram.Histogram
	// surgeRatio is the ratio of a surge's additional rate to the usual rate.
	surgeRatio float64
}

func newWorld(s Size, c Condition, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, uint64(s.Targets))) //nolint:gosec // Reproducible.
	w := &world{
		size: s, condition: c, random: r, traffic: newTraffic(s, r), partitioned: -1,
		pools: make(map[[2]int][]*target), result: &Result{Case: s.Name + "/" + string(c)},
		skew: hdrhistogram.New(1, maxSkew, significantDigits), work: hdrhistogram.New(1, maxSkew, significantDigits),
	}

	p := distribute(s.Targets, s.Models)
	w.surgeRatio = float64(p[0]) / float64(s.Targets)
	i := 0

	for m, n := range p {
		for range n {
			t := newTarget(i, s)
			t.model = m
			t.centre = i % s.DataCentres
			t.region = t.centre * s.Regions / s.DataCentres
			w.targets = append(w.targets, t)
			k := [2]int{m, t.region}
			w.pools[k] = append(w.pools[k], t)
			i++
		}
	}

	for i := range s.Routers {
		c := i % s.DataCentres
		w.routers = append(w.routers, &router{id: uint64(i + 1), centre: c, region: c * s.Regions / s.DataCentres})
	}

	return w
}

// distribute divides n targets among m models in proportion to the models' popularity,
// which follows a power law. Each model gets at least four.
func distribute(n, m int) []int {
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

// run processes arrivals, ticks and events in order of time until the end of the
// simulation.
func (w *world) run() {
	a := time.Duration(0)
	t := tickInterval

	for w.now < w.size.Duration {
		e := w.size.Duration
		if len(w.events) > 0 {
			e = min(e, w.events[0].at)
		}

		w.now = min(a, t, e)

		switch w.now {
		case a:
			w.arrive()

			a += time.Duration(w.random.ExpFloat64() / w.rate() * float64(time.Second))
		case t:
			w.tick()

			t += tickInterval
		default:
			w.handleNext()
		}
	}
}

func (w *world) rate() float64 {
	if w.condition == Quiet {
		return w.size.Rate / quietDivisor
	}

	if w.surging() {
		return (1 + w.surgeRatio) * w.size.Rate
	}

	return w.size.Rate
}

func (w *world) surging() bool {
	p := float64(w.now) / float64(w.size.Duration)

	return w.condition == Surge && p > surgeStart && p < surgeEnd
}

// arrive generates a request and sends it to a random router of its region.
func (w *world) arrive() {
	var c *customer
	if w.surging() && w.random.Float64() < w.surgeRatio/(1+w.surgeRatio) {
		l := w.traffic.surgeCustomers()
		c = l[w.random.IntN(len(l))]
	}

	q := w.traffic.nextRequest(c)
	q.router = w.randomRouter(q.chat.region)
	q.surge = w.condition == Surge && slices.Contains(w.traffic.surgeCustomers(), q.chat.customer)
	w.startRequest(q)
}

// startRequest selects a target for a request and starts it there, or schedules the
// next attempt, or refuses it.
func (w *world) startRequest(q *request) {
	s := time.Now()
	t, d := w.policy.pick(w, q)
	w.cpu += time.Since(s)

	if t == nil && d > 0 {
		q.waited += d
		heap.Push(&w.events, event{at: w.now + d, request: q})

		return
	}

	w.countRequest(q, t)

	if t == nil {
		return
	}

	q.target = t
	e, h := t.start(q)

	if w.measuring() {
		w.result.waited += q.waited
		w.result.reusableTokens[w.phase()] += q.reusableTokens
		w.result.reusedTokens[w.phase()] += min(h, q.reusableTokens)
	}

	heap.Push(&w.events, event{at: w.now + e, request: q})
}

func (w *world) randomRouter(region int) int {
	for {
		i := w.random.IntN(len(w.routers))
		if w.routers[i].region == region {
			return i
		}
	}
}

func (w *world) countRequest(q *request, t *target) {
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
		w.result.surgeRequests++
	}
}

// phase returns 0 before, 1 during and 2 after the window of a surge or a network
// partition.
func (w *world) phase() int {
	p := float64(w.now) / float64(w.size.Duration)

	switch {
	case p <= surgeStart:
		return 0
	case p < surgeEnd:
		return 1
	default:
		return 2
	}
}

// handleNext completes the request of the earliest event, or tries a waiting one again.
func (w *world) handleNext() {
	e, _ := heap.Pop(&w.events).(event)
	if e.request.target == nil {
		w.startRequest(e.request)

		return
	}

	e.request.target.finish(e.request)

	s := time.Now()
	w.policy.done(w, e.request)
	w.cpu += time.Since(s)
}

func (w *world) measuring() bool {
	return w.now >= w.size.WarmUp
}

// tick simulates the condition's faults, runs the policy's periodic work and samples
// the skew.
func (w *world) tick() {
	for _, t := range w.targets {
		t.tick()
	}

	w.applyCondition()
	w.policy.tick(w)

	if w.measuring() {
		w.sample()
	}
}

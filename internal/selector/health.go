package selector

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/ejector"
	"github.com/auburntray/auburntray/internal/evaluator"
)

const (
	// maxFailingExclusion bounds the exclusion of a target that fails intermittently. A recovered target must
	// be readmitted within seconds, and a probe call that fails costs one retry.
	maxFailingExclusion = 5 * time.Second
	// goneExclusion is how long a target is excluded whose address belongs to another process. It exceeds the
	// time until the entry expires in the registry: three heartbeats of about a second.
	goneExclusion = 10 * time.Second
	// reportedExclusion is how long a target is excluded after its home reported it as unhealthy. The next
	// call to the target after that requests a slot from the home again.
	reportedExclusion = 300 * time.Millisecond
	// lastResortInterval is the interval at which a call is tried at a group without reachable targets. It bounds
	// how late the end of a network partition is noticed.
	lastResortInterval = 100 * time.Millisecond
)

// health derives the health status of targets from their answers. It is not safe for concurrent use.
type health struct {
	// targets and centres track the unreachable targets and data centres.
	targets *ejector.Ejector[discoverer.Key]
	centres *ejector.Ejector[uint32]
	// failing tracks targets that are reachable and fail.
	failing *ejector.Ejector[discoverer.Key]
	// gone tracks targets whose address belongs to another process.
	gone *ejector.Ejector[discoverer.Key]
	// remote tracks the targets that other instances could not reach for calls of this one.
	remote *ejector.Ejector[discoverer.Key]
	// unreached holds the groups of which this instance reaches no target, and contacts when it last reached a target
	// of a group.
	unreached map[string]bool
	contacts  map[string]time.Time
	latencies *evaluator.Evaluator[discoverer.Key]
	// reportedAt is when a target was last reported as unhealthy by its home.
	reportedAt map[discoverer.Key]time.Time
	// lastResorts is when a call was last tried at a group without reachable targets, by group.
	lastResorts map[string]time.Time
	// excluded holds the current exclusions; changes holds the changes of exclusions that have not been returned
	// yet.
	excluded map[exclusion]bool
	changes  []HealthChange
}

func newHealth() *health {
	return &health{
		// A single failed connection excludes a target, since a call reaches another target within a millisecond. A
		// failed probe call costs a few milliseconds for its retry, so the exclusions are short.
		targets: ejector.New[discoverer.Key](ejector.Settings{Failures: 1, Base: 500 * time.Millisecond, Max: 4 * time.Second, PanicThreshold: 1}),
		// Each target of a data centre beyond a network partition would cost a call a dial time-out. Two
		// consecutive failures exclude the whole data centre.
		centres: ejector.New[uint32](ejector.Settings{Failures: 2, Base: 500 * time.Millisecond, Max: 2 * time.Second, PanicThreshold: 1}),
		failing: ejector.New[discoverer.Key](ejector.Settings{Failures: 3, Base: time.Second, Max: maxFailingExclusion, PanicThreshold: 0.5}),
		// A replaced process does not return, and its entry expires seconds later. After goneExclusion it is tried
		// again, in case the answer that showed its replacement was wrong.
		gone:        ejector.New[discoverer.Key](ejector.Settings{Failures: 1, Base: goneExclusion, Max: goneExclusion, PanicThreshold: 1}),
		remote:      ejector.New[discoverer.Key](ejector.Settings{Failures: 1, Base: 500 * time.Millisecond, Max: 2 * time.Second, PanicThreshold: 1}),
		unreached:   make(map[string]bool),
		contacts:    make(map[string]time.Time),
		latencies:   evaluator.New[discoverer.Key](),
		reportedAt:  make(map[discoverer.Key]time.Time),
		lastResorts: make(map[string]time.Time),
		excluded:    make(map[exclusion]bool),
	}
}

// usable returns the reachable candidates of a group and those of them that may be assigned a call; both are empty
// if none is reachable, except when lastResort returns all. median is the median latency of the reachable
// candidates that do not fail.
func (h *health) usable(now time.Time, group string, l []candidate, route Route) (reached, usable []candidate, median float64) {
	r := h.reachable(now, l, route)

	switch {
	case len(r) == 0 && route == Direct:
		r = h.lastResort(now, group, l)
	case route == Delegated && !h.unreached[group]:
		// The links of this instance are not known to be lost, so a target that it can't reach has rather crashed.
		r = filterOrAll(r, func(x candidate) bool { return !h.targets.Excluded(now, x.target.Key()) })
	}

	reached = r

	// If most targets fail, the fault is more likely at this instance.
	if !h.panicMode(now, r) {
		r = filterOrAll(r, func(x candidate) bool { return !h.failing.Excluded(now, x.target.Key()) })
	}

	r = filterOrAll(r, func(x candidate) bool { return !h.reportedUnhealthy(now, x.target) })

	median = h.latencies.MedianLatency(keys(r))

	return reached, filterOrAll(r, func(x candidate) bool { return !h.slow(now, x.target, median) }), median
}

func (h *health) reachable(now time.Time, l []candidate, route Route) []candidate {
	return filter(l, func(x candidate) bool {
		return h.isReachable(now, x.target, route) && !h.gone.Excluded(now, x.target.Key())
	})
}

// reportedUnhealthy reports whether the home recently reported a target as unhealthy.
func (h *health) reportedUnhealthy(now time.Time, t *discoverer.Target) bool {
	s, ok := h.reportedAt[t.Key()]

	return ok && now.Sub(s) < reportedExclusion
}

// recordUnhealthyReport records that the home considers a target unhealthy.
func (h *health) recordUnhealthyReport(now time.Time, t *discoverer.Target) {
	h.reportedAt[t.Key()] = now
}

// panicMode reports whether so many candidates fail that none is excluded for failing.
func (h *health) panicMode(now time.Time, l []candidate) bool {
	return h.failing.PanicMode(now, keys(l))
}

func keys(l []candidate) []discoverer.Key {
	o := make([]discoverer.Key, len(l))
	for i, x := range l {
		o[i] = x.target.Key()
	}

	return o
}

// slow reports whether a target is to be avoided: its answers begin much later than the median, and a probe call
// was sent to it recently. If no probe call was sent recently, the next call is the probe call. slow also records a
// change of the TargetSlow status.
func (h *health) slow(now time.Time, t *discoverer.Target, median float64) bool {
	n := t.Key()
	if h.latencies.Latency(n) == 0 {
		return false
	}

	x := h.latencies.Slow(n, median)
	h.setExcluded(Own, TargetSlow, t, x)

	return x && h.latencies.ProbedRecently(now, n)
}

// observeLatency records how long an answer took to begin, as a fraction of the latency objective.
func (h *health) observeLatency(now time.Time, t *discoverer.Target, fraction float64) {
	n := t.Key()
	h.latencies.RecordAnswer(n, fraction)

	// The beginning of the answer completes a probe call. Waiting for the end of its stream would keep the
	// target excluded for seconds more.
	if h.failing.Excluded(now, n) {
		h.failing.RecordResult(now, n, true)
		h.setExcluded(Own, TargetFailing, t, false)
	}
}

// lastResort returns the targets that a call may try in a group without reachable targets: all of them for one call
// per lastResortInterval, to find out whether one is reachable again, and none for other calls.
//
// Otherwise an instance in a partitioned data centre would dial each target in turn for every call, and refuse the
// call after a third of a second. A caller that is refused at once can try another data centre earlier.
func (h *health) lastResort(now time.Time, group string, l []candidate) []candidate {
	if t, ok := h.lastResorts[group]; len(l) == 0 || ok && now.Sub(t) < lastResortInterval {
		return nil
	}

	h.lastResorts[group] = now

	return l
}

// healthy reports whether a target is reachable, does not fail and has not been replaced at its address.
func (h *health) healthy(now time.Time, t *discoverer.Target, route Route) bool {
	n := t.Key()

	return h.isReachable(now, t, route) && !h.failing.Excluded(now, n) && !h.gone.Excluded(now, n)
}

// failureSigns counts the causes for which a target itself, not its data centre, is excluded: it is unreachable,
// gone or failing.
func (h *health) failureSigns(now time.Time, t *discoverer.Target) int {
	o := 0

	for _, excluded := range []bool{h.targets.Excluded(now, t.Key()), h.gone.Excluded(now, t.Key()), h.failing.Excluded(now, t.Key())} {
		if excluded {
			o++
		}
	}

	return o
}

func (h *health) isReachable(now time.Time, t *discoverer.Target, route Route) bool {
	if route == Delegated {
		return !h.remote.Excluded(now, t.Key())
	}

	return !h.targets.Excluded(now, t.Key()) && !h.centres.Excluded(now, t.Centre())
}

func (h *health) start(now time.Time, t *discoverer.Target) {
	h.targets.StartProbe(now, t.Key())
	h.centres.StartProbe(now, t.Centre())
	h.failing.StartProbe(now, t.Key())
	h.latencies.RecordCall(now, t.Key())
}

func (h *health) finish(now time.Time, t *discoverer.Target, o Outcome) {
	n, c := t.Key(), t.Centre()

	switch o {
	case Answered, Shed, Gone:
		h.contacts[t.Group] = now
	default:
	}

	switch o {
	case Unreachable:
		h.targets.RecordResult(now, n, false)
		h.centres.RecordResult(now, c, false)
	case Crashed:
		// A crash is no sign of a network partition. If it counted as one, targets that crash one after the other
		// would cause the exclusion of the healthy targets of their data centre for half a second each time.
		h.targets.RecordResult(now, n, false)
		h.centres.RecordResult(now, c, true)
	case Failed:
		h.failing.RecordResult(now, n, false)
	case Gone:
		h.gone.RecordResult(now, n, false)
		h.centres.RecordResult(now, c, true)
	case Answered:
		h.failing.RecordResult(now, n, true)
		h.targets.RecordResult(now, n, true)
		h.centres.RecordResult(now, c, true)
		h.gone.RecordResult(now, n, true)
	case Shed:
		h.targets.RecordResult(now, n, true)
		h.centres.RecordResult(now, c, true)
	case Inconclusive:
		// An inconclusive probe call permits the next one.
		h.targets.CancelProbe(n)
		h.centres.CancelProbe(c)
		h.failing.CancelProbe(n)

		return
	}

	h.setExcluded(Own, TargetUnreachable, t, h.targets.Excluded(now, n))
	h.setExcluded(Own, CentreUnreachable, t, h.centres.Excluded(now, c))
	h.setExcluded(Own, TargetFailing, t, h.failing.Excluded(now, n))
	h.setExcluded(Own, TargetGone, t, h.gone.Excluded(now, n))
}

// reportGone records another instance's notification that a target's address belongs to another process.
func (h *health) reportGone(now time.Time, t *discoverer.Target) {
	if h.gone.Excluded(now, t.Key()) {
		return
	}

	h.gone.RecordResult(now, t.Key(), false)
	h.setExcluded(Peer, TargetGone, t, true)
}

// forget drops the health status of a process.
func (h *health) forget(k discoverer.Key) {
	for _, c := range targetCauses {
		delete(h.excluded, exclusion{cause: c, process: k})
	}

	h.targets.Forget(k)
	h.remote.Forget(k)
	h.failing.Forget(k)
	h.gone.Forget(k)
	h.latencies.Forget(k)
	delete(h.reportedAt, k)
}

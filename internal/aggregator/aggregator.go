// Package aggregator counts the calls at the targets whose home (as in home node) this instance is, and
// tracks the health of these targets by the results of all instances' calls, so that all instances use
// the same count and the same health status.
//
// Load pattern: hundreds of instances, each with a few calls per second, and one prompt shared by a
// tenth of the calls. At that size, load reports between instances are about a second old. Within that
// second, all instances see the same target below its bound and send their calls there; it is
// overloaded, and then all switch to the next target at once. Services run a call for about ten
// milliseconds, so that load reports of that age are useless for them. Moreover, an instance sends a
// given target one call in half a minute and can't detect from its own calls that the target fails or
// has become slow.
package aggregator

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// maxTransit is the longest time from the grant of a slot until the call arrives at the target, in a
// region with a healthy network. A call granted within this time before a load report is not included
// in the report.
const maxTransit = 5 * time.Millisecond

// ID identifies a reservation by the requesting instance and that instance's number for it.
type ID struct {
	Instance, Number uint64
}

// Request is a request for a slot for one call.
type Request struct {
	ID     ID
	Target discoverer.Name
	// MaxCalls is the bound on the calls at the target, including this one.
	MaxCalls int
	// Deadline is the time at which the call ends at the latest.
	Deadline time.Time
	// MedianLatency is the median latency of the targets of the group, see evaluator.Evaluator.
	MedianLatency float64
	// AllowExcluded requests a slot even if the target is excluded, for a call without another target.
	AllowExcluded bool
	// Exact requests a slot also in a fleet so small that load reports are recent enough for most bounds: the target crashes
	// when it gets more calls than MaxCalls.
	Exact bool
}

// Outcome is the result of a Request.
type Outcome int

// Outcomes of a Request. Their values are used on the wire.
const (
	// Unanswered means that no home decided, because there is none or it did not respond. It is the
	// zero value.
	Unanswered Outcome = iota
	// Granted means that the call got a slot and is counted.
	Granted
	// Full means that the target has reached its bound.
	Full
	// Excluded means that the target is excluded, because it fails, is unreachable, or is slow.
	Excluded
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Full:
		return "full"
	case Excluded:
		return "left"
	case Unanswered:
		return "unanswered"
	default:
		return "unknown"
	}
}

// Verdict is the answer to a Request.
type Verdict struct {
	Outcome Outcome
	// Calls is the number of calls at the target, including the granted one.
	Calls int
	// Latency is the latency of the target, see evaluator.Evaluator; zero if it is unknown.
	Latency float64
}

// reservation is a call that was granted a slot.
type reservation struct {
	granted, deadline time.Time
}

// count holds the calls counted at one target.
type count struct {
	reservations map[ID]reservation
	// report is the last load report. Its Base is the number of reservations included in it.
	report LoadReport
}

// Aggregator holds the counts and the health status of targets. It is not safe for concurrent use.
type Aggregator struct {
	targets map[discoverer.Name]*count
	health  *health
}

// New returns an Aggregator without targets.
func New() *Aggregator {
	return &Aggregator{targets: make(map[discoverer.Name]*count), health: newHealth()}
}

// Reserve grants a call a slot at a target, unless the target has reached its bound or is excluded. A
// repeated request with the same ID counts once.
func (a *Aggregator) Reserve(now time.Time, r Request) Verdict {
	x := a.count(r.Target)
	x.expire(now)

	v := Verdict{Calls: x.report.Estimate(now, len(x.reservations)), Latency: a.health.latencies.Latency(r.Target)}
	_, held := x.reservations[r.ID]

	switch {
	case held:
		v.Outcome = Granted
	case v.Calls+1 > r.MaxCalls:
		v.Outcome = Full
	case !r.AllowExcluded && a.health.excluded(now, r.Target, r.MedianLatency):
		v.Outcome = Excluded
	default:
		x.reservations[r.ID] = reservation{granted: now, deadline: r.Deadline}
		v.Outcome = Granted
		v.Calls++

		a.health.start(now, r.Target)
	}

	return v
}

// Release ends a reservation and records the result and the latency of the call; a latency of zero is
// unknown. The result of an unknown reservation, which has expired, is recorded as well.
func (a *Aggregator) Release(now time.Time, target discoverer.Name, id ID, s Result, latency float64) {
	delete(a.count(target).reservations, id)
	a.health.record(now, target, s, latency)
}

// Report records a load report of a target. The reported number includes calls unknown to this home:
// those that a former home granted, and those sent without a reservation while this home was
// unavailable.
func (a *Aggregator) Report(now time.Time, target discoverer.Name, calls int) {
	x := a.count(target)
	x.report = LoadReport{Calls: calls, At: now}

	for _, h := range x.reservations {
		if now.Sub(h.granted) >= maxTransit {
			x.report.Base++
		}
	}
}

// Retain drops the counts and the health status of the targets for which f returns false.
func (a *Aggregator) Retain(f func(discoverer.Name) bool) {
	for n := range a.targets {
		if !f(n) {
			delete(a.targets, n)
			a.health.forget(n)
		}
	}
}

func (a *Aggregator) count(n discoverer.Name) *count {
	x, ok := a.targets[n]
	if !ok {
		x = &count{reservations: make(map[ID]reservation)}
		a.targets[n] = x
	}

	return x
}

// expire ends the reservations of calls past their deadline. An instance that was killed or partitioned
// never sends its releases. Without expire its calls would count for ever, and in the end an idle target
// would count as full and be granted no calls.
func (x *count) expire(now time.Time) {
	for id, h := range x.reservations {
		if now.After(h.deadline) {
			delete(x.reservations, id)
		}
	}
}

package aggregator

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/ejector"
	"github.com/auburntray/auburntray/internal/evaluator"
)

// Result is the result of a call, as far as it concerns the target's health.
type Result uint8

// Results of a call. Their values are used on the wire.
const (
	// NoResult means that the call is no evidence on the target, for example because the caller
	// disconnected. It is the zero value.
	NoResult Result = iota
	// Answered means that the target answered.
	Answered
	// Failed means that the target failed.
	Failed
	// Unreachable means that the connection to the target could not be established.
	Unreachable
)

// health tracks the health status of targets by the calls of all instances. It is not safe for
// concurrent use.
type health struct {
	unreachable *ejector.Ejector[discoverer.Name]
	failing     *ejector.Ejector[discoverer.Name]
	latencies   *evaluator.Evaluator[discoverer.Name]
}

func newHealth() *health {
	return &health{
		// Instances that can send results here also reach the target's data centre, so that a failed
		// connection indicates a fault of the target. With one failure the fault may be the
		// instance's own, hence two are required. The times are short, since a failed probe call
		// is cheap.
		unreachable: ejector.New[discoverer.Name](ejector.Settings{Failures: 2, Base: 500 * time.Millisecond, Max: 2 * time.Second}),
		failing:     ejector.New[discoverer.Name](ejector.Settings{Failures: 3, Base: time.Second, Max: 5 * time.Second}),
		latencies:   evaluator.New[discoverer.Name](),
	}
}

// excluded reports whether a target is to get no calls for now, given the median latency of its group.
func (h *health) excluded(now time.Time, n discoverer.Name, median float64) bool {
	if h.unreachable.Excluded(now, n) || h.failing.Excluded(now, n) {
		return true
	}

	return h.latencies.Slow(n, median) && h.latencies.ProbedRecently(now, n)
}

// start records that a call is sent to a target. If the target is excluded, the call is a probe call.
func (h *health) start(now time.Time, n discoverer.Name) {
	h.unreachable.StartProbe(now, n)
	h.failing.StartProbe(now, n)
	h.latencies.RecordCall(now, n)
}

// record records the result of a call and its latency; a latency of zero is unknown.
func (h *health) record(now time.Time, n discoverer.Name, s Result, latency float64) {
	switch s {
	case Answered:
		h.unreachable.RecordResult(now, n, true)
		h.failing.RecordResult(now, n, true)
	case Failed:
		h.unreachable.RecordResult(now, n, true)
		h.failing.RecordResult(now, n, false)
	case Unreachable:
		h.unreachable.RecordResult(now, n, false)
	case NoResult:
		// A probe call without a result permits the next one.
		h.unreachable.CancelProbe(n)
		h.failing.CancelProbe(n)
	}

	if latency > 0 {
		h.latencies.RecordAnswer(n, latency)
	}
}

func (h *health) forget(n discoverer.Name) {
	h.unreachable.Forget(n)
	h.failing.Forget(n)
	h.latencies.Forget(n)
}

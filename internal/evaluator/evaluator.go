// Package evaluator detects slow targets by the time until their answers begin.
//
// A call that may run only once can't be retried elsewhere when its target turns out to be slow, so slow
// targets are detected by the answers to other calls.
package evaluator

import (
	"slices"
	"time"
)

const (
	// A target is slow if its latency is at least minSlow (a fraction of the latency objective, see
	// Evaluator) and at least slowFactor times the median latency of its group. The latency of a target
	// that is merely busy is below both.
	minSlow    = 0.4
	slowFactor = 3
	// sampleWeight is the weight of the latest answer in the moving average.
	sampleWeight = 0.3
	// minSamples is the minimum number of answers for a target's latency to be known.
	minSamples = 3
	// probeInterval is the time between two probe calls to a slow target, which test whether it is still
	// slow.
	probeInterval = time.Second
)

// latency is the moving average of a target's latency, as a fraction of the latency objective.
type latency struct {
	fraction float64
	samples  int
	probedAt time.Time
}

// Evaluator tracks the latencies of targets, which have keys of type K. A latency is the time until an
// answer begins, as a fraction of the latency objective: the time within which an answer must begin to
// be of full use to the caller. An Evaluator is not safe for concurrent use.
type Evaluator[K comparable] struct {
	latencies map[K]*latency
}

// New returns an Evaluator without latencies.
func New[K comparable]() *Evaluator[K] {
	return &Evaluator[K]{latencies: make(map[K]*latency)}
}

// RecordAnswer records the latency of one answer.
func (e *Evaluator[K]) RecordAnswer(target K, fraction float64) {
	x := e.entry(target, fraction)
	x.fraction += sampleWeight * (fraction - x.fraction)
	x.samples++
}

// SetLatency replaces the latency of a target by one reported by an instance that has seen more of its answers.
func (e *Evaluator[K]) SetLatency(target K, fraction float64) {
	x := e.entry(target, fraction)
	x.fraction, x.samples = fraction, max(x.samples, minSamples)
}

func (e *Evaluator[K]) entry(target K, fraction float64) *latency {
	x, ok := e.latencies[target]
	if !ok {
		x = &latency{fraction: fraction}
		e.latencies[target] = x
	}

	return x
}

// RecordCall records that a call is sent to a target with recorded latencies. If the target is slow, the
// call is a probe call.
func (e *Evaluator[K]) RecordCall(now time.Time, target K) {
	if x, ok := e.latencies[target]; ok && now.Sub(x.probedAt) >= probeInterval {
		x.probedAt = now
	}
}

// Slow reports whether a target's latency is much higher than the median latency of its group. It
// is false while the target's latency is unknown.
func (e *Evaluator[K]) Slow(target K, median float64) bool {
	x := e.Latency(target)

	return x > 0 && x >= max(minSlow, slowFactor*median)
}

// ProbedRecently reports whether a probe call was sent to a target within probeInterval.
func (e *Evaluator[K]) ProbedRecently(now time.Time, target K) bool {
	x, ok := e.latencies[target]

	return ok && now.Sub(x.probedAt) < probeInterval
}

// Latency returns the latency of a target; zero if too few answers were seen.
func (e *Evaluator[K]) Latency(target K) float64 {
	x, ok := e.latencies[target]
	if !ok || x.samples < minSamples {
		return 0
	}

	return x.fraction
}

// MedianLatency returns the median of the known latencies of targets; zero if none is known.
func (e *Evaluator[K]) MedianLatency(targets []K) float64 {
	o := make([]float64, 0, len(targets))

	for _, t := range targets {
		if x := e.Latency(t); x > 0 {
			o = append(o, x)
		}
	}

	if len(o) == 0 {
		return 0
	}

	slices.Sort(o)

	return o[len(o)/2]
}

// Forget drops the latency of a target.
func (e *Evaluator[K]) Forget(target K) {
	delete(e.latencies, target)
}

// Package searcher decides how a call searches for a target with a free slot: how many homes of
// targets it requests a slot from, with which bound, and when it is refused. The home (home
// node) of a target is the one instance that counts the target's calls.
//
// Load pattern: services slightly above their capacity. If a call is sent although all are
// full, it queues at one, where it is late, delays the calls behind it, or is rejected because
// the queue is full. With a tenth more calls than the capacity, 0.6 of their total value was
// achieved. A bound on the queues keeps the calls that run within their latency objective.
package searcher

import "github.com/auburntray/auburntray/internal/aggregator"

const (
	// maxRequests is the maximum number of homes that are requested to reserve a slot without
	// queueing. Each request takes one or two milliseconds.
	maxRequests = 5
	// maxExcluded is the number of targets reported as excluded by their homes after which a
	// call accepts excluded targets. When most targets of a group fail, there is no better
	// one to find, and each request takes time.
	maxExcluded = 2
	// queueFactor is the number of calls that a service may have for each call that it runs
	// concurrently. The last call in the queue is in time if calls take a quarter of their
	// latency objective. In a longer queue calls would be late; with a shorter one targets
	// would idle between calls.
	queueFactor = 2
)

// Step is the next step of a search.
type Step int

// The steps.
const (
	// Send ends the search: the call is sent to the target.
	Send Step = iota
	// TryNext continues the search with the home of another target.
	TryNext
	// Refuse ends the search: no target has a free slot, and the call is refused.
	Refuse
)

// Searcher is the search of one call for a target. The zero value is a search that has made no
// requests. It is not safe for concurrent use.
type Searcher struct {
	// Prompt reports that the call has a prompt. Engines order their queues by priority, and
	// the admission to these queues has been decided before, so such calls are not refused.
	Prompt bool
	// Bounded reports that the bound must not be exceeded, with a prompt or without one, since the targets that may run the
	// call are few.
	Bounded        bool
	full, excluded int
}

// FullCount returns the number of targets that were full.
func (s *Searcher) FullCount() int { return s.full }

// MaxCalls returns the maximum number of calls at a target, including this one. The bound is the
// number of calls that the target runs concurrently. After maxRequests requests, a service may
// have queueFactor times as many.
func (s *Searcher) MaxCalls(bound float64) int {
	if s.limitReached() && !s.Prompt && !s.Bounded {
		bound *= queueFactor
	}

	return int(bound)
}

// AllowExcluded reports whether the call accepts a slot at an excluded target.
func (s *Searcher) AllowExcluded() bool { return s.excluded >= maxExcluded }

// Next records the outcome reported by a home and returns the next step.
func (s *Searcher) Next(o aggregator.Outcome) Step {
	last := s.limitReached()

	switch o {
	case aggregator.Full:
		s.full++
	case aggregator.Excluded:
		s.excluded++
	default:
		// Granted, no answer, or an outcome of a newer release that is unknown here. If the search continued
		// after unknown outcomes, it might never end.
		return Send
	}

	switch {
	case !last && (!s.Prompt || !s.limitReached()):
		return TryNext
	case s.Prompt && !s.Bounded || o == aggregator.Excluded:
		// The call must be sent to some target, and a target may accept more calls than its
		// bound.
		return Send
	default:
		return Refuse
	}
}

// limitReached reports whether the maximum number of requests for a slot without queueing was made.
func (s *Searcher) limitReached() bool { return s.full+s.excluded >= maxRequests }

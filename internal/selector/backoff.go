package selector

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// StartBackoff starts a backoff of duration d for a target that refused a call and requested that this instance
// send it no calls for that time.
func (s *Selector) StartBackoff(now time.Time, t *discoverer.Target, d time.Duration) {
	s.suppressor.StartBackoff(now, t.Key(), d)

	if s.process(t).isCurrent(t) {
		s.health.setExcluded(Own, TargetBackingOff, t, true)
	}
}

// InBackoff reports whether a target is in a backoff.
func (s *Selector) InBackoff(now time.Time, t *discoverer.Target) bool {
	return s.suppressor.InBackoff(now, t.Key())
}

// RecordAnswer records that a target has begun to answer a call.
func (s *Selector) RecordAnswer(now time.Time, t *discoverer.Target) {
	s.suppressor.RecordAnswer(now, t.Key())

	if s.suppressor.Wait(now, t.Key()) == 0 {
		s.health.setExcluded(Own, TargetBackingOff, t, false)
	}
}

// GroupBackoff reports whether all targets of a group that the call may be sent to are in a backoff, including
// those that the call was already sent to. The first result is the time until the first of them accepts calls.
func (s *Selector) GroupBackoff(now time.Time, r *discoverer.Registry, group string, q Query) (time.Duration, bool) {
	q.Tried = nil
	all := s.candidates(now, r, r.Groups[group], &q)
	l, first := s.withoutBackoff(now, all)

	return first, len(all) > 0 && len(l) == 0
}

// withoutBackoff returns the candidates that are not in a backoff, and the time until the first of the others
// accepts calls. Candidates in a backoff are omitted even if no others remain.
func (s *Selector) withoutBackoff(now time.Time, l []candidate) ([]candidate, time.Duration) {
	var first time.Duration

	o := filter(l, func(x candidate) bool {
		w := s.suppressor.Wait(now, x.target.Key())
		if w > 0 && (first == 0 || w < first) {
			first = w
		}

		return w == 0
	})

	return o, first
}

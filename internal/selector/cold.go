package selector

import (
	"slices"
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// cold reports whether a target can only serve a low rate of calls: because its registry entry states so, or
// because its data centre was reopened recently and the target's updated entry may not have been read yet.
func (q *Query) cold(now time.Time, r *discoverer.Registry, t *discoverer.Target) bool {
	if q.ColdRate <= 0 {
		return false
	}

	return t.ColdAt(now, q.ColdFor) || now.Before(r.Reopened[t.DataCentre].Add(q.ColdFor))
}

// admissible returns the candidates that a call may be sent to: the warm ones, and the cold ones within this
// instance's share of their rate. Other cold ones are omitted even if no candidate remains, because a cold
// target that is sent too many calls crashes and loses all of them.
func (s *Selector) admissible(now time.Time, l []candidate, q *Query) []candidate {
	if !slices.ContainsFunc(l, func(x candidate) bool { return x.cold }) {
		return l
	}

	f := sync.OnceValue(s.fleet)

	return filter(l, func(x candidate) bool {
		return !x.cold || s.throttler.Allow(now, x.target.Key(), q.ColdRate, f)
	})
}

// loadBaseline returns the candidates that count for the mean load: all that are reachable, including cold
// ones and those in a backoff. If none is reachable, it returns those that are tried as a last resort.
func (s *Selector) loadBaseline(now time.Time, tried, all []candidate, q *Query) []candidate {
	if l := s.health.reachable(now, all, q.Route); len(l) > 0 {
		return l
	}

	return tried
}

// recordSent counts a call to a target that is cold or recovers from a backoff. At a cold target the call
// counts even if the home of the target declines it afterwards.
func (s *Selector) recordSent(now time.Time, x candidate) {
	if x.cold {
		s.throttler.RecordSent(now, x.target.Key())
	}

	if x.explores {
		s.limiter.RecordExplored(now, x.target.Key())
	}

	s.suppressor.RecordSent(now, x.target.Key())
}

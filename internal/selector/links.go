package selector

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// groupUnreached reports whether this instance reaches no target of a group. Once that is so, it remains so until
// LinksReturned: a call must not find out, since a dial over a silent link takes until its time-out, and the first target
// that is found to be reachable again would get all calls of the instance.
func (h *health) groupUnreached(now time.Time, group string, l []*discoverer.Target) bool {
	if len(l) == 0 {
		return false
	}

	if !h.unreached[group] && !slices.ContainsFunc(l, func(t *discoverer.Target) bool { return h.isReachable(now, t, Direct) }) {
		h.unreached[group] = true
	}

	return h.unreached[group]
}

// contactLifetime is how long the links of this instance to a group count as intact after it reached a target.
const contactLifetime = time.Second

// LinksProven reports whether this instance has just reached a target of a group, so that a target that it can't
// connect to is the one at fault.
func (s *Selector) LinksProven(now time.Time, group string) bool {
	return !s.health.unreached[group] && now.Sub(s.health.contacts[group]) < contactLifetime
}

// StartChoice counts a call that is sent to a target on the route for which the target was selected.
func (s *Selector) StartChoice(now time.Time, x Choice) {
	if x.Route == Delegated {
		s.StartDelegated(now, x.Target)
	} else {
		s.Start(now, x.Target)
	}
}

// FinishChoice removes a call that was counted with StartChoice and records its outcome.
func (s *Selector) FinishChoice(now time.Time, x Choice, o Outcome) {
	if x.Route == Delegated {
		s.FinishDelegated(now, x.Target, o)
	} else {
		s.Finish(now, x.Target, o)
	}
}

// StartDelegated counts a call that another instance sends to a target for this one.
func (s *Selector) StartDelegated(now time.Time, t *discoverer.Target) {
	p := s.process(t)
	p.running++

	if p.isCurrent(t) {
		s.health.remote.StartProbe(now, t.Key())
		s.health.failing.StartProbe(now, t.Key())
		s.health.latencies.RecordCall(now, t.Key())
	}
}

// FinishDelegated removes a call that was counted with StartDelegated and records its outcome. Unreachable means that the
// other instance did not reach the target either. The outcome says nothing about the links of this instance.
func (s *Selector) FinishDelegated(now time.Time, t *discoverer.Target, o Outcome) {
	p, ok := s.endCall(now, t, o)
	if !ok {
		return
	}

	s.health.finishDelegated(now, p.target, o)
}

func (h *health) finishDelegated(now time.Time, t *discoverer.Target, o Outcome) {
	n := t.Key()

	switch o {
	case Unreachable, Crashed:
		h.remote.RecordResult(now, n, false)
	case Failed:
		h.remote.RecordResult(now, n, true)
		h.failing.RecordResult(now, n, false)
	case Gone:
		h.remote.RecordResult(now, n, true)
		h.gone.RecordResult(now, n, false)
	case Answered:
		h.remote.RecordResult(now, n, true)
		h.failing.RecordResult(now, n, true)
		h.gone.RecordResult(now, n, true)
	case Shed:
		h.remote.RecordResult(now, n, true)
	case Inconclusive:
		h.remote.CancelProbe(n)
		h.failing.CancelProbe(n)

		return
	}

	h.setExcluded(Own, TargetFailing, t, h.failing.Excluded(now, n))
	h.setExcluded(Own, TargetGone, t, h.gone.Excluded(now, n))
}

// Unreached returns the groups of which this instance reaches no target, in ascending order.
func (s *Selector) Unreached() []string {
	return slices.Sorted(maps.Keys(s.health.unreached))
}

// CheckGroup determines and reports whether this instance reaches no target of a group.
func (s *Selector) CheckGroup(now time.Time, r *discoverer.Registry, group string) bool {
	return s.health.groupUnreached(now, group, r.Groups[group])
}

// LinkProbes returns, by group, the targets to probe to find out whether the links of this instance to a group that it
// does not reach have returned: one in each data centre. It drops the groups that have no targets.
func (s *Selector) LinkProbes(r *discoverer.Registry, random *rand.Rand) map[string][]*discoverer.Target {
	o := make(map[string][]*discoverer.Target)

	for g := range s.health.unreached {
		l := slices.Clone(r.Groups[g])
		if len(l) == 0 {
			delete(s.health.unreached, g)

			continue
		}

		random.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })
		slices.SortStableFunc(l, func(a, b *discoverer.Target) int { return strings.Compare(a.DataCentre, b.DataCentre) })
		o[g] = slices.CompactFunc(l, func(a, b *discoverer.Target) bool { return a.DataCentre == b.DataCentre })
	}

	return o
}

// LinksReturned records that the links of this instance to a group have returned, as far as the targets are in the data
// centres of the given ones. All targets there are usable at once: their exclusions end at different times, and until
// then the first ones would get all calls.
func (s *Selector) LinksReturned(r *discoverer.Registry, group string, reached []*discoverer.Target) {
	for _, t := range r.Groups[group] {
		if slices.ContainsFunc(reached, func(x *discoverer.Target) bool { return x.DataCentre == t.DataCentre }) {
			s.health.targets.Forget(t.Key())
			s.health.setExcluded(Own, TargetUnreachable, t, false)
		}
	}

	delete(s.health.unreached, group)
}

package selector

import (
	"slices"
	"strings"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// HealthChanges returns the changes of health status since the last call and clears them.
func (s *Selector) HealthChanges() []HealthChange {
	o := s.health.changes
	s.health.changes = nil

	return o
}

// Running returns the number of calls of this instance at the targets of a data centre, including targets that
// are no longer listed.
func (s *Selector) Running(centre string) int {
	n := 0

	for _, p := range s.processes {
		if p.target.DataCentre == centre {
			n += p.running
		}
	}

	return n
}

// TargetState is the state of a target as seen by this instance.
type TargetState struct {
	Target *discoverer.Target
	// Load is the estimated number of calls of all instances.
	Load float64
	// Excluded reports whether the target or its data centre is excluded.
	Excluded bool
}

// TargetStates returns the states of the targets of a registry in the order of their IDs.
func (s *Selector) TargetStates(now time.Time, r *discoverer.Registry) []TargetState {
	o := make([]TargetState, 0, len(r.Known))

	for _, t := range r.Known {
		o = append(o, TargetState{Target: t, Load: s.load(now, t), Excluded: s.health.isExcluded(t)})
	}

	slices.SortFunc(o, func(a, b TargetState) int { return strings.Compare(a.Target.ID, b.Target.ID) })

	return o
}

// PartitionProbes returns a target to probe in each unreachable data centre if this instance reaches fewer than half of
// the data centres with targets, and none otherwise. At most one side of a network partition has less than
// half, and with two data centres neither has.
func (s *Selector) PartitionProbes(r *discoverer.Registry) []*discoverer.Target {
	return s.health.partitionProbes(r)
}

// maxWitnesses is the number of targets that are probed to find out whether a data centre is reachable, one after the other until
// one accepts a connection. While targets crash one after the other, several of them are down, and this instance
// does not know of each.
const maxWitnesses = 6

// Witnesses returns the targets to probe to distinguish a crash of t from a network partition: if the probes
// succeed, t's data centre is reachable. The witnesses are other targets of t's data centre, or of any data centre
// if t is the only target there. Those with the fewest signs of failure are first.
func (s *Selector) Witnesses(now time.Time, r *discoverer.Registry, t *discoverer.Target) []*discoverer.Target {
	var near, far []*discoverer.Target

	for _, x := range r.Known {
		switch {
		case x.Key() == t.Key() || x.IsLeaving():
		case x.DataCentre == t.DataCentre:
			near = append(near, x)
		default:
			far = append(far, x)
		}
	}

	if len(near) == 0 {
		near = far
	}

	slices.SortStableFunc(near, func(a, b *discoverer.Target) int {
		return s.health.failureSigns(now, a) - s.health.failureSigns(now, b)
	})

	return near[:min(len(near), maxWitnesses)]
}

package selector

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// callFinishedAge is the age of a load report at which the call whose answer contained the report is assumed to
// have finished. A call takes a few hundred milliseconds.
const callFinishedAge = 500 * time.Millisecond

// Update holds the placements and load reports that instances send to each other.
type Update struct {
	Placements []Placement
	Loads      []TargetLoad
}

// ApplyUpdate applies another instance's update for the processes of a registry. Entries for other processes, and
// for names that two processes share, are ignored: they may refer to an earlier process that the other
// instance does not know to have ended.
func (s *Selector) ApplyUpdate(now time.Time, r *discoverer.Registry, n Update) {
	for _, p := range n.Placements {
		if t, ok := r.Names[p.Target]; ok {
			s.placements.recordPeer(now, p.Key, t.Key())
		}
	}

	for _, l := range n.Loads {
		if t, ok := r.Names[l.Target]; ok {
			s.process(t).report(l.At, l.callsAt(now))
		}
	}
}

// ReportGone applies another instance's notification that a process has been replaced at its address. Another
// process under the same ID is not affected.
func (s *Selector) ReportGone(now time.Time, r *discoverer.Registry, p discoverer.Process) {
	if t, ok := r.Processes[p.Key()]; ok && !s.process(t).unlisted {
		s.health.reportGone(now, t)
	}
}

// PendingUpdate returns the pending update for other instances and clears it: placements that they may not know and the
// latest load report of each target.
func (s *Selector) PendingUpdate() Update {
	n := Update{Placements: s.placements.takePending()}
	k := make(map[discoverer.Name]bool, len(s.pendingLoads))

	for _, l := range slices.Backward(s.pendingLoads) {
		if !k[l.Target] {
			k[l.Target] = true
			n.Loads = append(n.Loads, l)
		}
	}

	s.pendingLoads = nil

	return n
}

// callsAt estimates the number of calls at a target from an earlier load report.
//
// The report is part of the answer to a call and counts that call too. With hundreds of instances a report is about
// a second old on arrival, and the call has finished. If the call were still counted, the mean load would be one
// too high, and every target could exceed its bound by two calls.
func (l TargetLoad) callsAt(now time.Time) int {
	if now.Sub(l.At) < callFinishedAge {
		return l.Calls
	}

	return max(l.Calls-1, 0)
}

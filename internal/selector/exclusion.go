package selector

import (
	"maps"
	"slices"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// Cause is why a target or a data centre is excluded.
type Cause string

// The causes of exclusion.
const (
	// TargetUnreachable means that no connection to a target was established.
	TargetUnreachable Cause = "targetUnreachable"
	// CentreUnreachable means that connections to targets of a data centre failed twice in a row.
	CentreUnreachable Cause = "dataCentreUnreachable"
	// TargetFailing means that a target failed repeatedly.
	TargetFailing Cause = "targetFailing"
	// TargetGone means that a target's address belongs to another process.
	TargetGone Cause = "targetGone"
	// TargetSlow means that a target's answers begin much later than those of others.
	TargetSlow Cause = "targetSlow"
	// TargetBackingOff means that a target requested a backoff.
	TargetBackingOff Cause = "targetRests"
)

// targetCauses are the causes that apply to single targets.
var targetCauses = []Cause{TargetUnreachable, TargetFailing, TargetGone, TargetSlow, TargetBackingOff} //nolint:gochecknoglobals // A constant table.

// Source is the origin of a change of health status.
type Source string

// The sources.
const (
	// Own is the outcome of a call of this instance.
	Own Source = "own"
	// Peer is a notification from another instance. That instance has notified all others, so the change is not
	// forwarded.
	Peer Source = "peer"
)

// HealthChange is a change of the health status of a target or a data centre.
type HealthChange struct {
	Cause  Cause
	Source Source
	// Name is the ID of the target or the name of the data centre.
	Name string
	// Process is the target's process; zero for a data centre.
	Process discoverer.Process
	// Excluded reports whether the target or data centre is excluded from now on; otherwise it is readmitted.
	Excluded bool
}

// exclusion identifies a process or a data centre that is excluded for a cause.
type exclusion struct {
	cause   Cause
	process discoverer.Key
	centre  string
}

// exclusionOf returns the exclusion of a target, or of its data centre if the cause applies to data centres.
func exclusionOf(c Cause, t *discoverer.Target) exclusion {
	if c == CentreUnreachable {
		return exclusion{cause: c, centre: t.DataCentre}
	}

	return exclusion{cause: c, process: t.Key()}
}

// setExcluded records whether a target, or its data centre, is excluded for a cause. It does nothing if the
// exclusion is unchanged.
func (h *health) setExcluded(s Source, c Cause, t *discoverer.Target, excluded bool) {
	k := exclusionOf(c, t)
	if h.excluded[k] == excluded {
		return
	}

	if excluded {
		h.excluded[k] = true
	} else {
		delete(h.excluded, k)
	}

	b := HealthChange{Cause: c, Source: s, Name: t.ID, Process: t.Process(), Excluded: excluded}
	if c == CentreUnreachable {
		b.Name, b.Process = t.DataCentre, discoverer.Process{}
	}

	h.changes = append(h.changes, b)
}

// isExcluded reports whether a target or its data centre is excluded.
func (h *health) isExcluded(t *discoverer.Target) bool {
	if h.excluded[exclusionOf(CentreUnreachable, t)] {
		return true
	}

	return slices.ContainsFunc(targetCauses, func(c Cause) bool { return h.excluded[exclusionOf(c, t)] })
}

// partitionProbes returns a target in each unreachable data centre if fewer than half of the data centres with targets
// are reachable, and none otherwise.
func (h *health) partitionProbes(r *discoverer.Registry) []*discoverer.Target {
	if len(h.excluded) == 0 {
		return nil
	}

	all := make(map[string]bool)
	unreachable := make(map[string]*discoverer.Target)

	for _, t := range r.Known {
		all[t.DataCentre] = true

		if h.excluded[exclusionOf(CentreUnreachable, t)] {
			unreachable[t.DataCentre] = t
		}
	}

	if 2*(len(all)-len(unreachable)) >= len(all) {
		return nil
	}

	return slices.Collect(maps.Values(unreachable))
}

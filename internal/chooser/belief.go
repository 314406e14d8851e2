package chooser

import (
	"maps"
	"slices"

	"github.com/auburntray/auburntray/internal/enroller"
)

// Cause is why a target or a data centre is left alone.
type Cause string

// The causes.
const (
	// TargetUnreachable means that no connection to a target was made.
	TargetUnreachable Cause = "targetUnreachable"
	// CentreUnreachable means the same of two targets of a data centre in a row.
	CentreUnreachable Cause = "dataCentreUnreachable"
	// TargetFailing means that a target fails again and again.
	TargetFailing Cause = "targetFailing"
	// TargetGone means that another process has a target's address.
	TargetGone Cause = "targetGone"
	// TargetSlow means that a target's answers begin much later than those of others.
	TargetSlow Cause = "targetSlow"
	// TargetRests means that a target has asked for rest.
	TargetRests Cause = "targetRests"
)

// targetCauses are those of single targets.
var targetCauses = []Cause{TargetUnreachable, TargetFailing, TargetGone, TargetSlow, TargetRests} //nolint:gochecknoglobals // A constant table.

// Source is whose word a belief rests on.
type Source string

// The sources.
const (
	// Own is what a call of this instance's showed.
	Own Source = "own"
	// Peer is another instance's word. Whoever gave it told all, and it is not told again.
	Peer Source = "peer"
)

// Belief is a change of what is believed of a target or a data centre.
type Belief struct {
	Cause  Cause
	Source Source
	// Name is the target's ID, or that of the data centre.
	Name string
	// Process is the target's process; zero for a data centre.
	Process enroller.Process
	// Out says that it is left alone from now on, otherwise that it is back.
	Out bool
}

// mark names a process or a data centre that is left alone for a cause.
type mark struct {
	cause   Cause
	process enroller.Key
	centre  string
}

// markOf returns the mark of a target, or of its data centre.
func markOf(c Cause, t *enroller.Target) mark {
	if c == CentreUnreachable {
		return mark{cause: c, centre: t.DataCentre}
	}

	return mark{cause: c, process: t.Key()}
}

// believe notes a change of what is believed of a target, or of its data centre.
func (h *health) believe(s Source, c Cause, t *enroller.Target, out bool) {
	k := markOf(c, t)
	if h.out[k] == out {
		return
	}

	if out {
		h.out[k] = true
	} else {
		delete(h.out, k)
	}

	b := Belief{Cause: c, Source: s, Name: t.ID, Process: t.Process(), Out: out}
	if c == CentreUnreachable {
		b.Name, b.Process = t.DataCentre, enroller.Process{}
	}

	h.beliefs = append(h.beliefs, b)
}

// left says that a target or its data centre is left alone.
func (h *health) left(t *enroller.Target) bool {
	if h.out[markOf(CentreUnreachable, t)] {
		return true
	}

	return slices.ContainsFunc(targetCauses, func(c Cause) bool { return h.out[markOf(c, t)] })
}

// cutOff returns a target in each data centre that can't be reached when fewer than half
// of those with targets can, and none otherwise.
func (h *health) cutOff(r *enroller.Roster) []*enroller.Target {
	if len(h.out) == 0 {
		return nil
	}

	all := make(map[string]bool)
	out := make(map[string]*enroller.Target)

	for _, t := range r.Known {
		all[t.DataCentre] = true

		if h.out[markOf(CentreUnreachable, t)] {
			out[t.DataCentre] = t
		}
	}

	if 2*(len(all)-len(out)) >= len(all) {
		return nil
	}

	return slices.Collect(maps.Values(out))
}

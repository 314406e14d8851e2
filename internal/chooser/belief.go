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
)

// Belief is a change of what is believed of a target or a data centre.
type Belief struct {
	Cause Cause
	// Name is the target's ID, or that of the data centre.
	Name string
	// Out says that it is left alone from now on, otherwise that it is back.
	Out bool
}

// believe notes a change.
func (h *health) believe(c Cause, name string, out bool) {
	k := Belief{Cause: c, Name: name, Out: true}
	if h.out[k] == out {
		return
	}

	if out {
		h.out[k] = true
	} else {
		delete(h.out, k)
	}

	h.beliefs = append(h.beliefs, Belief{Cause: c, Name: name, Out: out})
}

// left says that a target or its data centre is left alone.
func (h *health) left(t *enroller.Target) bool {
	for k := range h.out {
		if k.Name == t.ID || k.Cause == CentreUnreachable && k.Name == t.DataCentre {
			return true
		}
	}

	return false
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

		if h.out[Belief{Cause: CentreUnreachable, Name: t.DataCentre, Out: true}] {
			out[t.DataCentre] = t
		}
	}

	if 2*(len(all)-len(out)) >= len(all) {
		return nil
	}

	return slices.Collect(maps.Values(out))
}

// Package tracker tracks which targets are leaving.
package tracker

// State describes the current incarnation of a target, that is one of its successive processes. The
// zero State means that nothing is known.
type State struct {
	Incarnation uint64
	Leaving     bool
}

// Tracker holds the newest incarnation of each target and whether it is leaving. It is not safe for
// concurrent use.
type Tracker struct {
	states map[uint32]State
}

// New returns a Tracker without targets.
func New() *Tracker {
	return &Tracker{states: make(map[uint32]State)}
}

// Observe records the state of a target as reported by a source, and reports whether the known state
// changed. Sources are the platform's list, the target itself and other routers.
//
// A lagging source may still report a leaving target as live. Accepting that would send new requests
// to the target, which are cut when it stops; so leaving persists until a newer incarnation is seen.
func (t *Tracker) Observe(target uint32, s State) bool {
	o, ok := t.states[target]
	if ok && s.Incarnation < o.Incarnation {
		return false
	}

	if ok && s.Incarnation == o.Incarnation {
		s.Leaving = s.Leaving || o.Leaving
	}

	t.states[target] = s

	return s != o
}

// Get returns the known state of a target, or the zero State.
func (t *Tracker) Get(target uint32) State {
	return t.states[target]
}

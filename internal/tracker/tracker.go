// Package tracker follows which targets are leaving.
package tracker

// State is what is known of a target's present incarnation.
type State struct {
	Incarnation uint64
	Leaving     bool
}

// Tracker keeps, for each target, the newest incarnation and whether that one
// is leaving. It is not safe for concurrent use.
type Tracker struct {
	states map[uint32]State
}

// New returns a Tracker that knows no target.
func New() *Tracker {
	return &Tracker{states: make(map[uint32]State)}
}

// Observe takes what a source says of an incarnation of a target and returns
// whether that changed what is known. Sources are the platform's list, the
// target's own word and other routers.
//
// A lagging source still calls a leaving target live. Taken at its word it
// would bring the target back for new work, which shows as requests cut when
// the target stops; so leaving sticks until a newer incarnation is seen.
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

// Get returns what is known of a target. The zero State is a target of which
// nothing is known.
func (t *Tracker) Get(target uint32) State {
	return t.states[target]
}

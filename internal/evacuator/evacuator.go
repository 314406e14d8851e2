// Package evacuator tracks which data centres are evacuated by operators, and so accept no new calls,
// and when former evacuations ended.
//
// Load pattern: a data centre with a quarter of all targets is emptied within a second while callers
// send more than usual. The selection of targets must exclude all of its targets at once, even if no
// others remain.
package evacuator

import (
	"maps"
	"time"
)

// State is an immutable snapshot of the evacuations. It is safe for concurrent use.
type State struct {
	// Begun maps each evacuated data centre to the start of its evacuation, by this instance's clock.
	Begun map[string]time.Time
	// Ended maps each other data centre to the end of its last evacuation, for endedRetention.
	Ended map[string]time.Time
}

// Evacuated reports whether a data centre is evacuated.
func (s *State) Evacuated(centre string) bool {
	_, ok := s.Begun[centre]

	return ok
}

// Evacuator records evacuations. It is not safe for concurrent use.
type Evacuator struct {
	state *State
}

// New returns an Evacuator without evacuations.
func New() *Evacuator {
	return &Evacuator{state: &State{}}
}

// State returns the current snapshot, which is replaced only by a change.
func (e *Evacuator) State() *State {
	return e.state
}

// Begin records that a data centre is evacuated, and reports whether it was not before.
func (e *Evacuator) Begin(now time.Time, centre string) bool {
	if e.state.Evacuated(centre) {
		return false
	}

	s := e.prunedCopy(now)
	s.Begun[centre] = now
	delete(s.Ended, centre)
	e.state = s

	return true
}

// End records that the evacuation of a data centre is over. It returns its duration, and false if the
// data centre was not evacuated.
func (e *Evacuator) End(now time.Time, centre string) (time.Duration, bool) {
	b, ok := e.state.Begun[centre]
	if !ok {
		return 0, false
	}

	s := e.prunedCopy(now)
	delete(s.Begun, centre)
	s.Ended[centre] = now
	e.state = s

	return now.Sub(b), true
}

// endedRetention is how long the end of an evacuation is remembered. It exceeds the time for which targets
// are cold after a start.
const endedRetention = time.Hour

// prunedCopy returns a copy of the state without expired ends. The names of data centres come from
// records that anyone may write, so they must not accumulate.
func (e *Evacuator) prunedCopy(now time.Time) *State {
	s := &State{Begun: make(map[string]time.Time), Ended: make(map[string]time.Time)}
	maps.Copy(s.Begun, e.state.Begun)

	for c, t := range e.state.Ended {
		if now.Sub(t) < endedRetention {
			s.Ended[c] = t
		}
	}

	return s
}

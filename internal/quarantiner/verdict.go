package quarantiner

import (
	"fmt"
	"time"
)

// Standing is what a call may do.
type Standing int

// The standings.
const (
	// Free is a call under which no target has ended since it was served last.
	Free Standing = iota
	// Suspected is one under which some have; it may go on.
	Suspected
	// Held is one that goes to no target.
	Held
)

// String returns the standing's name.
func (s Standing) String() string {
	switch s {
	case Free:
		return "free"
	case Suspected:
		return "suspected"
	case Held:
		return "held"
	default:
		return "unknown"
	}
}

// Verdict says what a call may do, and why.
type Verdict struct {
	Standing Standing
	// Ends is how many ends count against the call.
	Ends int
	// Last is when the last of them was.
	Last time.Time
	// Due says that a call that is held back is to be tried once, and Back how long it is
	// until then; zero for ever.
	Due  bool
	Back time.Duration
}

const (
	// busyWait is when to come back with a call of which another sending is out.
	busyWait = 500 * time.Millisecond
	// heldWait is the same for one that is held back and not tried any more, and leastWait the
	// least for others. Whoever comes back sooner is refused again, at no cost to a target.
	heldWait  = time.Hour
	leastWait = time.Second
)

// Wait returns when a call should come back that may not go on.
func (v Verdict) Wait() time.Duration {
	switch {
	case v.Standing != Held:
		return busyWait
	case v.Back == 0 && !v.Due:
		return heldWait
	default:
		return max(v.Back, leastWait)
	}
}

// Reason says why a call may not go on.
func (v Verdict) Reason(now time.Time) string {
	if v.Standing != Held {
		return "a target has ended while it ran this call, and another sending of it is out"
	}

	return fmt.Sprintf("%d targets have ended while they ran this call, the last %v ago; it is held back", v.Ends, now.Sub(v.Last).Round(time.Millisecond))
}

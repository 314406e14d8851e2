package chooser

// Outcome is how a call at a target ended.
type Outcome int

// The outcomes.
const (
	// Good is an answer.
	Good Outcome = iota
	// Bad is a failure of the target's.
	Bad
	// Unreachable means that no connection was made.
	Unreachable
	// Ended means that the target's process is gone while its data centre is reached.
	Ended
	// Shed is the target's word that it took no more.
	Shed
	// Gone means that another process has the target's address.
	Gone
	// Neither says nothing about the target: the caller left, say.
	Neither
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Good:
		return "good"
	case Bad:
		return "bad"
	case Unreachable:
		return "unreachable"
	case Ended:
		return "ended"
	case Shed:
		return "shed"
	case Gone:
		return "gone"
	case Neither:
		return "neither"
	default:
		return "unknown"
	}
}

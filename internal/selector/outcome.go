package selector

// Outcome is how a call at a target ended.
type Outcome int

// The outcomes.
const (
	// Answered means that the call was answered.
	Answered Outcome = iota
	// Failed means that the target failed.
	Failed
	// Unreachable means that no connection was established.
	Unreachable
	// Crashed means that the target's process crashed while its data centre is reachable.
	Crashed
	// Shed means that the target refused the call because of overload.
	Shed
	// Gone means that the target's address belongs to another process.
	Gone
	// Inconclusive means that the call is no evidence on the target, for example because its caller disconnected.
	Inconclusive
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "good"
	case Failed:
		return "bad"
	case Unreachable:
		return "unreachable"
	case Crashed:
		return "ended"
	case Shed:
		return "shed"
	case Gone:
		return "gone"
	case Inconclusive:
		return "neither"
	default:
		return "unknown"
	}
}

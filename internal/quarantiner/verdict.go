package quarantiner

import (
	"fmt"
	"time"
)

// Status is the quarantine status of a call.
type Status int

// The statuses of a call.
const (
	// Free is a call without crashes since it was last served.
	Free Status = iota
	// Suspected is a call with fewer crashes than the threshold; it may be sent.
	Suspected
	// Quarantined is a call with too many crashes; it is sent to no target.
	Quarantined
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Free:
		return "free"
	case Suspected:
		return "suspected"
	case Quarantined:
		return "held"
	default:
		return "unknown"
	}
}

// Verdict is the decision on a call and its reason.
type Verdict struct {
	Status Status
	// Crashes is the number of crashes that count against the call.
	Crashes int
	// LastCrash is the time of the last of these crashes.
	LastCrash time.Time
	// Repeated reports whether the last of these crashes suggests that this call or another one with it crashes targets: it
	// is not the call's first, and the call was not quarantined yet. Further crashes of a call that is known as a cause
	// suggest no other.
	Repeated bool
	// TrialDue reports whether a quarantined call is due for a trial.
	TrialDue bool
	// TrialIn is the time until the next trial; zero if there is none, or if it is due now.
	TrialIn time.Duration
}

const (
	// suspectedRetryAfter applies while another attempt of a suspected call is in flight.
	suspectedRetryAfter = 500 * time.Millisecond
	// permanentRetryAfter applies to quarantined calls without further trials, and minRetryAfter is
	// the minimum for others. Callers that retry sooner are refused again, without cost to a target.
	permanentRetryAfter = time.Hour
	minRetryAfter       = time.Second
)

// RetryAfter returns the time after which a refused call should be retried.
func (v Verdict) RetryAfter() time.Duration {
	switch {
	case v.Status != Quarantined:
		return suspectedRetryAfter
	case v.TrialIn == 0 && !v.TrialDue:
		return permanentRetryAfter
	default:
		return max(v.TrialIn, minRetryAfter)
	}
}

// Reason returns why a call is refused.
func (v Verdict) Reason(now time.Time) string {
	if v.Status != Quarantined {
		return "a target has ended while it ran this call, and another sending of it is out"
	}

	return fmt.Sprintf("%d targets have ended while they ran this call, the last %v ago; it is held back", v.Crashes, now.Sub(v.LastCrash).Round(time.Millisecond))
}

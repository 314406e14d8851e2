package quarantiner

import (
	"fmt"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
)

// Status is the quarantine status of a subject.
type Status int

// The statuses of a subject.
const (
	// Free is a subject without crashes since it was last served.
	Free Status = iota
	// Suspected is a subject with fewer crashes than the threshold; it may be sent.
	Suspected
	// Quarantined is a subject with too many crashes; it is sent to no target.
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

// Verdict is the decision on a subject and its reason.
type Verdict struct {
	Subject digester.Digest
	Status  Status
	// ServedBefore reports whether an instance had served the subject shortly before one of its crashes.
	ServedBefore bool
	// Crashes is the number of crashes that count against the subject.
	Crashes int
	// LastCrash is the time of the last of these crashes.
	LastCrash time.Time
	// Repeated reports whether the last of these crashes suggests that this call or another one with it crashes targets: it
	// is not the call's first, and the call was not quarantined yet. Further crashes of a call that is known as a cause
	// suggest no other. It is never set for a part, which many calls have in common.
	Repeated bool
	// failedTrials is the number of crashes since the subject was quarantined, without one that came too early for a trial.
	failedTrials int
	// TrialDue reports whether a quarantined subject is due for a trial.
	TrialDue bool
	// TrialIn is the time until the next trial; zero if there is none, or if it is due now.
	TrialIn time.Duration
}

const (
	// suspectedRetryAfter applies while another attempt of a suspected subject is in flight.
	suspectedRetryAfter = 500 * time.Millisecond
	// permanentRetryAfter applies to quarantined subjects without further trials, and minRetryAfter is
	// the minimum for others. Callers that retry sooner are refused again, without cost to a target.
	permanentRetryAfter = time.Hour
	minRetryAfter       = time.Second
)

// NeedsTrial reports whether a call with the subject may be sent only if no other trial of the subject is running. A suspected
// part that was served before needs none, since many sound calls may hold it.
func (v Verdict) NeedsTrial() bool {
	return v.TrialDue || v.Status == Suspected && (!v.ServedBefore || !v.Subject.IsPart())
}

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
	what := "this call"
	if v.Subject.IsPart() {
		what = fmt.Sprintf("calls with the part %v of this prompt", v.Subject)
	}

	if v.Status != Quarantined {
		return fmt.Sprintf("a target has ended while it ran %s, and another sending is out", what)
	}

	return fmt.Sprintf("%d targets have ended while they ran %s, the last %v ago; it is held back", v.Crashes, what, now.Sub(v.LastCrash).Round(time.Millisecond))
}

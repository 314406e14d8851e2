package exchanger

import (
	"fmt"
	"net/http"
	"time"
)

// Code says why a call was not answered as asked.
type Code string

// The codes.
const (
	CodeBadRequest    Code = "badRequest"
	CodeTooLarge      Code = "tooLarge"
	CodeNoCustomer    Code = "noCustomer"
	CodeNoRule        Code = "noRule"
	CodeNotReady      Code = "notReady"
	CodeStopping      Code = "stopping"
	CodeBusy          Code = "busy"
	CodeFull          Code = "full"
	CodeOverShare     Code = "overShare"
	CodeNoTargets     Code = "noTargets"
	CodeNoClaim       Code = "logUnavailable"
	CodeKeyMismatch   Code = "keyMismatch"
	CodeInProgress    Code = "inProgress"
	CodeKeyUnknown    Code = "keyUnknown"
	CodeNotRecorded   Code = "answerNotRecorded"
	CodeTargetFailed  Code = "targetFailed"
	CodeBroken        Code = "answerBroken"
	CodeDeadline      Code = "deadline"
	CodeCallerHangUp  Code = "callerHungUp"
	CodeHeldBack      Code = "heldBack"
	CodeInternalError Code = "internal"
)

// Refusal is the final answer to a call that was given up on. It is an error so
// that filters can return it.
type Refusal struct {
	Code    Code
	Status  int
	Message string
	Outcome Outcome
	// RetryAfter is when to come back; zero means that coming back as it is
	// won't help.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Code, r.Message)
}

// Refuse returns a refusal of a call that was not run.
func Refuse(status int, c Code, after time.Duration, format string, a ...any) *Refusal {
	return &Refusal{Code: c, Status: status, Message: fmt.Sprintf(format, a...), Outcome: NotRun, RetryAfter: after}
}

// Fail returns the answer to a call of which it is not known whether it ran.
func Fail(c Code, format string, a ...any) *Refusal {
	return &Refusal{Code: c, Status: http.StatusBadGateway, Message: fmt.Sprintf(format, a...), Outcome: Unknown}
}

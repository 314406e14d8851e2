package exchanger

import (
	"fmt"
	"net/http"
	"time"
)

// Code is the reason for which a call was refused or failed.
type Code string

// Codes of refusals.
const (
	CodeBadRequest         Code = "badRequest"
	CodeTooLarge           Code = "tooLarge"
	CodeNoCustomer         Code = "noCustomer"
	CodeNoRule             Code = "noRule"
	CodeNotReady           Code = "notReady"
	CodeStopping           Code = "stopping"
	CodeBusy               Code = "busy"
	CodeNoMemory           Code = "noMemory"
	CodeFull               Code = "full"
	CodeOverShare          Code = "overShare"
	CodeNoTargets          Code = "noTargets"
	CodeLogUnavailable     Code = "logUnavailable"
	CodeKeyMismatch        Code = "keyMismatch"
	CodeInProgress         Code = "inProgress"
	CodeKeyUnknown         Code = "keyUnknown"
	CodeAnswerNotRecorded  Code = "answerNotRecorded"
	CodeTargetFailed       Code = "targetFailed"
	CodeAnswerBroken       Code = "answerBroken"
	CodeDeadline           Code = "deadline"
	CodeCallerDisconnected Code = "callerHungUp"
	CodeQuarantined        Code = "heldBack"
	CodeInternalError      Code = "internal"
)

// Refusal is the final answer to a call that was refused or failed. It is an error so
// that filters can return it.
type Refusal struct {
	Code    Code
	Status  int
	Message string
	Outcome Outcome
	// RetryAfter is the time after which the caller may retry. Zero means that an
	// unchanged call would be refused again.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Code, r.Message)
}

// Refuse returns a Refusal with the outcome NotRun. The arguments after the code are the
// time after which the caller may retry, and the format and arguments of the message.
func Refuse(status int, c Code, after time.Duration, format string, a ...any) *Refusal {
	return &Refusal{Code: c, Status: status, Message: fmt.Sprintf(format, a...), Outcome: NotRun, RetryAfter: after}
}

// Fail returns a Refusal with the outcome Unknown and the status 502 Bad Gateway.
func Fail(c Code, format string, a ...any) *Refusal {
	return &Refusal{Code: c, Status: http.StatusBadGateway, Message: fmt.Sprintf(format, a...), Outcome: Unknown}
}

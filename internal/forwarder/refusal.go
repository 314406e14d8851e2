package forwarder

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// errCallerLeft means that the caller closed its connection.
var errCallerLeft = errors.New("the caller left")

const (
	// startWait is when to come back to an instance that has just started: it
	// reads its catalog within a few hundred milliseconds.
	startWait = 300 * time.Millisecond
	// staleWait is when to come back to an instance that may not know the newest
	// catalog; by then it has asked the platform and others again.
	staleWait = 300 * time.Millisecond
	// turnWait is when to come back to another instance; the balancer chooses one
	// at once.
	turnWait = 50 * time.Millisecond
	// failWait is when to come back after no target could take a call. It is
	// about how long a full target needs to have room again.
	failWait = 250 * time.Millisecond
	// fullWait is when to come back to targets with a longer line than callers wait
	// in. A line of that length is gone in about a second when no more come.
	fullWait = time.Second
	// evacuatedWait is when to come back while all that could serve is evacuated, which
	// operators end in seconds at best.
	evacuatedWait = time.Second
	// leavingWait is when to come back while all that could serve leave. Others take their places, at
	// a time that nobody told.
	leavingWait = time.Second
)

// Reason says in a word why a call was given up on, for logs and counts.
type Reason string

// The reasons.
const (
	BadRequest Reason = "badRequest"
	TooLarge   Reason = "tooLarge"
	LongHeader Reason = "longHeader"
	NoCatalog  Reason = "noCatalog"
	NoRule     Reason = "noRule"
	NoKey      Reason = "unknownKey"
	OldCatalog Reason = "oldCatalog"
	NoTarget   Reason = "noTarget"
	TooLate    Reason = "tooLate"
	NoAnswer   Reason = "noAnswer"
	Stopping   Reason = "stopping"
	Busy       Reason = "busy"
	Overload   Reason = "overload"
	HeldBack   Reason = "heldBack"
	Evacuated  Reason = "evacuated"
	Cold       Reason = "targetsCold"
	Leaving    Reason = "targetsLeaving"
	Resting    Reason = "targetsResting"
)

// Refusal is the gateway's own answer to a call that it has given up on. With
// the status 503 the call was not run and never will be.
type Refusal struct {
	Status int
	Reason Reason
	// Wait is when to come back; zero says that it would not help.
	Wait    time.Duration
	Message string
}

// Error returns the status and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d: %s", r.Status, r.Message)
}

// refuse returns a refusal. Callers that are refused together come back spread over
// half the wait, a quarter before and after it: all at once they would be refused
// together again.
func refuse(status int, r Reason, wait time.Duration, format string, a ...any) *Refusal {
	if wait > 0 {
		wait = wait*3/4 + rand.N(wait/2) //nolint:gosec,mnd // Spreads callers.
	}

	return &Refusal{Status: status, Reason: r, Wait: wait, Message: fmt.Sprintf(format, a...)}
}

// afterSpread returns the wait with which refused callers come back spread over a time that begins
// when a wait is over, and not before.
func afterSpread(d time.Duration) time.Duration {
	return d * 4 / 3 //nolint:mnd // The least of the spread is three quarters.
}

func (r *Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")

	if r.Wait > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.Wait.Seconds(), 'f', 2, 64))
	}

	w.WriteHeader(r.Status)
	_, _ = w.Write([]byte(r.Message + "\n"))
}

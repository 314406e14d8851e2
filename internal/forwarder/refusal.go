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
var errCallerLeft = errors.New("caller disconnected")

const (
	// startWait is the Retry-After of an instance that has just started. A starting instance reads
	// its catalog within a few hundred milliseconds.
	startWait = 300 * time.Millisecond
	// staleWait is the Retry-After of an instance whose catalog may be out of date. By then it has
	// queried the platform and other instances again.
	staleWait = 300 * time.Millisecond
	// rejectWait is the Retry-After when another instance should serve the call. The load balancer
	// selects one at once.
	rejectWait = 50 * time.Millisecond
	// noTargetWait is the Retry-After when no target could run the call. It is about the time until
	// a full target has a free slot again.
	noTargetWait = 250 * time.Millisecond
	// overloadWait is the Retry-After when the queues at the targets are longer than callers wait.
	// Such a queue is processed in about a second if no more calls arrive.
	overloadWait = time.Second
	// memoryWait is the Retry-After of an instance whose memory does not suffice for the call.
	memoryWait = 250 * time.Millisecond
	// evacuatedWait is the Retry-After while all data centres that could serve the call are
	// evacuated. Operators take seconds at best to end an evacuation.
	evacuatedWait = time.Second
	// leavingWait is the Retry-After while all targets that could serve the call are shutting down.
	// It is not known when other targets replace them.
	leavingWait = time.Second
)

// Reason is the reason for a refusal, for logs and metrics.
type Reason string

// The reasons for refusals.
const (
	BadRequest        Reason = "badRequest"
	BodyTooLarge      Reason = "tooLarge"
	HeaderTooLarge    Reason = "longHeader"
	NoCatalog         Reason = "noCatalog"
	NoRule            Reason = "noRule"
	UnknownKey        Reason = "unknownKey"
	StaleCatalog      Reason = "oldCatalog"
	NoTarget          Reason = "noTarget"
	DeadlineExceeded  Reason = "tooLate"
	NoAnswer          Reason = "noAnswer"
	Stopping          Reason = "stopping"
	Busy              Reason = "busy"
	Overload          Reason = "overload"
	Quarantined       Reason = "heldBack"
	Evacuated         Reason = "evacuated"
	TargetsCold       Reason = "targetsCold"
	TargetsLeaving    Reason = "targetsLeaving"
	TargetsBackingOff Reason = "targetsResting"
	UnknownVersion    Reason = "unknownVersion"
	VersionGone       Reason = "versionGone"
	NoMemory          Reason = "noMemory"
	BodyTooLate       Reason = "bodyTooLate"
)

// Refusal is the gateway's own answer to a call that it does not forward, or stops trying to. A refusal
// with the status 503 means that the call was not run and never will be.
type Refusal struct {
	Status int
	Reason Reason
	// Wait is the time after which the caller should retry; zero means that a retry would not help.
	Wait    time.Duration
	Message string
}

// Error returns the status and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d: %s", r.Status, r.Message)
}

// refuse returns a refusal. The wait is spread evenly from three to five quarters of its value:
// callers that retry at the same moment would all be refused again.
func refuse(status int, r Reason, wait time.Duration, format string, a ...any) *Refusal {
	if wait > 0 {
		wait = wait*3/4 + rand.N(wait/2) //nolint:gosec,mnd // Jitter needs no secure source.
	}

	return &Refusal{Status: status, Reason: r, Wait: wait, Message: fmt.Sprintf(format, a...)}
}

// withJitterMargin returns the wait to pass to refuse so that, with its jitter, no caller retries
// before d has passed.
func withJitterMargin(d time.Duration) time.Duration {
	return d * 4 / 3 //nolint:mnd // The lower end of the spread is three quarters.
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

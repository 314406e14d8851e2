package forwarder

import (
	"net/http"
	"net/netip"
	"time"
)

// Dialect converts between HTTP headers and the information that callers, targets and the gateway
// exchange. It must be safe for concurrent use.
type Dialect interface {
	// ReadCall returns the description of a call from a caller's headers. It fails if a header is
	// invalid.
	ReadCall(h http.Header) (Call, error)
	// WriteAttempt removes the headers that are not meant for targets from a call's headers and adds those
	// that the gateway sends to targets.
	WriteAttempt(h http.Header, o AttemptInfo)
	// ReadReply returns the information about the call and the target in the headers and the status
	// of a target's answer.
	ReadReply(h http.Header, status int) Reply
}

// Call is a call as its caller describes it.
type Call struct {
	// ID identifies the call; each attempt by the caller has its own.
	ID string
	// Timeout is how long the caller waits; zero if not stated.
	Timeout time.Duration
	// Key is the customer's API key; empty if there is none.
	Key string
	// Prompt describes the call's prompt; empty for calls without one.
	Prompt Prompt
	// LastEvent is the ID of the event after which a stream resumes; empty for a stream from its
	// start.
	LastEvent string
	// Resumes is the ID of the call that brought the first event of the stream that is resumed; empty if not stated.
	Resumes string
}

// Prompt describes the prompt of a call as a sequence of parts.
type Prompt struct {
	Model string
	// Parts are the parts in order. The last one is specific to the call or its chat.
	Parts []Part
}

// Part is a part of a prompt that several calls may share.
type Part struct {
	ID     string
	Tokens int
}

// AttemptInfo is what the gateway sends to a target about an attempt, besides the call itself.
type AttemptInfo struct {
	// Incarnation identifies the only process that may run the call.
	Incarnation string
	// Customer is the caller's customer; empty if no key was required.
	Customer string
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
	// Priority is the priority class of the call; zero is the most urgent. Late places the call
	// behind all others of its class.
	Priority int
	Late     bool
	// LastEvent is the ID of the event after which the stream resumes.
	LastEvent string
	// Source is the address of another target that has the call's prompt cached. The target may
	// fetch the parts that it lacks from there; the zero value if there is none.
	Source netip.AddrPort
}

// Reply describes a target's answer and the state of the target.
type Reply struct {
	// ID is the ID of the call that the answer belongs to.
	ID string
	// NotRun is set when the target did not run the call and never will.
	NotRun bool
	// Sealed is set when the answer carries proof that a target made it.
	Sealed bool
	// Misdirected is set when the answer came from another process, which now has the address of
	// the target.
	Misdirected bool
	// Leaving is set when the target's process is about to shut down and accepts no new calls.
	Leaving bool
	// Backoff is how long this instance should send no calls to the target, which states this when
	// it refuses a call; zero if not stated.
	Backoff time.Duration
	// Brittle is set when the target crashes if it refuses more than MaxRefusals calls in a second for want of space, from
	// all instances together.
	Brittle     bool
	MaxRefusals int
	// Running and Waiting are the numbers of calls that the target runs and has queued; Slots is
	// how many it runs at most. All are zero if not stated.
	Running, Waiting, Slots int
}

package forwarder

import (
	"net/http"
	"net/netip"
	"time"
)

// Dialect reads and writes what callers and targets say in headers.
type Dialect interface {
	// Read returns what a caller says of its call.
	Read(h http.Header) (Call, error)
	// Write removes from a call's headers what is not for targets, and adds what
	// the gateway tells them.
	Write(h http.Header, o Orders)
	// Answer returns what a target says of its answer.
	Answer(h http.Header, status int) Reply
}

// Call is what a caller says of its call.
type Call struct {
	// ID names the call; each attempt of the caller has its own.
	ID string
	// Patience is how long the caller waits; zero when it does not say.
	Patience time.Duration
	// Key is the customer's key; empty when there is none.
	Key string
	// Prompt is what the call's prompt is made of; empty for other calls.
	Prompt Prompt
	// LastEvent is the ID of the event after which a stream goes on; empty when
	// it begins.
	LastEvent string
}

// Prompt is a chain of parts.
type Prompt struct {
	Model string
	// Parts are the parts in their order. The last one belongs to the call or to
	// its chat alone.
	Parts []Part
}

// Part is a part of prompts that several calls may share.
type Part struct {
	ID     string
	Tokens int
}

// Orders are what the gateway tells a target.
type Orders struct {
	// Incarnation is the only one that may run the call.
	Incarnation string
	// Customer is who calls; empty when no key was asked for.
	Customer string
	// Left is how long the caller still waits.
	Left time.Duration
	// Priority is the rank of the call; zero is the most urgent. Late puts it behind
	// all others of its rank.
	Priority int
	Late     bool
	// LastEvent is the ID of the event after which the stream goes on.
	LastEvent string
	// Source is a target that holds the call's prompt, from which this one may
	// fetch what it lacks; zero when there is none.
	Source netip.AddrPort
}

// Reply is what a target says of its answer.
type Reply struct {
	// ID names the call that the answer belongs to.
	ID string
	// NotRun says that the target did not run the call and never will.
	NotRun bool
	// Sealed says that the answer carries the proof that a target made it.
	Sealed bool
	// Misdirected says that another target has the address.
	Misdirected bool
	// Leaving says that the target's process is about to leave and wants no new calls.
	Leaving bool
	// Rest is for how long the target wants no calls from this instance, which it has just turned
	// away; zero when it does not say.
	Rest time.Duration
	// Load is how many calls the target runs and has waiting; Slots is how many
	// it runs at most. All are zero when it does not say.
	Running, Waiting, Slots int
}

// Package exchanger carries one call through the filters, from the caller's
// request to the answer.
package exchanger

import (
	"context"
	"net/http"
	"time"

	"github.com/auburntray/auburntray/internal/asker"
	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/registrar"
)

// Exchange is one call. Each filter reads what earlier ones found and adds its
// own; only the goroutine that serves the call touches it.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// ID names the call in logs and towards targets.
	ID string

	// Set by accept.
	Body  []byte
	Start time.Time

	// Set by identify.
	Customer string
	Chat     uint64
	Hint     uint32
	Key      string
	Deadline time.Time
	Traffic  matcher.Traffic
	// Assistant says that the call is a chat completion; the fields after it
	// are set for these only.
	Assistant bool
	Stream    bool
	// Prompt is about the prompt's length in tokens.
	Prompt int

	// Set by match.
	Force *follower.Config
	Rule  *matcher.Rule

	// Set by isolate. Digest is the same for each sending of the call, and EndTrial, unless it
	// is nil, tells that a sending that was let out is over.
	Digest   digester.Digest
	EndTrial func()

	// Set by claim; nil when nothing was claimed.
	Claim *registrar.Claim

	// Set by pick, for each attempt anew.
	Place  asker.Place
	Target *matcher.Target
	// Attempt counts from 1.
	Attempt  int
	Excluded []uint32
	// MayHaveRun says that an attempt so far may have run.
	MayHaveRun bool

	// Set by send and relay.
	Response *http.Response
	// Relayed says that a part of the answer has reached the caller.
	Relayed bool
	Answer  Answer
	Result  Result
}

// Answer is an answer that was read whole.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is what is known of the last attempt.
type Result struct {
	// Sent says that the request may have reached the target.
	Sent bool
	// NotRun says that the target provably did not run it.
	NotRun bool
	// TargetFailed says that the failure was the target's.
	TargetFailed bool
}

// Filter is one step of a call.
type Filter interface {
	// Name is the name of the step's span.
	Name() string
	// Apply takes the step. An error ends the call; a *Refusal is the answer to
	// the caller.
	Apply(c context.Context, x *Exchange) error
}

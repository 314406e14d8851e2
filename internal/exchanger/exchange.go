// Package exchanger holds the state of one call as it passes through the filters, from
// the caller's request to the answer.
package exchanger

import (
	"context"
	"net/http"
	"time"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/registrar"
	"github.com/auburntray/auburntray/internal/requester"
)

// Exchange is the state of one call. Each filter reads the fields that earlier filters
// set and sets its own. It is not safe for concurrent use: only the goroutine that serves
// the call accesses it.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// ID identifies the call in logs and in requests to targets.
	ID string

	// Set by the filter accept. Memory holds the bytes of the body.
	Body   []byte
	Memory *accountant.Account
	Start  time.Time

	// Set by the filter identify. Chat is the hash that identifies the chat, Hint the target's
	// ID from the placement token, and Key the idempotency key.
	Customer string
	Chat     uint64
	Hint     uint32
	Key      string
	Deadline time.Time
	Traffic  matcher.Traffic
	// ChatCompletion reports that the call is a chat completion. Stream and Prompt are set only
	// for chat completions.
	ChatCompletion bool
	Stream         bool
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int

	// Set by the filter match, from the configuration in force.
	Config *follower.Config
	Rule   *matcher.Rule

	// Set by the filter isolate. Digest is the same each time that a caller sends the call.
	// EndTrial is not nil while the call is on trial: it is suspected of crashing targets and
	// was admitted all the same. EndTrial reports the end of the trial.
	Digest   digester.Digest
	EndTrial func()

	// Set by the filter claim. Claim is nil if no key was claimed.
	Claim *registrar.Claim

	// Set by the filter pick for each attempt.
	Reservation requester.Reservation
	Target      *matcher.Target
	// Attempt counts from 1.
	Attempt  int
	Excluded []uint32
	// MayHaveRun reports that a target may have run an attempt so far.
	MayHaveRun bool

	// Set by the filters send and relay.
	Response *http.Response
	// Relayed reports that a part of the answer has been sent to the caller.
	Relayed bool
	Answer  Answer
	Result  Result
	// AnswerMemory holds the bytes of the answer; nil if none was buffered.
	AnswerMemory *accountant.Account
}

// Release releases the memory that the call holds.
func (x *Exchange) Release() {
	for _, a := range []*accountant.Account{x.Memory, x.AnswerMemory} {
		if a != nil {
			a.Close()
		}
	}
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result describes the last attempt.
type Result struct {
	// Sent reports that the request may have reached the target.
	Sent bool
	// NotRun reports that the target certainly did not run the request.
	NotRun bool
	// TargetFailed reports that the target caused the failure.
	TargetFailed bool
}

// Filter is one step in the processing of a call.
type Filter interface {
	// Name returns the name of the step's trace span.
	Name() string
	// Apply performs the step. An error ends the call; if it is a *Refusal, that is the
	// answer to the caller.
	Apply(c context.Context, x *Exchange) error
}

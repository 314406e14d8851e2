package filterer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/auburntray/auburntray/internal/claimer"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/registrar"
)

const (
	// maxClaimAge is how long after the start of a claimed call it may still be sent
	// to a target.
	maxClaimAge = 10 * time.Second
	// settleTimeout is how long an answer may be delayed while its outcome is being recorded.
	// After that the answer is sent although the outcome is not recorded yet; a repeated
	// call that arrives before the outcome is recorded is asked to retry later.
	settleTimeout = 250 * time.Millisecond
	// maxProgressRetryAfter limits the Retry-After of a call whose key belongs to a call
	// in progress.
	maxProgressRetryAfter = time.Second
)

// claims claims idempotency keys and records the outcomes of their calls.
type claims interface {
	Claim(c context.Context, q registrar.Claim) (registrar.Status, error)
	Settle(c context.Context, q registrar.Claim, o claimer.Outcome, a claimer.Answer) error
}

// Claim claims the idempotency key of a call that may not be repeated. It runs before
// Pick reserves a slot: if the first call with the key has run, a repeated one must get the
// recorded answer even when all targets are full, and never the outcome "not run".
type Claim struct {
	Claims  claims
	Counter *counter.Counter
}

// Name implements exchanger.Filter.
func (Claim) Name() string { return "claim" }

// Apply claims the key if the call has one and its rule does not permit repeats. It
// fails with a Refusal if the key cannot be claimed or belongs to another call, and with
// errAnswered if that call has run and its answer is recorded.
func (f Claim) Apply(c context.Context, x *exchanger.Exchange) error {
	if x.Rule.Repeatable || x.Key == "" {
		return nil
	}

	q := registrar.Claim{
		Key:     hasher.Key(x.Customer, x.Key),
		Body:    hasher.Key(x.Request.Method, x.Request.URL.RequestURI(), string(x.Body)),
		ID:      rand.Uint64(), //nolint:gosec // Not a secret.
		Timeout: time.Until(x.Deadline),
	}

	f.Counter.Add(counter.Claims, 1)

	s, err := f.Claims.Claim(c, q)
	if err != nil {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeLogUnavailable, defaultRetryAfter,
			"the key can't be claimed now; this call was not run, an earlier one with the key may have")
	}

	if s.Outcome == claimer.Won {
		x.Claim = &q

		return nil
	}

	return f.answerRepeat(x, s)
}

// answerRepeat answers a call whose key was claimed by another call.
func (f Claim) answerRepeat(x *exchanger.Exchange, s registrar.Status) error {
	switch s.Outcome {
	case claimer.Ran:
		if s.Answer.Truncated {
			return &exchanger.Refusal{
				Code: exchanger.CodeAnswerNotRecorded, Status: http.StatusConflict, Outcome: exchanger.Ran,
				Message: "the call ran; its answer was too long to be recorded",
			}
		}

		f.Counter.Add(counter.Replayed, 1)
		x.Answer = exchanger.Answer{Status: s.Answer.Status, Body: s.Answer.Body, Header: http.Header{
			"Content-Type":           {s.Answer.ContentType},
			exchanger.HeaderReplayed: {"true"},
		}}

		return errAnswered
	case claimer.Mismatch:
		return exchanger.Refuse(http.StatusUnprocessableEntity, exchanger.CodeKeyMismatch, 0,
			"the key was used for another request")
	case claimer.InProgress:
		return &exchanger.Refusal{
			Code: exchanger.CodeInProgress, Status: http.StatusConflict, Outcome: exchanger.Unknown,
			Message:    "a call with this key is in progress; come back for its answer",
			RetryAfter: min(max(s.RetryAfter, time.Millisecond), maxProgressRetryAfter),
		}
	default:
		return &exchanger.Refusal{
			Code: exchanger.CodeKeyUnknown, Status: http.StatusConflict, Outcome: exchanger.Unknown,
			Message: "a call with this key may have run; it is not run again",
		}
	}
}

// sendable reports whether the call may still be sent to a target. A claimed call expires
// by this router's monotonic clock, which advances while the process is stalled: if a
// router stalls after its claim, another may meanwhile have reported the call's outcome
// as unknown, and the call must not run after that.
func sendable(x *exchanger.Exchange, now time.Time) bool {
	return x.Claim == nil || now.Sub(x.Start) < min(maxClaimAge, x.Deadline.Sub(x.Start))
}

// settle records the outcome of a claimed call. It returns after settleTimeout at the
// latest; a slower write continues in the background.
func (p *Pipeline) settle(x *exchanger.Exchange, err error) {
	if x.Claim == nil {
		return
	}

	o, a := claimer.Unknown, claimer.Answer{}

	switch {
	case err == nil:
		o = claimer.Ran
		a = claimer.Answer{
			Status: x.Answer.Status, ContentType: x.Answer.Header.Get("Content-Type"), Body: x.Answer.Body,
			Truncated: x.Relayed,
		}
	case !x.MayHaveRun:
		o = claimer.NotRun
	}

	d := make(chan struct{})

	p.settling.Go(func() {
		defer close(d)

		_ = p.claims.Settle(context.Background(), *x.Claim, o, a)
	})

	t := time.NewTimer(settleTimeout)
	defer t.Stop()

	select {
	case <-d:
	case <-t.C:
	}
}

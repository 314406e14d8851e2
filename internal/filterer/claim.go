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
	// claimSendWithin is how long after its claim a call may still be sent.
	claimSendWithin = 10 * time.Second
	// settleWait is how long an answer waits for its record. It goes out then
	// all the same; a repeat that comes before the record is told to come back.
	settleWait = 250 * time.Millisecond
	// progressWait is when to come back for the answer of a call in progress.
	progressWait = time.Second
)

// registrar claims and settles keys.
type claims interface {
	Claim(c context.Context, q registrar.Claim) (registrar.Standing, error)
	Settle(c context.Context, q registrar.Claim, o claimer.Outcome, a claimer.Answer) error
}

// Claim claims the key of a call that may not be repeated. It comes before the
// place is asked for: a repeat whose call has run must get the recorded answer
// also when the fleet is full, and never a "not run".
type Claim struct {
	Claims  claims
	Counter *counter.Counter
}

// Name returns the name of the step.
func (Claim) Name() string { return "claim" }

// Apply claims the key, if the call has one and its rule forbids repeats.
func (f Claim) Apply(c context.Context, x *exchanger.Exchange) error {
	if x.Rule.Repeatable || x.Key == "" {
		return nil
	}

	q := registrar.Claim{
		Key:    hasher.Key(x.Customer, x.Key),
		Body:   hasher.Key(x.Request.Method, x.Request.URL.RequestURI(), string(x.Body)),
		ID:     rand.Uint64(), //nolint:gosec // A number, no secret.
		Within: time.Until(x.Deadline),
	}

	f.Counter.Add(counter.Claims, 1)

	s, err := f.Claims.Claim(c, q)
	if err != nil {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoClaim, comeBack,
			"the key can't be claimed now; this call was not run, an earlier one with the key may have")
	}

	if s.Outcome == claimer.Won {
		x.Claim = &q

		return nil
	}

	return f.standing(x, s)
}

// standing answers a call whose key another call holds.
func (f Claim) standing(x *exchanger.Exchange, s registrar.Standing) error {
	switch s.Outcome {
	case claimer.Ran:
		if s.Answer.Truncated {
			return &exchanger.Refusal{
				Code: exchanger.CodeNotRecorded, Status: http.StatusConflict, Outcome: exchanger.Ran,
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
			RetryAfter: min(max(s.RetryAfter, time.Millisecond), progressWait),
		}
	default:
		return &exchanger.Refusal{
			Code: exchanger.CodeKeyUnknown, Status: http.StatusConflict, Outcome: exchanger.Unknown,
			Message: "a call with this key may have run; it is not run again",
		}
	}
}

// sendable says whether the claimed call may still be sent. The clock is this
// router's own monotonic one, which goes on while the process is paused: a
// router that was frozen after its claim must not run a call of which another
// router has meanwhile told the caller that it is unknown.
func sendable(x *exchanger.Exchange, now time.Time) bool {
	return x.Claim == nil || now.Sub(x.Start) < min(claimSendWithin, x.Deadline.Sub(x.Start))
}

// settle records how a claimed call ended. It does so in the background when
// the log is slow.
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

	t := time.NewTimer(settleWait)
	defer t.Stop()

	select {
	case <-d:
	case <-t.C:
	}
}

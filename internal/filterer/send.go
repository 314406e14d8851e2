package filterer

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/sender"
)

// errPaused means that the claim is too old to be sent on.
var errPaused = errors.New("too long after the claim")

// targets sends calls to targets.
type targets interface {
	Send(c context.Context, x *exchanger.Exchange) (*http.Response, error)
	Resume(c context.Context, x *exchanger.Exchange, offset int) (*http.Response, error)
	Cancel(x *exchanger.Exchange)
}

// pauses knows when this process stood still.
type pauses interface {
	Stalled(since time.Time) bool
}

// Send sends the call to its target.
type Send struct {
	Targets targets
	Places  places
	Pauses  pauses
}

// Name returns the name of the step.
func (Send) Name() string { return "send" }

// Apply sends the call and waits for the beginning of the answer.
func (s Send) Apply(c context.Context, x *exchanger.Exchange) error {
	b := time.Now()
	if !sendable(x, b) {
		return errPaused
	}

	r, err := s.Targets.Send(c, x)
	x.Result.Sent = !errors.Is(err, sender.ErrNeverSent)

	if err != nil {
		// A deadline or a caller that hung up is not the target's fault, and neither is
		// a dial whose time ran out while this process stood still: three calls that
		// met one pause would leave a target alone that is well.
		p := !x.Result.Sent && detector.TimedOut(err) && s.Pauses.Stalled(b)
		x.Result.TargetFailed = c.Err() == nil && !p

		if c.Err() != nil && x.Assistant {
			go s.Targets.Cancel(x)
		}

		return err
	}

	x.Response = r
	h := sender.Report(r.Header)
	s.Places.Report(x.Place, h.Requests, h.State)

	if h.Rest > 0 && r.StatusCode == http.StatusServiceUnavailable {
		s.Places.Rest(x.Place, h.Rest)
	}

	return s.status(x, r)
}

// status sorts out answers that are no answers to the call.
func (s Send) status(x *exchanger.Exchange, r *http.Response) error {
	switch {
	case r.Header.Get(exchanger.TargetNotRun) == "true":
		x.Result.NotRun = true
	case r.StatusCode >= http.StatusInternalServerError && x.Rule.Repeatable:
		x.Result.TargetFailed = true
	default:
		return nil
	}

	_ = r.Body.Close()

	return errors.Newf("status %d", r.StatusCode)
}

package filterer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/sender"
)

// errClaimExpired means that the call was claimed too long ago to be sent to a target.
var errClaimExpired = errors.New("too long after the claim")

// targets sends calls to targets.
type targets interface {
	Send(c context.Context, x *exchanger.Exchange) (*http.Response, error)
	Resume(c context.Context, x *exchanger.Exchange, offset int) (*http.Response, error)
	Cancel(x *exchanger.Exchange)
	// MayHaveEnded reports whether the process that listens at an address has ended, or may have.
	MayHaveEnded(c context.Context, a netip.AddrPort) bool
}

// stallMonitor detects stalls of this process.
type stallMonitor interface {
	Stalled(since time.Time) bool
}

// Send sends the call to its target and records the target's load report.
type Send struct {
	Targets targets
	Slots   slots
	Stalls  stallMonitor
}

// Name implements exchanger.Filter.
func (Send) Name() string { return "send" }

// Apply sends the call and waits for the header of the answer. It fails if the claim has
// expired, no answer arrives, or the answer's status means that the target did not run
// the call or failed.
func (s Send) Apply(c context.Context, x *exchanger.Exchange) error {
	b := time.Now()
	if !sendable(x, b) {
		return errClaimExpired
	}

	r, err := s.Targets.Send(c, x)
	x.Result.Sent = !errors.Is(err, sender.ErrNeverSent)

	if err != nil {
		// The end of the deadline, a caller that disconnects, and a dial that timed
		// out while this process was stalled do not count as failures of the target.
		// Otherwise three calls during one stall would exclude a healthy target.
		p := !x.Result.Sent && detector.TimedOut(err) && s.Stalls.Stalled(b)
		x.Result.TargetFailed = c.Err() == nil && !p

		if c.Err() != nil && x.ChatCompletion {
			go s.Targets.Cancel(x)
		}

		return err
	}

	x.Response = r
	h := sender.ParseHealth(r.Header)
	s.Slots.Report(x.Reservation, h.Requests, h.State)

	if h.Backoff > 0 && r.StatusCode == http.StatusServiceUnavailable {
		s.Slots.StartBackoff(x.Reservation, h.Backoff)
	}

	return s.status(x, r)
}

// status returns an error if the answer states that the call was not run, or is a server
// error of a call that may be retried. It closes the body in that case.
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

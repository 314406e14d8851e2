package filterer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/retrier"
)

// Attempt runs the filters of one attempt and retries within the retry budget. It is
// safe for concurrent use; create it with NewAttempt.
type Attempt struct {
	// Steps are the filters of each attempt, in order.
	Steps      []exchanger.Filter
	Slots      slots
	Counter    *counter.Counter
	Quarantine RefuseQuarantined

	mu sync.Mutex
	// retrier is guarded by mu.
	retrier *retrier.Retrier
}

// NewAttempt returns an Attempt with a full retry budget.
func NewAttempt(p slots, n *counter.Counter, i RefuseQuarantined, steps ...exchanger.Filter) *Attempt {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Jitter.

	return &Attempt{Steps: steps, Slots: p, Counter: n, Quarantine: i, retrier: retrier.New(r)}
}

// Name implements exchanger.Filter.
func (*Attempt) Name() string { return "attempt" }

// Apply makes attempts until one succeeds, is refused, or may not be retried.
func (a *Attempt) Apply(c context.Context, x *exchanger.Exchange) error {
	for {
		x.Attempt++

		err := a.tryOnce(c, x)
		if err == nil {
			a.recordSuccess()

			return nil
		}

		var r *exchanger.Refusal
		if errors.As(err, &r) {
			return a.correctOutcome(x, r)
		}

		logrus.WithFields(logrus.Fields{
			"event": "attemptFailed", "request": x.ID, "attempt": x.Attempt, "target": x.Target.Name,
			"notRun": x.Result.NotRun, "relayed": x.Relayed, "error": err,
		}).Warn()

		if !a.awaitRetry(c, x) {
			return a.failure(c, x, err)
		}

		a.Counter.Add(counter.Retried, 1)
	}
}

// tryOnce makes one attempt and releases its slot.
func (a *Attempt) tryOnce(c context.Context, x *exchanger.Exchange) error {
	x.Response = nil
	x.Result = exchanger.Result{}
	x.Target = nil

	err := runFilters(c, x, a.Steps)
	if x.Target == nil {
		return err
	}

	a.Quarantine.recordResult(c, x, err)

	a.Slots.Release(x.Reservation, granter.Outcome{
		OK: !x.Result.TargetFailed, NeverSent: !x.Result.Sent && !x.Result.TargetFailed,
	})

	if err != nil {
		x.MayHaveRun = x.MayHaveRun || (x.Result.Sent && !x.Result.NotRun)
		x.Excluded = append(x.Excluded, x.Target.ID)
	}

	return err
}

// recordSuccess credits a successful call to the retry budget.
func (a *Attempt) recordSuccess() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.retrier.RecordSuccess()
}

// awaitRetry waits for the retry delay and reports whether to make another attempt. It is
// false without a wait if the retry budget or the rule does not permit one, and after the
// wait if the call is quarantined.
func (a *Attempt) awaitRetry(c context.Context, x *exchanger.Exchange) bool {
	a.mu.Lock()
	w, ok := a.retrier.Next(time.Now(), x.Deadline, retrier.Attempt{
		Number: x.Attempt, Repeatable: x.Rule.Repeatable,
		NotRun: !x.Result.Sent || x.Result.NotRun, Relayed: x.Relayed,
	})
	a.mu.Unlock()

	if !ok || c.Err() != nil {
		return false
	}

	t := time.NewTimer(w)
	defer t.Stop()

	select {
	case <-t.C:
		_, ok := a.Quarantine.allow(c, x)

		return ok
	case <-c.Done():
		return false
	}
}

// correctOutcome makes the outcome of a refusal valid for all attempts: the call may not
// be reported as not run if an earlier attempt may have run.
func (a *Attempt) correctOutcome(x *exchanger.Exchange, r *exchanger.Refusal) error {
	if x.MayHaveRun {
		r.Outcome = exchanger.Unknown
	}

	return r
}

// failure returns the error for a call whose attempts all failed.
func (a *Attempt) failure(c context.Context, x *exchanger.Exchange, err error) error {
	switch {
	case x.Request.Context().Err() != nil:
		return exchanger.Fail(exchanger.CodeCallerDisconnected, "the caller hung up")
	case c.Err() != nil && !x.MayHaveRun:
		return exchanger.Refuse(http.StatusGatewayTimeout, exchanger.CodeDeadline, 0, "the deadline passed")
	case c.Err() != nil:
		r := exchanger.Fail(exchanger.CodeDeadline, "the deadline passed")
		r.Status = http.StatusGatewayTimeout

		return r
	case x.Relayed:
		return exchanger.Fail(exchanger.CodeAnswerBroken, "the answer broke off and could not be resumed")
	case x.MayHaveRun:
		return exchanger.Fail(exchanger.CodeTargetFailed, "the target failed: %v", err)
	default:
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeTargetFailed, defaultRetryAfter,
			"the target failed before it ran the call: %v", err)
	}
}

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

// Attempt runs the steps of one attempt, and again while that is allowed.
type Attempt struct {
	Steps   []exchanger.Filter
	Places  places
	Counter *counter.Counter
	Isolate Isolate

	mu      sync.Mutex
	retrier *retrier.Retrier
}

// NewAttempt returns an Attempt with a full retry budget.
func NewAttempt(p places, n *counter.Counter, i Isolate, steps ...exchanger.Filter) *Attempt {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Jitter.

	return &Attempt{Steps: steps, Places: p, Counter: n, Isolate: i, retrier: retrier.New(r)}
}

// Name returns the name of the step.
func (*Attempt) Name() string { return "attempt" }

// Apply makes attempts until one succeeds or no other may be made.
func (a *Attempt) Apply(c context.Context, x *exchanger.Exchange) error {
	for {
		x.Attempt++

		err := a.once(c, x)
		if err == nil {
			a.succeed()

			return nil
		}

		var r *exchanger.Refusal
		if errors.As(err, &r) {
			return a.refused(x, r)
		}

		logrus.WithFields(logrus.Fields{
			"event": "attemptFailed", "request": x.ID, "attempt": x.Attempt, "target": x.Target.Name,
			"notRun": x.Result.NotRun, "relayed": x.Relayed, "error": err,
		}).Warn()

		if !a.again(c, x) {
			return a.final(c, x, err)
		}

		a.Counter.Add(counter.Retried, 1)
	}
}

// once makes one attempt and gives its place back.
func (a *Attempt) once(c context.Context, x *exchanger.Exchange) error {
	x.Response = nil
	x.Result = exchanger.Result{}
	x.Target = nil

	err := run(c, x, a.Steps)
	if x.Target == nil {
		return err
	}

	a.Isolate.learn(c, x, err)

	a.Places.Release(x.Place, granter.Outcome{
		OK: !x.Result.TargetFailed, NeverSent: !x.Result.Sent && !x.Result.TargetFailed,
	})

	if err != nil {
		x.MayHaveRun = x.MayHaveRun || (x.Result.Sent && !x.Result.NotRun)
		x.Excluded = append(x.Excluded, x.Target.ID)
	}

	return err
}

func (a *Attempt) succeed() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.retrier.Succeed()
}

// again says whether to make another attempt, after the wait before it.
func (a *Attempt) again(c context.Context, x *exchanger.Exchange) bool {
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
		_, ok := a.Isolate.letOut(c, x)

		return ok
	case <-c.Done():
		return false
	}
}

// refused makes a refusal true of all attempts: "not run" would be a lie when
// an earlier one may have run.
func (a *Attempt) refused(x *exchanger.Exchange, r *exchanger.Refusal) error {
	if x.MayHaveRun {
		r.Outcome = exchanger.Unknown
	}

	return r
}

// final returns the answer to a call whose attempts all failed.
func (a *Attempt) final(c context.Context, x *exchanger.Exchange, err error) error {
	switch {
	case x.Request.Context().Err() != nil:
		return exchanger.Fail(exchanger.CodeCallerHangUp, "the caller hung up")
	case c.Err() != nil && !x.MayHaveRun:
		return exchanger.Refuse(http.StatusGatewayTimeout, exchanger.CodeDeadline, 0, "the deadline passed")
	case c.Err() != nil:
		r := exchanger.Fail(exchanger.CodeDeadline, "the deadline passed")
		r.Status = http.StatusGatewayTimeout

		return r
	case x.Relayed:
		return exchanger.Fail(exchanger.CodeBroken, "the answer broke off and could not be resumed")
	case x.MayHaveRun:
		return exchanger.Fail(exchanger.CodeTargetFailed, "the target failed: %v", err)
	default:
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeTargetFailed, comeBack,
			"the target failed before it ran the call: %v", err)
	}
}

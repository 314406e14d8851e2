package forwarder

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/selector"
)

// maxTried bounds the targets that a call is tried at when they can't be reached.
// With dialTimeout each, that is about half a second.
const maxTried = 5

// result is how one attempt ended.
type result struct {
	// err is nil when the call has its answer.
	err error
	// notRun says that the target provably did not run the call.
	notRun bool
	// outcome is what it says of the target.
	outcome selector.Outcome
	// answer is an answer that says that the target failed; the caller gets it
	// when there is no better one.
	answer *whole
}

// attempts sends a call to targets until one has answered it.
func (f *Forwarder) attempts(c context.Context, x *exchange) error {
	x.shared = x.prefixes()
	x.group = x.rule.Group(x.splitKey())

	f.countCall(x.group)

	if err := f.admit(x); err != nil {
		return err
	}
	defer f.release(x)

	var last result

	for {
		t, ok := f.choose(c, x)
		if !ok {
			return f.giveUp(c, x, last)
		}

		last = f.attempt(c, x, t)
		if last.err == nil {
			return nil
		}

		logrus.WithFields(x.fields()).WithFields(logrus.Fields{
			"event": "attemptFailed", "target": t.Target.ID, "address": t.Target.Address, "notRun": last.notRun, "error": last.err,
		}).Info()

		if c.Err() != nil || !f.again(x, last) {
			return f.giveUp(c, x, last)
		}
	}
}

// countCall counts a call of a group for the retry budget.
func (f *Forwarder) countCall(group string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.budgeter.Call(time.Now(), group)
}

// countOut counts a call out at a target and returns what is now believed. Begun says that a
// part of an answer is with the caller.
func (f *Forwarder) countOut(t selector.Choice, r result, begun bool) []selector.HealthChange {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.chooser.Finish(time.Now(), t.Target, r.outcome)

	if r.err != nil && !begun {
		f.chooser.RevertPlacements(t)
	}

	return f.chooser.HealthChanges()
}

// again says whether a call is sent to one more target.
func (f *Forwarder) again(x *exchange, r result) bool {
	// A call that never left this instance costs no target anything.
	if errors.Is(r.err, errNeverSent) {
		return len(x.tried) < maxTried
	}

	if x.sent >= x.rule.Attempts || !r.notRun && !x.rule.Repeatable() {
		return false
	}

	if x.relayed && x.lastEvent == "" {
		return false
	}

	if _, ok := f.letOut(x); !ok {
		return false
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	return f.budgeter.Repeat(time.Now(), x.group, f.facts.Instances())
}

// giveUp returns the final answer to a call that no target answered.
func (f *Forwarder) giveUp(c context.Context, x *exchange, r result) error {
	switch {
	case x.request.Context().Err() != nil:
		return errors.Mark(errors.Newf("%v", r.err), errCallerLeft)
	case x.relayed:
		return r.err
	case r.answer != nil && !promises(r.answer.status):
		r.answer.write(x.writer)
		x.relayed = true

		return nil
	case !x.mayHaveRun && x.full:
		return refuse(http.StatusServiceUnavailable, Overload, failWait, "the targets are full, and so are their lines")
	case !x.mayHaveRun:
		return f.refuseUnplaced(x)
	case c.Err() != nil:
		return refuse(http.StatusGatewayTimeout, TooLate, 0, "the answer did not come in time")
	default:
		return refuse(http.StatusBadGateway, NoAnswer, 0, "the target did not answer")
	}
}

// refuseUnplaced returns the refusal of a call that was not run and that no target may take.
func (f *Forwarder) refuseUnplaced(x *exchange) *Refusal {
	r := f.facts.Roster()
	rest := f.rest(x, r)

	switch {
	case len(r.Groups[x.group]) == 0 && len(r.Closed[x.group]) > 0:
		return refuse(http.StatusServiceUnavailable, Evacuated, evacuatedWait, "all data centres with targets are evacuated")
	case len(r.Groups[x.group]) == 0 && r.Leaves(x.group):
		return refuse(http.StatusServiceUnavailable, Leaving, leavingWait, "all targets leave")
	case rest > 0:
		return refuse(http.StatusServiceUnavailable, Resting, afterSpread(rest), "all targets have asked for rest")
	case x.cold > 0:
		return refuse(http.StatusServiceUnavailable, Cold, failWait, "%d targets are cold and bear no more calls now", x.cold)
	default:
		return refuse(http.StatusServiceUnavailable, NoTarget, failWait, "no target took the call")
	}
}

// promises says that callers take a status for the word that a call was not run.
// A target that answers so without saying it did not run the call must not make
// that promise in the gateway's name.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// attempt sends a call to one target and relays its answer.
func (f *Forwarder) attempt(c context.Context, x *exchange, t selector.Choice) result {
	c, s := f.tracer.Start(c, "attempt")
	defer s.End()

	c, stop := context.WithCancelCause(c)
	defer stop(nil)

	var r result

	x.tried = append(x.tried, t.Target.ID)
	x.choice = t
	x.reply = Reply{}
	x.sentAt = time.Now()

	if x.rule.Kind == cataloger.Stream {
		r = f.stream(c, stop, x, t)
	} else {
		r = f.whole(c, stop, x, t)
	}

	if f.learnEnd(c, x, t.Target, r) {
		r.outcome = selector.Crashed
	}

	x.mayHaveRun = x.mayHaveRun || !r.notRun

	if !errors.Is(r.err, errNeverSent) {
		x.sent++
	}

	if x.request.Context().Err() != nil || timedOut(c, r.err) && f.facts.Stalled(x.sentAt) {
		r.outcome = selector.Inconclusive
	}

	f.meter.Attempt(x.group, r.outcome.String())

	f.tellBeliefs(f.countOut(t, r, x.relayed), logrus.Fields{"id": x.call.ID, "error": r.err})
	x.room.end(r.outcome)

	return r
}

// timedOut says that an attempt ended because a time of this instance's own ran out.
func timedOut(c context.Context, err error) bool {
	return detector.TimedOut(err) || errors.Is(context.Cause(c), errSlow)
}

// tellBeliefs logs what this instance now believes of targets, with the fields of the call
// that showed it, and tells other instances of those that it found gone itself.
func (f *Forwarder) tellBeliefs(l []selector.HealthChange, shown logrus.Fields) {
	for _, b := range l {
		e := "backInUse"
		if b.Excluded {
			e = "leftAlone"
		}

		f.meter.Left(string(b.Cause), b.Excluded)

		if b.Cause == selector.TargetGone && b.Excluded && b.Source == selector.Own {
			f.gone(b.Process)
		}

		logrus.WithFields(shown).WithFields(logrus.Fields{"event": e, "cause": b.Cause, "name": b.Name, "source": b.Source}).Info()
	}
}

// send sends a call and checks that the answer is one to it.
func (f *Forwarder) send(c context.Context, x *exchange, t selector.Choice) (*http.Response, Reply, result) {
	h := forwarded(x.request.Header)
	o := Orders{
		Incarnation: t.Target.ID, Customer: x.customer, Priority: x.priority, Late: x.late,
		Left: time.Until(x.deadline), LastEvent: x.lastEvent,
	}

	if t.Source != nil {
		o.Source = t.Source.Address
	}

	f.dialect.Write(h, o)

	a, err := f.client.send(c, x, t.Target, h)
	if err != nil {
		if errors.Is(err, errNeverSent) {
			return nil, Reply{}, result{err: err, notRun: true, outcome: f.unmade(c, t.Target, err)}
		}

		return nil, Reply{}, result{err: err, outcome: selector.Failed}
	}

	p := f.dialect.Answer(a.Header, a.StatusCode)
	f.heed(x, t.Target, p)

	// An answer to an earlier call may come late, where that to this one is due.
	// Its ID shows it; passing it on would give the caller another's answer.
	if p.ID != x.call.ID && !p.NotRun {
		_ = a.Body.Close()

		return nil, p, result{err: errors.Mark(errors.Newf("the answer is to call %q", p.ID), errBroken), outcome: selector.Failed}
	}

	if p.NotRun {
		_ = a.Body.Close()

		w := selector.Shed
		if p.Misdirected {
			w = selector.Gone
		}

		return nil, p, result{err: errors.Newf("the target turned the call away with status %d", a.StatusCode), notRun: true, outcome: w}
	}

	return a, p, result{}
}

// read notes that a target has read a call's prompt.
func (f *Forwarder) read(t selector.Choice) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.chooser.ConfirmPlacements(time.Now(), t)
}

// begun notes how long a target took until its answer began.
func (f *Forwarder) begun(x *exchange, t selector.Choice) {
	if x.rule.Latency <= 0 {
		return
	}

	n := time.Now()

	f.mu.Lock()
	defer f.mu.Unlock()

	f.meter.Began(x.kind(), n.Sub(x.start))

	if f.facts.Stalled(x.sentAt) {
		return
	}

	f.admitter.Began(n, x.ticket)

	if t.Throttled {
		return
	}

	x.room.pace = float64(n.Sub(x.sentAt)) / float64(x.rule.Latency)
	f.chooser.ObservePace(n, t.Target, x.room.pace)
}

// hopHeaders concern one connection only.
var hopHeaders = []string{ //nolint:gochecknoglobals // A constant table.
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwarded returns the headers that go on to the other side.
func forwarded(h http.Header) http.Header {
	o := h.Clone()

	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			o.Del(strings.TrimSpace(n))
		}
	}

	for _, n := range hopHeaders {
		o.Del(n)
	}

	// The library adds its own name where there is none.
	if _, ok := o["User-Agent"]; !ok {
		o["User-Agent"] = nil
	}

	return o
}

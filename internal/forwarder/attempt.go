package forwarder

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/selector"
)

// maxTargetsTried bounds the number of targets that a call is tried at if none of them can be
// reached. With dialTimeout for each, that takes about half a second.
const maxTargetsTried = 5

// result is the outcome of one attempt.
type result struct {
	// err is nil when the call has been answered.
	err error
	// notRun is set when the target provably did not run the call.
	notRun bool
	// outcome is what the attempt shows about the target's health.
	outcome selector.Outcome
	// answer is an error answer of the target. It is relayed to the caller if no other attempt
	// succeeds.
	answer *bufferedAnswer
}

// runAttempts sends a call to targets until one has answered it or no attempts remain.
func (f *Forwarder) runAttempts(c context.Context, x *exchange) error {
	x.sharedPrefixes = x.prefixes()
	x.group = x.rule.Group(x.splitKey())

	f.countCall(x.group)

	if err := f.findVersion(c, x); err != nil {
		return err
	}

	if err := f.admit(x); err != nil {
		return err
	}
	defer f.releaseTicket(x)

	var (
		last result
		next *successor
	)

	for {
		t, ok := f.nextChoice(c, x, next)
		if !ok {
			return f.finalAnswer(c, x, last)
		}

		last, next = f.attempt(c, x, t, next)
		if last.err == nil {
			return nil
		}

		retry := next != nil || c.Err() == nil && f.mayRetry(x, last)

		logrus.WithFields(x.logFields()).WithFields(f.budgetFields(x.group)).WithFields(logrus.Fields{
			"event": "attemptFailed", "target": t.Target.ID, "address": t.Target.Address, "notRun": last.notRun, "error": last.err,
			"retry": retry,
		}).Info()

		if !retry {
			return f.finalAnswer(c, x, last)
		}
	}
}

// nextChoice returns the target of a successor or, if there is none, selects one.
func (f *Forwarder) nextChoice(c context.Context, x *exchange, s *successor) (selector.Choice, bool) {
	if s != nil {
		return s.choice, true
	}

	return f.choose(c, x)
}

// countCall counts a call of a group towards the retry budget.
func (f *Forwarder) countCall(group string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.budgeter.RecordCall(time.Now(), group)
}

// finishAttempt stops counting a call at a target and returns the changes of the targets' health
// status. The parameter relayed states whether a part of an answer was sent to the caller.
func (f *Forwarder) finishAttempt(t selector.Choice, r result, relayed bool) []selector.HealthChange {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.selector.FinishChoice(time.Now(), t, r.outcome)

	if r.err != nil && !relayed {
		f.selector.RevertPlacements(t)
	}

	return f.selector.HealthChanges()
}

// mayRetry reports whether the call may be sent to another target. If so, it consumes retry budget,
// unless the call was not sent.
func (f *Forwarder) mayRetry(x *exchange, r result) bool {
	// A call that was never sent costs no target anything and needs no retry budget.
	if errors.Is(r.err, errNotSent) {
		return len(x.tried) < maxTargetsTried
	}

	if x.sent >= x.rule.Attempts || !r.notRun && !x.rule.Repeatable() {
		return false
	}

	if x.relayed && x.lastEvent == "" || !x.mayGoOn() {
		return false
	}

	// The trial of a quarantined call that broke may have crashed its target.
	if x.quarantined && !r.notRun {
		return false
	}

	if _, ok := f.quarantineAllows(x); !ok {
		return false
	}

	return f.takeRepeat(x.group)
}

// takeRepeat reports whether the retry budget allows a repeat, and consumes it if so.
func (f *Forwarder) takeRepeat(group string) bool {
	n := f.state.Instances()

	f.mu.Lock()
	defer f.mu.Unlock()

	return f.budgeter.TryRepeat(time.Now(), group, n)
}

// budgetFields returns log fields that show from what the share of this instance in the retry budget was computed.
func (f *Forwarder) budgetFields(group string) logrus.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := f.state.Instances()
	c, o := f.budgeter.Usage(time.Now(), group, n)

	return logrus.Fields{"budgetCalls": c, "budgetBalance": math.Floor(o), "budgetSharedBy": n}
}

// finalAnswer returns the final answer to a call that no target has answered.
func (f *Forwarder) finalAnswer(c context.Context, x *exchange, r result) error {
	switch {
	case x.request.Context().Err() != nil:
		return errors.Mark(errors.Newf("%v", r.err), errCallerLeft)
	case x.relayed:
		return r.err
	case r.answer != nil && !impliesNotRun(r.answer.status):
		r.answer.write(x.writer, x.request.Method)
		x.relayed = true

		return nil
	case f.interrupted.Err() != nil && !x.mayHaveRun:
		return refuse(http.StatusServiceUnavailable, Stopping, rejectWait, "this instance is stopping")
	case f.interrupted.Err() != nil:
		return refuse(http.StatusBadGateway, NoAnswer, 0, "this instance stopped before the target had answered")
	case !x.mayHaveRun && x.targetsFull:
		return refuse(http.StatusServiceUnavailable, Overload, noTargetWait, "the targets are full, and so are their lines")
	case !x.mayHaveRun:
		return f.refuseUnavailable(x)
	case c.Err() != nil:
		return refuse(http.StatusGatewayTimeout, DeadlineExceeded, 0, "the answer did not come in time")
	default:
		return refuse(http.StatusBadGateway, NoAnswer, 0, "the target did not answer")
	}
}

// refuseUnavailable returns the refusal of a call that was not run because no target is available.
func (f *Forwarder) refuseUnavailable(x *exchange) *Refusal {
	r := f.state.Registry()
	backoff := f.remainingBackoff(x, r)

	switch {
	case x.version != 0 && !r.HasVersion(x.group, x.version):
		return refuse(http.StatusServiceUnavailable, VersionGone, noTargetWait, "no target of the software version that began the stream accepts calls")
	case len(r.Groups[x.group]) == 0 && len(r.Evacuated[x.group]) > 0:
		return refuse(http.StatusServiceUnavailable, Evacuated, evacuatedWait, "all data centres with targets are evacuated")
	case len(r.Groups[x.group]) == 0 && r.HasLeaving(x.group):
		return refuse(http.StatusServiceUnavailable, TargetsLeaving, leavingWait, "all targets leave")
	case backoff > 0:
		return refuse(http.StatusServiceUnavailable, TargetsBackingOff, withJitterMargin(backoff), "all targets have asked for rest")
	case x.fullTargets > 0:
		return refuse(http.StatusServiceUnavailable, Overload, noTargetWait, "%d targets are brittle and have no room", x.fullTargets)
	case x.crowdedTargets > 0:
		return refuse(http.StatusServiceUnavailable, Overload, f.returnTime(x), "the %d targets that may run the call have no room", x.crowdedTargets)
	case x.coldTargets > 0:
		return refuse(http.StatusServiceUnavailable, TargetsCold, noTargetWait, "%d targets are cold and bear no more calls now", x.coldTargets)
	default:
		return refuse(http.StatusServiceUnavailable, NoTarget, noTargetWait, "no target took the call")
	}
}

// impliesNotRun reports whether callers conclude from a status that the call was not run. An answer
// with such a status, from a target that did not state that it did not run the call, is not relayed:
// the call may have run, and the caller would conclude that it did not.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// breaksPromise reports whether an answer with a status, relayed to the caller, would promise that a call that must not be repeated
// was not run, though the target does not state that. A call that may be repeated loses nothing by the answer.
func breaksPromise(x *exchange, status int) bool {
	return !x.rule.Repeatable() && impliesNotRun(status)
}

// attempt is one attempt to have a call answered.
type attempt struct {
	choice selector.Choice
	// handover moves the call to another target; nil if it can't be sent again.
	handover *handover
	// successor has the answer if the call was sent while an earlier attempt went on; nil otherwise.
	successor *successor
}

// attempt sends a call to one target, or takes over what was sent there, and relays the answer. If it fails, it returns the attempt at another
// target that takes over, if there is one.
func (f *Forwarder) attempt(call context.Context, x *exchange, t selector.Choice, taken *successor) (result, *successor) {
	call, s := f.tracer.Start(call, "attempt")
	defer s.End()

	c, stop := context.WithCancelCause(call)
	if taken != nil {
		c, stop = taken.context, taken.stop
	}
	defer stop(nil)

	x.tried = append(x.tried, t.Target.ID)
	x.choice = t
	x.delegate = netip.AddrPort{}
	x.reply = Reply{}
	x.attemptStart = time.Now()

	if taken != nil {
		x.attemptStart = taken.start
	}

	m := attempt{choice: t, handover: f.newHandover(call, x, stop), successor: taken}

	var r result

	if x.rule.Kind == cataloger.Stream {
		f.bindStream(x, t)
		r = f.streamAttempt(c, x, m)
	} else {
		r = f.bufferedAttempt(c, x, m)
	}

	next := m.handover.end(x, r.err != nil && call.Err() == nil)

	if f.detectCrash(c, x, t, r) {
		r.outcome = selector.Crashed
	}

	x.mayHaveRun = x.mayHaveRun || !r.notRun

	if errors.Is(r.err, errNotSent) && t.Route != selector.Delegated {
		x.dialFailures++
	} else {
		x.excluded = append(x.excluded, t.Target.ID)
	}

	if !errors.Is(r.err, errNotSent) {
		x.sent++
	}

	if x.request.Context().Err() != nil || f.interrupted.Err() != nil || timedOut(c, r.err) && f.state.Stalled(x.attemptStart) || r.outcome == selector.Failed && f.linksLost(x, t, r.outcome) {
		r.outcome = selector.Inconclusive
	}

	f.meter.Attempt(x.group, r.outcome.String())

	f.endPlace(x)
	f.reportHealth(f.finishAttempt(t, r, x.relayed), logrus.Fields{"id": x.call.ID, "error": r.err})
	x.reservation.end(f.evidence(x, t, r.outcome))

	return r, next
}

// receive returns the answer of a target to a call: that of the successor, or of a call that is sent now.
func (f *Forwarder) receive(c context.Context, x *exchange, m attempt) (*http.Response, Reply, result) {
	if m.successor != nil {
		return x.takeOver(m.successor)
	}

	return f.send(c, x, m.choice)
}

// timedOut reports whether an attempt failed because a time-out set by this instance expired.
func timedOut(c context.Context, err error) bool {
	return detector.TimedOut(err) || errors.Is(context.Cause(c), errSlow)
}

// reportHealth logs changes of the targets' health status, with the given log fields of the call that
// revealed the changes, and notifies other instances of processes that this instance itself found
// gone.
func (f *Forwarder) reportHealth(l []selector.HealthChange, fields logrus.Fields) {
	for _, b := range l {
		e := "backInUse"
		if b.Excluded {
			e = "leftAlone"
		}

		f.meter.HealthChange(string(b.Cause), b.Excluded)

		if b.Cause == selector.TargetGone && b.Excluded && b.Source == selector.Own {
			f.notifyGone(b.Process)
		}

		logrus.WithFields(fields).WithFields(logrus.Fields{"event": e, "cause": b.Cause, "name": b.Name, "source": b.Source}).Info()
	}
}

// send sends a call to a target and checks that the answer belongs to the call.
func (f *Forwarder) send(c context.Context, x *exchange, t selector.Choice) (*http.Response, Reply, result) {
	h := endToEndHeaders(x.request.Header)
	o := AttemptInfo{
		Incarnation: t.Target.ID, Customer: x.customer, Priority: x.priority, Late: x.late,
		Remaining: time.Until(x.deadline), LastEvent: x.lastEvent,
	}

	if t.FetchFrom != nil {
		o.Source = t.FetchFrom.Address
	}

	f.dialect.WriteAttempt(h, o)

	w := outgoingCall{
		method: x.request.Method, uri: x.request.RequestURI, host: x.request.Host, header: h, body: x.body, repeatable: x.rule.Repeatable(),
	}

	a, r := f.transmit(c, x, t, w)
	if r.err != nil {
		return nil, Reply{}, r
	}

	p := f.dialect.ReadReply(a.Header, a.StatusCode)
	f.handleReply(x, t.Target, p)
	f.handleBrittle(x, t, p)

	// A delayed answer to an earlier call may arrive in place of the answer to this one. The
	// ID of a delayed answer differs; relaying it would give the caller another caller's answer, and a delayed refusal
	// would be taken for that of a call that the target runs. A process that is not the target may refuse without an ID.
	if p.ID != x.call.ID && (p.ID != "" || !p.NotRun) {
		_ = a.Body.Close()

		return nil, p, result{err: errors.Mark(errors.Newf("target sent the answer to call %q", p.ID), errBroken), outcome: selector.Failed}
	}

	if p.NotRun {
		_ = a.Body.Close()

		o := selector.Shed
		if p.Misdirected {
			o = selector.Gone
		}

		return nil, p, result{err: errors.Newf("target refused the call with status %d", a.StatusCode), notRun: true, outcome: o}
	}

	x.dropSpentBody()

	return a, p, result{}
}

// transmit sends a call to a target, by the links of this instance or through another one.
func (f *Forwarder) transmit(c context.Context, x *exchange, t selector.Choice, o outgoingCall) (*http.Response, result) {
	if t.Route == selector.Delegated {
		return f.sendDelegated(c, x, t.Target, o)
	}

	a, err := f.client.send(c, o, t.Target)

	switch {
	case err == nil:
		return a, result{}
	case errors.Is(err, errNotSent):
		return nil, result{err: err, notRun: true, outcome: f.dialOutcome(c, t.Target, err)}
	default:
		return nil, result{err: err, outcome: selector.Failed}
	}
}

// confirmPlacements records that a target has processed the call's prompt, so that it now caches it and the answer has begun.
func (f *Forwarder) confirmPlacements(x *exchange, t selector.Choice) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()
	f.selector.ConfirmPlacements(n, t)
	x.place.Begin(n)
}

// recordFirstPart records the times from the start of the call and of the attempt until the answer
// began.
func (f *Forwarder) recordFirstPart(x *exchange, t selector.Choice) {
	if x.rule.Latency <= 0 {
		return
	}

	n := time.Now()

	f.mu.Lock()
	defer f.mu.Unlock()

	f.meter.FirstPart(x.kindLabel(), n.Sub(x.start))

	if f.state.Stalled(x.attemptStart) {
		return
	}

	f.admitter.RecordStart(n, x.ticket)

	if t.Throttled {
		return
	}

	x.reservation.latency = float64(n.Sub(x.attemptStart)) / float64(x.rule.Latency)
	f.selector.ObserveLatency(n, t.Target, x.reservation.latency)
}

// hopByHopHeaders concern a single connection only and are not forwarded.
var hopByHopHeaders = []string{ //nolint:gochecknoglobals // A constant table.
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func endToEndHeaders(h http.Header) http.Header {
	o := h.Clone()

	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			o.Del(strings.TrimSpace(n))
		}
	}

	for _, n := range hopByHopHeaders {
		o.Del(n)
	}

	// A nil value keeps net/http from adding its own User-Agent.
	if _, ok := o["User-Agent"]; !ok {
		o["User-Agent"] = nil
	}

	return o
}

package forwarder

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/selector"
)

const (
	// takenTime is how long after it was sent a call counts as taken by a target that has not refused it. It is longer than
	// dialTimeout, and short enough that no call runs at two targets for long.
	takenTime = 200 * time.Millisecond
	// searchInterval is the time from the first search for another target with a free slot to the second. It doubles with each
	// search: many calls search while a whole group is full.
	searchInterval = 200 * time.Millisecond
	// maxFreeRequests bounds the targets that one search selects.
	maxFreeRequests = 3
)

var (
	errSlow      = errors.New("target too slow; another one has taken the call")
	errNotNeeded = errors.New("the target before has answered after all")
)

// handover moves a call to another target when the present one does not answer in time. The attempt goes on until another target has
// taken the call, or to its end if none does: a late answer is better than none. A nil handover never moves the call.
type handover struct {
	forwarder *Forwarder
	// call is the context of the call, and stop ends the attempt.
	call context.Context //nolint:containedctx // It is that of one call.
	stop context.CancelCauseFunc

	mu sync.Mutex
	// state is what the next attempt begins with. Its sent counts the present attempt and those that failed meanwhile.
	state *exchange
	// failed are the targets of the latter, and excluded those of them that this instance could connect to. The flag mayHaveRun is set if
	// one of them may have run the call.
	failed, excluded []string
	mayHaveRun       bool
	timer            *time.Timer
	// interval is the time to the next search.
	interval time.Duration
	// paused is set while a part of the answer is relayed, ended after the attempt, and decided when another target has taken the call.
	paused, ended, decided bool
	// cancel ends the search in progress; nil if there is none.
	cancel context.CancelFunc
	// successor is the attempt that may take over.
	successor *successor
}

// successor is an attempt at another target that is made while the one before goes on.
type successor struct {
	// state is the state of the call for this attempt.
	state   *exchange
	choice  selector.Choice
	start   time.Time
	context context.Context //nolint:containedctx // It is that of one attempt.
	stop    context.CancelCauseFunc
	// done is closed when answer, reply and result are set.
	done   chan struct{}
	answer *http.Response
	reply  Reply
	result result
}

// newHandover returns the handover of an attempt that has just begun, or nil if the call can't be sent again. The context is that of the
// call, and stop ends the attempt.
func (f *Forwarder) newHandover(c context.Context, x *exchange, stop context.CancelCauseFunc) *handover {
	if !x.rule.Repeatable() || x.sent+1 >= x.rule.Attempts || x.quarantined {
		return nil
	}

	return &handover{forwarder: f, call: c, stop: stop, state: x.fork()}
}

// fork returns a copy of the state of a call for the attempt after the present one.
func (x *exchange) fork() *exchange {
	y := *x
	y.sent++
	y.excluded = append(slices.Clone(x.excluded), x.choice.Target.ID)
	y.memory, y.answer, y.endTrial, y.place = nil, nil, nil, nil
	y.reservation, y.reply = reservation{}, Reply{}

	return &y
}

// await has another target sought after a time without a part of the answer; zero means never.
func (h *handover) await(d time.Duration) {
	if h == nil {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.paused = false
	h.interval = searchInterval
	h.schedule(d)
}

// searchAgain schedules a further search. The mutex must be held.
func (h *handover) searchAgain() {
	h.schedule(h.interval)
	h.interval *= 2
}

// schedule sets the time until the next search. The mutex must be held.
func (h *handover) schedule(d time.Duration) {
	switch {
	case d <= 0 || h.ended || h.paused:
	case h.timer == nil:
		h.timer = time.AfterFunc(d, h.search)
	default:
		h.timer.Reset(d)
	}
}

// pause withdraws what was begun at another target, as a part of the answer has arrived. It returns false if the other one has taken the
// call: the part must not be relayed.
func (h *handover) pause() bool {
	if h == nil {
		return true
	}

	h.mu.Lock()

	if h.decided {
		h.mu.Unlock()

		return false
	}

	s := h.suspend()
	h.paused = true
	h.mu.Unlock()

	h.forwarder.discard(s)

	return true
}

// resume has another target sought if the next part of the answer does not arrive within a time; zero means never.
func (h *handover) resume(x *exchange, d time.Duration) {
	if h == nil {
		return
	}

	h.mu.Lock()
	h.state.lastEvent, h.state.version, h.state.relayed = x.lastEvent, x.version, x.relayed
	h.mu.Unlock()

	h.await(d)
}

// end ends the handover and records in x what was tried. It returns the attempt that takes over if adopt is set and there is one.
func (h *handover) end(x *exchange, adopt bool) *successor {
	if h == nil {
		return nil
	}

	h.mu.Lock()
	s := h.suspend()
	h.ended = true
	x.sent = h.state.sent - 1
	x.tried, x.excluded = append(x.tried, h.failed...), append(x.excluded, h.excluded...)
	x.dialFailures = h.state.dialFailures
	x.mayHaveRun = x.mayHaveRun || h.mayHaveRun || s != nil && !adopt
	h.mu.Unlock()

	if !adopt {
		h.forwarder.discard(s)

		return nil
	}

	return s
}

// suspend stops the timer and the search and returns the successor, if there is one. The mutex must be held.
func (h *handover) suspend() *successor {
	if h.timer != nil {
		h.timer.Stop()
	}

	if h.cancel != nil {
		h.cancel()
		h.cancel = nil
	}

	s := h.successor
	h.successor = nil

	return s
}

// search sends the call to another target if one has a free slot, and ends the present attempt when the other target has taken it.
func (h *handover) search() {
	c, x, ok := h.begin()
	if !ok {
		return
	}

	s := h.forwarder.sendElsewhere(c, h.call, x)
	if !h.offer(c, s) {
		h.forwarder.discard(s)

		return
	}

	if s == nil {
		return
	}

	t := time.NewTimer(takenTime)
	defer t.Stop()

	select {
	case <-s.done:
	case <-t.C:
	}

	h.decide(s)
}

// begin returns the context and the state of a search, and false if the call can't be sent again.
func (h *handover) begin() (context.Context, *exchange, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	x := h.state

	busy := h.paused || h.ended || h.decided || h.cancel != nil || h.successor != nil
	if busy || x.sent >= x.rule.Attempts || x.relayed && x.lastEvent == "" || !x.mayGoOn() {
		return nil, nil, false
	}

	c, stop := context.WithCancel(h.call)
	h.cancel = stop

	y := *x
	y.tried, y.excluded = slices.Concat(x.tried, h.failed), slices.Concat(x.excluded, h.excluded)

	return c, &y, true
}

// offer ends a search with its result, and reports whether that is of use: no part of the answer has arrived meanwhile.
func (h *handover) offer(c context.Context, s *successor) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if c.Err() != nil || h.cancel == nil {
		return false
	}

	h.cancel()
	h.cancel = nil
	h.successor = s

	if s == nil {
		h.searchAgain()
	}

	return true
}

// decide ends the present attempt if a successor was not refused. It does nothing if the successor is not needed any more or has taken
// over already.
func (h *handover) decide(s *successor) {
	h.mu.Lock()

	if h.successor != s {
		h.mu.Unlock()

		return
	}

	r := s.failure()
	if r.err == nil {
		h.decided = true
		h.mu.Unlock()
		h.stop(errSlow)

		return
	}

	h.successor = nil
	h.record(s.choice, r)
	h.mu.Unlock()

	h.forwarder.finishSuccessor(s, r)
}

// record records an attempt elsewhere that has failed, and schedules the next search: at once if nothing was sent. The mutex must be held.
func (h *handover) record(t selector.Choice, r result) {
	notSent := errors.Is(r.err, errNotSent)

	h.failed = append(h.failed, t.Target.ID)
	h.mayHaveRun = h.mayHaveRun || !r.notRun

	if notSent && t.Route != selector.Delegated {
		h.state.dialFailures++
	} else {
		h.excluded = append(h.excluded, t.Target.ID)
	}

	switch {
	case !notSent:
		h.state.sent++
		h.searchAgain()
	case len(h.state.tried)+len(h.failed) < maxTargetsTried:
		h.schedule(time.Nanosecond)
	default:
		h.searchAgain()
	}
}

// failure returns the result of an attempt that is known to have failed; its error is nil otherwise.
func (s *successor) failure() result {
	select {
	case <-s.done:
	default:
		return result{}
	}

	if a := s.answer; a != nil && (a.StatusCode >= http.StatusInternalServerError || a.StatusCode < http.StatusMultipleChoices && !s.reply.Sealed) {
		return result{err: errors.Mark(errors.Newf("answer with status %d", a.StatusCode), errBroken), outcome: selector.Failed}
	}

	return s.result
}

// sendElsewhere sends a call to another target that has a free slot, and returns the attempt; nil if there is no such target or the call
// may not be repeated now. The search ends with the first context, the attempt with the call's.
func (f *Forwarder) sendElsewhere(c, call context.Context, x *exchange) *successor {
	if !f.admitTrial(c, x) {
		return nil
	}

	t, ok := f.chooseFree(c, x)

	switch {
	case !ok:
	case c.Err() == nil && f.takeRepeat(x.group):
		return f.begin(call, x, t)
	default:
		f.withdraw(x, t)
	}

	x.finishTrial()

	return nil
}

// admitTrial reports whether a call may be sent to another target though the present one runs it. A call that is suspected of crashing
// targets runs at one at a time.
func (f *Forwarder) admitTrial(c context.Context, x *exchange) bool {
	if f.quarantine == nil {
		return true
	}

	v, ok, end := f.quarantine.Admit(c, x.subjects(), x.deadline)
	if v.Status == quarantiner.Quarantined {
		end()

		return false
	}

	x.endTrial = end

	return ok
}

// chooseFree is choose for a call that a target already has: it selects another one only if that has a free slot.
func (f *Forwarder) chooseFree(c context.Context, x *exchange) (selector.Choice, bool) {
	for declined := range maxFreeRequests {
		t, ok := f.pick(c, x, declined)
		if !ok {
			return t, false
		}

		if f.reserveFree(c, x, t) {
			return t, true
		}
	}

	return selector.Choice{}, false
}

// reserveFree reserves a free slot at a target, and reverts its selection if there is none.
func (f *Forwarder) reserveFree(c context.Context, x *exchange, t selector.Choice) bool {
	full := t.Target.Slots > 0 && int(t.Load) >= t.Target.Slots
	if !full {
		f.reserveExactly(c, x, t)
	}

	v := x.reservation.verdict
	uncounted := t.NeedsCount && v.Outcome == aggregator.Unanswered
	x.uncounted = x.uncounted || uncounted

	switch {
	case full || uncounted || !f.accepts(t.Target):
		f.withdraw(x, t)
		x.tried, x.excluded = append(x.tried, t.Target.ID), append(x.excluded, t.Target.ID)
	case v.Outcome == aggregator.Full || v.Outcome == aggregator.Excluded:
		f.decline(x, t, v)
	default:
		return true
	}

	return false
}

// begin begins an attempt at a target that has a free slot.
func (f *Forwarder) begin(call context.Context, x *exchange, t selector.Choice) *successor {
	s := &successor{state: x, choice: t, start: time.Now(), done: make(chan struct{})}
	s.context, s.stop = context.WithCancelCause(call)
	x.choice = t

	go func() {
		defer close(s.done)

		s.answer, s.reply, s.result = f.send(s.context, x, t) //nolint:bodyclose // Who takes over closes it, or finishSuccessor.
	}()

	return s
}

// takeOver has the call go on with the attempt at another target, and returns its answer.
func (x *exchange) takeOver(s *successor) (*http.Response, Reply, result) {
	<-s.done

	y := s.state

	x.finishTrial()
	x.endTrial, x.reservation, x.place = y.endTrial, y.reservation, y.place
	x.delegate, x.noDelegate, x.reply = y.delegate, y.noDelegate, y.reply

	if s.result.err == nil {
		x.dropSpentBody()
	}

	return s.answer, s.reply, s.result
}

// discard ends an attempt at another target that is not needed; nil is none.
func (f *Forwarder) discard(s *successor) {
	if s == nil {
		return
	}

	s.stop(nil)

	go func() {
		<-s.done

		r := s.result
		if r.err == nil || !r.notRun {
			r = result{err: errNotNeeded, outcome: selector.Inconclusive}
		}

		f.finishSuccessor(s, r)
	}()
}

// finishSuccessor records the end of an attempt at another target that has not taken over.
func (f *Forwarder) finishSuccessor(s *successor, r result) {
	x := s.state

	if f.detectCrash(s.context, x, s.choice, r) {
		r.outcome = selector.Crashed
	}

	if timedOut(s.context, r.err) && f.state.Stalled(s.start) || r.outcome == selector.Failed && f.linksLost(x, s.choice, r.outcome) {
		r.outcome = selector.Inconclusive
	}

	s.stop(nil)

	if s.answer != nil {
		_ = s.answer.Body.Close() // Nothing of the answer is used.
	}

	f.meter.Attempt(x.group, r.outcome.String())
	logrus.WithFields(x.logFields()).WithFields(logrus.Fields{
		"event": "handoverFailed", "target": s.choice.Target.ID, "address": s.choice.Target.Address, "notRun": r.notRun, "error": r.err,
	}).Info()

	x.finishTrial()
	f.endPlace(x)
	f.reportHealth(f.finishAttempt(s.choice, r, x.relayed), logrus.Fields{"id": x.call.ID, "error": r.err})
	x.reservation.end(f.evidence(x, s.choice, r.outcome))
}

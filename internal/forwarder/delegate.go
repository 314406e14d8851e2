package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

// The headers between an instance and its delegate. They are removed before the call reaches the target, and the
// answer the caller.
const (
	headerToken      = "Delegation-Token"
	headerTarget     = "Delegation-Target"
	headerStart      = "Delegation-Target-Start-Ms"
	headerTimeout    = "Delegation-Timeout-Ms"
	headerRepeatable = "Delegation-Repeatable"
	headerDigest     = "Delegation-Digest"
	headerResult     = "Delegation-Result"
)

// delegateResult is what a delegate did with a call.
type delegateResult string

const (
	// answered means that the answer is that of the target.
	answered delegateResult = "answered"
	// broken means that the call was sent and the answer is missing or not usable.
	broken delegateResult = "broken"
	// unreachable means that nothing was sent, since no connection to the target was established, while the delegate
	// reaches other targets of the group.
	unreachable delegateResult = "unreachable"
	// groupUnreached means that nothing was sent, and the delegate is not known to reach any target of the group.
	groupUnreached delegateResult = "groupUnreached"
	// declined means that nothing was sent, since the delegate does not know the target or sends it no calls.
	declined delegateResult = "declined"
	// full means that nothing was sent, since the delegate has too many calls.
	full delegateResult = "full"
	// stopping means that nothing was sent, since the delegate is stopping.
	stopping delegateResult = "stopping"
	// unauthorized means that nothing was sent, since the token is not that of the delegate.
	unauthorized delegateResult = "unauthorized"
)

// hangUpMargin is how long after the call's deadline a delegate ends the call by itself. The instance that has delegated the
// call disconnects at the deadline.
const hangUpMargin = 500 * time.Millisecond

// delegation is what an instance sends to its delegate besides the call.
type delegation struct {
	token string
	// process is the target's process, the only one that may get the call.
	process discoverer.Process
	// timeout is the time until the call's deadline.
	timeout    time.Duration
	repeatable bool
	digest     digester.Digest
}

func writeDelegation(h http.Header, d delegation) {
	h.Set(headerToken, d.token)
	h.Set(headerTarget, d.process.ID)
	h.Set(headerStart, strconv.FormatInt(d.process.Start.UnixMilli(), 10))
	h.Set(headerTimeout, formatMillis(max(d.timeout, time.Millisecond)))
	h.Set(headerRepeatable, strconv.FormatBool(d.repeatable))
	h.Set(headerDigest, d.digest.String())
}

// readDelegation reads the headers of writeDelegation.
func readDelegation(h http.Header) (delegation, error) {
	s, err := strconv.ParseInt(h.Get(headerStart), 10, 64)
	if err != nil {
		return delegation{}, err
	}

	t, err := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	if err != nil {
		return delegation{}, err
	}

	r, err := strconv.ParseBool(h.Get(headerRepeatable))
	if err != nil {
		return delegation{}, err
	}

	g, err := digester.Parse(h.Get(headerDigest))
	if err != nil {
		return delegation{}, err
	}

	return delegation{
		process:    discoverer.Process{ID: h.Get(headerTarget), Start: time.UnixMilli(s)},
		timeout:    time.Duration(t) * time.Millisecond,
		repeatable: r,
		digest:     g,
	}, nil
}

// removeDelegation removes all headers between an instance and its delegate.
func removeDelegation(h http.Header) {
	for _, n := range []string{headerToken, headerTarget, headerStart, headerTimeout, headerRepeatable, headerDigest, headerResult} {
		h.Del(n)
	}
}

// ServeDelegated sends a call of another instance to the target that the instance has selected, and relays the answer. It
// sends the call by links of its own only, so that a call passes through one delegate at most.
func (f *Forwarder) ServeDelegated(w http.ResponseWriter, r *http.Request) {
	if f.delegates == nil || !f.delegates.Authorized(r.Header.Get(headerToken)) {
		w.Header().Set(headerResult, string(unauthorized))
		w.WriteHeader(http.StatusForbidden)

		return
	}

	b := time.Now()
	x := &exchange{writer: w, request: r, start: b, attemptStart: b}
	d, err := readDelegation(r.Header)

	v := declined
	if err == nil {
		v, err = f.serveDelegated(x, d)
	}

	l := logrus.WithFields(logrus.Fields{
		"event": "callDelegated", "id": x.call.ID, "from": r.RemoteAddr, "target": d.process.ID, "result": v, "took": time.Since(b).Round(time.Microsecond),
	})
	f.meter.Delegated(string(v))

	if err != nil {
		l.WithField("error", err).Info()
	} else if f.servedLogs.Allow() {
		l.Info()
	}

	switch {
	case x.relayed && err != nil:
		panic(http.ErrAbortHandler) // An incomplete answer must not appear complete.
	case !x.relayed:
		w.Header().Set(headerResult, string(v))
		w.WriteHeader(http.StatusBadGateway)
	}
}

// RejectDelegated refuses a call of another instance because this one is stopping or has too many calls.
func (f *Forwarder) RejectDelegated(w http.ResponseWriter, isStopping bool) {
	v := full
	if isStopping {
		v = stopping
	}

	f.meter.Delegated(string(v))
	w.Header().Set(headerResult, string(v))
	w.WriteHeader(http.StatusBadGateway)
}

// serveDelegated sends a call to its target and relays the answer.
func (f *Forwarder) serveDelegated(x *exchange, d delegation) (delegateResult, error) {
	h := endToEndHeaders(x.request.Header)
	removeDelegation(h)

	if k, err := f.dialect.ReadCall(h); err == nil {
		x.call = k
	}

	x.digest = d.digest
	x.parts = partDigests(x.call.Prompt)

	k, err := f.reserveCall()
	if err != nil {
		return full, nil
	}
	defer k.Close()

	defer x.dropBody()

	x.memory = f.memory.Open(accountant.Body, essentialDelegated(d))

	x.body, err = x.memory.Read(http.MaxBytesReader(x.writer, x.request.Body, f.settings.MaxBody), x.request.ContentLength, f.settings.MaxBody)

	switch {
	case errors.Is(err, accountant.ErrExhausted):
		return full, nil
	case err != nil:
		return declined, err
	}

	t, ok := f.delegatedTarget(d.process)
	if !ok {
		return declined, nil
	}

	if f.reachesNone(t.Group) {
		return groupUnreached, nil
	}

	c, stop := context.WithTimeout(x.request.Context(), d.timeout+hangUpMargin)
	defer stop()
	defer context.AfterFunc(f.interrupted, stop)()

	f.mu.Lock()
	f.selector.Start(x.start, t)
	f.mu.Unlock()

	v, r := f.exchangeDelegated(c, x, t, outgoingCall{
		method: x.request.Method, uri: x.request.RequestURI, host: x.request.Host, header: h, body: x.body, repeatable: d.repeatable,
	})

	if f.detectCrash(c, x, selector.Choice{Target: t}, r) {
		r.outcome = selector.Crashed
	}

	if x.request.Context().Err() != nil || f.interrupted.Err() != nil || timedOut(c, r.err) && f.state.Stalled(x.start) {
		r.outcome = selector.Inconclusive
	}

	f.reportHealth(f.finishAttempt(selector.Choice{Target: t}, r, x.relayed), logrus.Fields{"id": x.call.ID, "error": r.err})

	if v == unreachable && !f.linksProven(t.Group) {
		v = groupUnreached
	}

	return v, r.err
}

// delegatedTarget returns the target of a process, and false if this instance sends no calls to it.
func (f *Forwarder) delegatedTarget(p discoverer.Process) (*discoverer.Target, bool) {
	t, ok := f.state.Registry().Processes[p.Key()]

	return t, ok && f.accepts(t)
}

// reachesNone reports whether this instance reaches no target of a group.
func (f *Forwarder) reachesNone(group string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.selector.CheckGroup(time.Now(), f.state.Registry(), group)
}

// linksProven reports whether this instance has just reached a target of a group.
func (f *Forwarder) linksProven(group string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.selector.LinksProven(time.Now(), group)
}

// exchangeDelegated sends a call to a target and relays the answer as it arrives.
func (f *Forwarder) exchangeDelegated(c context.Context, x *exchange, t *discoverer.Target, o outgoingCall) (delegateResult, result) {
	a, err := f.client.send(c, o, t)
	if errors.Is(err, errNotSent) {
		return unreachable, result{err: err, notRun: true, outcome: f.dialOutcome(c, t, err)}
	}

	if err != nil {
		return broken, result{err: err, outcome: selector.Failed}
	}

	defer a.Body.Close() //nolint:errcheck // The body was read to its end or is abandoned.

	if !x.body.InUse() {
		x.dropBody() // The instance that has delegated the call sends it again if need be.
	}

	p := f.dialect.ReadReply(a.Header, a.StatusCode)
	f.handleReply(x, t, p)

	r := result{notRun: p.NotRun}

	switch {
	case p.Misdirected:
		r.outcome = selector.Gone
	case p.NotRun:
		r.outcome = selector.Shed
	case a.StatusCode >= http.StatusInternalServerError:
		r.outcome = selector.Failed
		r.answer = &bufferedAnswer{status: a.StatusCode}
	}

	err = relayDelegated(x, a)
	if err == nil {
		err = f.checkUnframed(c, a, t)
	}

	if err != nil {
		r.err, r.answer = errors.Mark(err, errBroken), nil
		r.outcome = selector.Failed
	}

	return answered, r
}

// relayDelegated relays an answer to the instance that has delegated the call, each part as it arrives.
func relayDelegated(x *exchange, a *http.Response) error {
	h := x.writer.Header()
	copyHeader(h, a.Header)
	h.Set(headerResult, string(answered))

	// Without these values, net/http would add headers of its own.
	for _, n := range []string{"Date", "Content-Type"} {
		if _, ok := h[n]; !ok {
			h[n] = nil
		}
	}

	if a.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}

	x.relayed = true
	x.writer.WriteHeader(a.StatusCode)

	w := http.NewResponseController(x.writer)
	b := make([]byte, readBuffer)

	for {
		n, err := a.Body.Read(b)
		if n > 0 {
			if _, err := x.writer.Write(b[:n]); err != nil {
				return errors.Mark(err, errCallerLeft)
			}
		}

		if errors.Is(err, io.EOF) {
			return nil
		}

		// The parts so far are flushed also before a failure: they may allow the caller to resume the stream.
		_ = w.Flush() // The next write fails if the instance disconnected.

		if err != nil {
			return err
		}
	}
}

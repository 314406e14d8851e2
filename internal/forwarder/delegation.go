package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/delegator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/negotiator"
	"github.com/auburntray/auburntray/internal/selector"
)

const (
	// maxDialFailures is how often a call may fail to connect to targets until it is sent through another instance. One
	// failure is more likely to be the fault of the target.
	maxDialFailures = 2
	// maxDelegatesTried bounds the number of instances through which an attempt is tried.
	maxDelegatesTried = 3
)

// Delegates are the other instances, through which calls are sent to targets that this one does not reach. It is
// implemented by negotiator.Negotiator.
type Delegates interface {
	// Ensure reports whether an instance is known to reach a group. If none is known, it asks some first.
	Ensure(c context.Context, group string) bool
	// Available is Ensure without asking.
	Available(group string) bool
	// Acquire returns an instance for a call and counts the call there until Finish.
	Acquire(q delegator.Query) (delegator.Delegate, bool)
	Finish(id uint64, group string, r negotiator.Result)
	// Refresh asks instances for permission to send calls of the groups through them, if there are too few.
	Refresh(c context.Context, groups []string)
	// Authorized reports whether a token is the one that this instance has issued to others.
	Authorized(token string) bool
}

// SetDelegates sets the other instances. It must be called before the first call is served.
func (f *Forwarder) SetDelegates(d Delegates) {
	f.delegates = d
}

// pick selects a target and the route to it. The parameter declined is the number of targets so far whose home nodes
// reported them as full.
//
// If this instance has lost its links to the group, the call is sent through another instance. If there is none,
// the links are tried again.
func (f *Forwarder) pick(c context.Context, x *exchange, declined int) (selector.Choice, bool) {
	if f.delegates == nil {
		return f.pickOn(selector.Direct, x, declined)
	}

	if x.dialFailures < maxDialFailures {
		if t, ok := f.pickOn(selector.Proven, x, declined); ok || !t.Unreached {
			return t, ok
		}
	}

	if !x.noDelegate && f.delegates.Ensure(c, x.group) {
		if t, ok := f.pickOn(selector.Delegated, x, declined); ok {
			return t, ok
		}
	}

	return f.pickOn(selector.Direct, x, declined)
}

// linksLost reports whether the failure of an attempt is no evidence on the target, because this instance has lost its
// links to the whole group.
func (f *Forwarder) linksLost(x *exchange, t selector.Choice, o selector.Outcome) bool {
	if f.delegates == nil || t.Route == selector.Delegated || o != selector.Failed && o != selector.Unreachable {
		return false
	}

	return f.reachesNone(x.group)
}

// evidence returns what the home of a target is told of an attempt. If most instances lose their links at once and
// report each target as unreachable, the homes would exclude the targets for the others too.
func (f *Forwarder) evidence(x *exchange, t selector.Choice, o selector.Outcome) selector.Outcome {
	if f.linksLost(x, t, o) {
		return selector.Inconclusive
	}

	return o
}

// Unreached returns the groups of which this instance reaches no target.
func (f *Forwarder) Unreached() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.selector.Unreached()
}

// sendDelegated sends a call to a target through another instance. The answer is that of the target.
func (f *Forwarder) sendDelegated(c context.Context, x *exchange, t *discoverer.Target, o outgoingCall) (*http.Response, result) {
	var tried []uint64

	for len(tried) < maxDelegatesTried {
		d, ok := f.delegates.Acquire(delegator.Query{
			Group: x.group, DataCentres: []string{f.settings.DataCentre, t.DataCentre}, Tried: tried,
		})
		if !ok {
			break
		}

		tried = append(tried, d.ID)
		x.delegate = d.Address

		a, n, r := f.sendThrough(c, x, d, t, o)
		if r.err == nil {
			a.Body = &finishingBody{ReadCloser: a.Body, finish: func() { f.delegates.Finish(d.ID, x.group, n) }}

			return a, r
		}

		f.delegates.Finish(d.ID, x.group, n)

		if n == negotiator.Sent || n == negotiator.Declined || !r.notRun {
			return nil, r
		}
	}

	x.noDelegate = true

	return nil, result{err: errors.Mark(errors.New("no instance reaches the target"), errNotSent), notRun: true, outcome: selector.Inconclusive}
}

// sendThrough sends a call through one instance and returns what the instance did with it.
func (f *Forwarder) sendThrough(
	c context.Context, x *exchange, d delegator.Delegate, t *discoverer.Target, o outgoingCall,
) (*http.Response, negotiator.Result, result) {
	o.header = o.header.Clone()
	writeDelegation(o.header, delegation{
		token: d.Token, process: t.Process(), timeout: time.Until(x.deadline), repeatable: o.repeatable, digest: x.digest,
	})

	a, err := f.client.sendToDelegate(c, o, d.Address)
	if err != nil {
		r := result{err: err, notRun: errors.Is(err, errNotSent), outcome: selector.Inconclusive}

		switch {
		case x.request.Context().Err() != nil || f.state.Stalled(x.attemptStart):
			return nil, negotiator.Sent, r
		case c.Err() != nil:
			r.outcome = selector.Failed // More likely the target is slow than the delegate.

			return nil, negotiator.TimedOut, r
		default:
			return nil, negotiator.Silent, r
		}
	}

	v := delegateResult(a.Header.Get(headerResult))
	removeDelegation(a.Header)

	if v == answered {
		return a, negotiator.Sent, result{}
	}

	_ = a.Body.Close() // It is empty.

	err = errors.Newf("instance %s: %s", d.Address, v)

	switch v {
	case unreachable:
		return nil, negotiator.Declined, result{err: errors.Mark(err, errNotSent), notRun: true, outcome: selector.Unreachable}
	case declined:
		return nil, negotiator.Declined, result{err: errors.Mark(err, errNotSent), notRun: true, outcome: selector.Inconclusive}
	case groupUnreached:
		return nil, negotiator.Unreached, result{err: errors.Mark(err, errNotSent), notRun: true, outcome: selector.Inconclusive}
	case full:
		return nil, negotiator.Full, result{err: errors.Mark(err, errNotSent), notRun: true, outcome: selector.Inconclusive}
	case broken:
		return nil, negotiator.Sent, result{err: errors.Mark(err, errBroken), outcome: selector.Failed}
	case stopping, unauthorized:
		return nil, negotiator.Silent, result{err: errors.Mark(err, errNotSent), notRun: true, outcome: selector.Inconclusive}
	default: // The instance may have sent the call, for example before a panic.
		return nil, negotiator.Silent, result{err: errors.Mark(err, errBroken), outcome: selector.Inconclusive}
	}
}

// finishingBody calls finish once when it is closed.
type finishingBody struct {
	io.ReadCloser

	finish func()
	once   sync.Once
}

// Close implements io.Closer.
func (b *finishingBody) Close() error {
	b.once.Do(b.finish)

	return b.ReadCloser.Close()
}

// checkLinks asks for delegates of the groups that this instance does not reach, and probes targets of each
// such group, so that the return of the links is noticed without a call that waits for a dial.
func (f *Forwarder) checkLinks(c context.Context) {
	if f.delegates == nil {
		return
	}

	f.mu.Lock()
	u := f.selector.Unreached()
	l := f.selector.LinkProbes(f.state.Registry(), rand.New(rand.NewPCG(rand.Uint64(), 0))) //nolint:gosec // Spreads probes.
	f.mu.Unlock()

	f.logUnreached(u)

	if len(u) == 0 {
		return
	}

	var g sync.WaitGroup

	g.Go(func() { f.delegates.Refresh(c, u) })

	for n, x := range l {
		g.Go(func() { f.probeLinks(c, n, x) })
	}

	g.Wait()
}

// probeLinks probes targets of a group, and uses the links of this instance to the group again if any is reached.
func (f *Forwarder) probeLinks(c context.Context, group string, l []*discoverer.Target) {
	ok := make([]bool, len(l))

	var g sync.WaitGroup
	for i, t := range l {
		g.Go(func() { ok[i] = f.probeTarget(c, t) })
	}

	g.Wait()

	var reached []*discoverer.Target

	for i, t := range l {
		if ok[i] {
			reached = append(reached, t)
		}
	}

	if len(reached) == 0 {
		return
	}

	r := f.state.Registry()
	f.client.pool.closeIdle(r.Groups[group])

	f.mu.Lock()
	f.selector.LinksReturned(r, group, reached)
	b := f.selector.HealthChanges()
	f.mu.Unlock()

	f.reportHealth(b, nil)
}

// logUnreached logs when the number of groups that this instance does not reach changes.
func (f *Forwarder) logUnreached(groups []string) {
	if n := int64(len(groups)); f.unreached.Swap(n) != n {
		logrus.WithFields(logrus.Fields{"event": "linksChanged", "unreachedGroups": groups}).Warn()
	}
}

// helped reports whether other instances send the calls of all groups that this instance does not reach.
func (f *Forwarder) helped() bool {
	if f.delegates == nil {
		return false
	}

	u := f.Unreached()

	for _, g := range u {
		if !f.delegates.Available(g) {
			return false
		}
	}

	return len(u) > 0
}

// formatMillis formats a duration in whole milliseconds.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// Package negotiator requests from other instances the permission to send calls through them, and answers their
// requests.
package negotiator

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"
	"golang.org/x/sync/singleflight"

	"github.com/auburntray/auburntray/internal/delegator"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrNegotiation marks requests that are refused and grants that can't be decoded.
var ErrNegotiation = errors.New("no permission to delegate calls")

const (
	// askTimeout bounds a request for permission. Within a region a reply takes one or two milliseconds.
	askTimeout = 60 * time.Millisecond
	// roundInterval is the minimum time between two rounds of requests that calls wait for. While no instance reaches
	// the targets, the other calls are refused at once.
	roundInterval = 300 * time.Millisecond
)

// Messenger sends requests to other instances and waits for their replies.
type Messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
}

// Members lists the live instances and identifies this one.
type Members interface {
	Live() []gossiper.Member
	Self() gossiper.Member
}

// Negotiator holds the grants of other instances, and the token of this one. It is safe for concurrent use.
type Negotiator struct {
	messenger Messenger
	members   Members
	// token authorizes calls that other instances send through this one.
	token string
	// rounds joins the requests that calls wait for.
	rounds singleflight.Group

	mu        sync.Mutex
	delegator *delegator.Delegator
	// address is where this instance accepts calls of others; invalid while it accepts none.
	address netip.AddrPort
	// unreached returns the groups whose targets this instance does not reach.
	unreached func() []string
	lastRound map[string]time.Time
}

// New returns a Negotiator that grants nothing until Accept is called.
func New(m Messenger, x Members) *Negotiator {
	r := mathrand.New(mathrand.NewPCG(x.Self().ID, 1)) //nolint:gosec // Spreads calls.

	return &Negotiator{
		messenger: m, members: x, token: rand.Text(), delegator: delegator.New(r), lastRound: make(map[string]time.Time),
	}
}

// Accept grants permission to other instances from now on. They send calls to the given address, except for the
// groups that unreached returns.
func (n *Negotiator) Accept(a netip.AddrPort, unreached func() []string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.address, n.unreached = a, unreached
}

// Decline grants no permission from now on. Calls for which it was granted are still accepted.
func (n *Negotiator) Decline() {
	n.Accept(netip.AddrPort{}, nil)
}

// Authorized reports whether a token is that of this instance.
func (n *Negotiator) Authorized(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(n.token)) == 1
}

// HandleDelegation answers a request of another instance. It fails with ErrNegotiation if the sender is not a live
// instance or this instance accepts no calls.
func (n *Negotiator) HandleDelegation(_ context.Context, from uint64, _ []byte) (msgp.Marshaler, error) {
	n.mu.Lock()
	a, f := n.address, n.unreached
	n.mu.Unlock()

	if !a.IsValid() || !n.isLive(from) {
		return nil, errors.Wrapf(ErrNegotiation, "instance %d", from)
	}

	return &wire.DelegationGrant{Address: a.String(), Token: n.token, Unreached: f()}, nil
}

func (n *Negotiator) isLive(id uint64) bool {
	for _, m := range n.members.Live() {
		if m.ID == id {
			return true
		}
	}

	return false
}

// Ensure reports whether an instance is known to reach a group. If none is known, it asks other instances first, unless
// it did so within roundInterval.
func (n *Negotiator) Ensure(c context.Context, group string) bool {
	return n.Available(group) || n.askFor(c, group) && n.Available(group)
}

// Acquire returns a delegate for a call and counts the call there until Finish. It returns false if no instance is
// known to reach the group.
func (n *Negotiator) Acquire(q delegator.Query) (delegator.Delegate, bool) {
	l := n.members.Live()

	n.mu.Lock()
	defer n.mu.Unlock()

	d, ok := n.delegator.Choose(time.Now(), l, q)
	if ok {
		n.delegator.Start(d.ID)
	}

	return d, ok
}

// askFor asks instances for delegates of a group, once for all calls that wait for it. It returns false if that was
// done within roundInterval.
func (n *Negotiator) askFor(c context.Context, group string) bool {
	v, _, _ := n.rounds.Do(group, func() (any, error) {
		b := time.Now()

		n.mu.Lock()
		recent := b.Sub(n.lastRound[group]) < roundInterval
		n.lastRound[group] = b
		n.mu.Unlock()

		if recent {
			return false, nil
		}

		// The request goes on if the caller that began it disconnects.
		n.Refresh(context.WithoutCancel(c), []string{group})

		return true, nil
	})
	o, _ := v.(bool)

	return o
}

// Refresh asks other instances for permission if there are too few delegates for the groups, and those whose
// grants are due to be requested again. It returns when all have replied or did not in time.
func (n *Negotiator) Refresh(c context.Context, groups []string) {
	l := n.members.Live()

	n.mu.Lock()
	l = n.delegator.Ask(time.Now(), l, n.members.Self().ID, groups)
	n.mu.Unlock()

	var g sync.WaitGroup
	for _, m := range l {
		g.Go(func() { n.ask(c, m) })
	}

	g.Wait()
}

// ask requests permission from one instance.
func (n *Negotiator) ask(c context.Context, m gossiper.Member) {
	g, err := n.request(c, m)

	n.mu.Lock()
	defer n.mu.Unlock()

	if err != nil {
		n.delegator.RecordSilent(time.Now(), m.ID)
		logrus.WithFields(logrus.Fields{"event": "delegationRefused", "peer": m.Address, "error": err}).Debug()

		return
	}

	n.delegator.RecordGrant(time.Now(), m.ID, g)
}

func (n *Negotiator) request(c context.Context, m gossiper.Member) (delegator.Grant, error) {
	x, stop := context.WithTimeout(c, askTimeout)
	defer stop()

	var w wire.DelegationGrant

	// The call runs in a goroutine, since it may block beyond its time-out while another message waits for a
	// connection to the same instance.
	l := make(chan error, 1)

	go func() { l <- n.messenger.Call(x, m.Address, wire.KindDelegation, &wire.DelegationRequest{}, &w) }()

	select {
	case err := <-l:
		if err != nil {
			return delegator.Grant{}, errors.Mark(err, ErrNegotiation)
		}
	case <-x.Done():
		return delegator.Grant{}, errors.Mark(x.Err(), ErrNegotiation)
	}

	a, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return delegator.Grant{}, errors.Mark(err, ErrNegotiation)
	}

	return delegator.Grant{Address: a, Token: w.Token, Unreached: w.Unreached}, nil
}

// Available reports whether an instance is known to reach the group.
func (n *Negotiator) Available(group string) bool {
	l := n.members.Live()

	n.mu.Lock()
	defer n.mu.Unlock()

	return n.delegator.Available(time.Now(), l, group)
}

// Result is what an instance did with a call that was sent through it.
type Result int

// The results.
const (
	// Sent means that the instance sent the call to the target.
	Sent Result = iota
	// Declined means that the instance sent nothing, for a reason that concerns the target only.
	Declined
	// Unreached means that the instance does not reach the group.
	Unreached
	// Full means that the instance has too many calls.
	Full
	// TimedOut means that no answer came in time, for which the target or the instance may be the cause.
	TimedOut
	// Silent means that the instance did not respond, or accepts no calls.
	Silent
)

// Finish ends a call for which Acquire returned a delegate.
func (n *Negotiator) Finish(id uint64, group string, r Result) {
	b := time.Now()

	n.mu.Lock()
	defer n.mu.Unlock()

	n.delegator.Finish(id)

	switch r {
	case Unreached:
		n.delegator.RecordUnreached(b, id, group)
	case Full:
		n.delegator.RecordFull(b, id)
	case TimedOut:
		n.delegator.RecordTimeout(id)
	case Silent:
		n.delegator.RecordSilent(b, id)
	case Sent, Declined:
	}
}

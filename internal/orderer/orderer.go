// Package orderer gives orders to targets: it compares what the configuration
// wants of each with what the target reports, and repeats until they agree.
//
// It keeps no memory of what it ordered, so a router that is lost half-way, or
// an order that came too late, is made good by the next pass. That is the
// reconciler of "Commit the Intent, Then Touch the Cluster"; its lease comes
// from the platform's log.
package orderer

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/leaser"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/streamer"
)

const (
	stream = "leases"
	// passEvery is the time between two comparisons.
	passEvery = 5 * time.Second
	// lifetime is how long a lease lasts by the log's clock. A holder gives no
	// order later than sendWithin after it asked for the lease, by its own
	// monotonic clock; the rest is the margin for orders on their way.
	lifetime     = 10 * time.Second
	sendWithin   = 5 * time.Second
	orderTimeout = 2 * time.Second
)

var (
	// ErrNoLease means that the lease could not be had: another router holds it,
	// or the log can't be reached.
	ErrNoLease = errors.New("no lease on the target")
	// ErrLapsed means that too long passed since the lease was asked for.
	ErrLapsed = errors.New("the lease may have lapsed")
)

// targets reads and gives orders.
type targets interface {
	Ordered(c context.Context, a netip.AddrPort) (model string, fence uint64, err error)
	Order(c context.Context, a netip.AddrPort, model string, fence uint64) error
}

// Orderer compares and orders. It is safe for concurrent use.
type Orderer struct {
	targets targets
	counter *counter.Counter
	self    uint64
	leases  *streamer.Streamer
	fold    *fold
}

// fold adapts a Leaser to streamer.Fold.
type fold struct{ *leaser.Leaser }

// Record is part of streamer.Fold.
func (f fold) Record(offset uint64, at time.Time, data []byte) {
	var r leaser.Record

	// One that can't be read has no lifetime, and so gives no lease.
	_ = json.Unmarshal(data, &r)
	f.Fold(offset, at, r)
}

// New returns an Orderer that holds no lease. Self names this router.
func New(l streamer.Log, t targets, n *counter.Counter, self uint64) *Orderer {
	f := &fold{leaser.New()}

	return &Orderer{targets: t, counter: n, self: self, leases: streamer.New(l, stream, f), fold: f}
}

// Run makes a pass from time to time until the context ends. The function says
// whether this router is a cell's home: it sees to the cell's targets, so that
// routers seldom ask for the same lease.
func (o *Orderer) Run(c context.Context, force func() *follower.Force, mine func(*matcher.Cell) bool) {
	t := time.NewTicker(passEvery)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			o.pass(c, force().Matcher, mine)
		case <-c.Done():
			return
		}
	}
}

func (o *Orderer) pass(c context.Context, m *matcher.Matcher, mine func(*matcher.Cell) bool) {
	for _, x := range m.Cells() {
		if !mine(x) {
			continue
		}

		for _, t := range x.Targets {
			if t.Kind != parser.KindEngine || t.Model == "" {
				continue
			}

			if err := o.Reconcile(c, t); err != nil {
				logrus.WithFields(logrus.Fields{"event": "orderFailed", "target": t.Name, "error": err}).Debug()
			}
		}
	}
}

// Reconcile compares one target with what is wanted of it and gives an order
// when they differ. It fails with ErrNoLease, ErrLapsed or the target's error;
// doing it again is always right.
func (o *Orderer) Reconcile(c context.Context, t *matcher.Target) error {
	x, stop := context.WithTimeout(c, orderTimeout)
	defer stop()

	m, _, err := o.targets.Ordered(x, t.Address)
	if err != nil || m == t.Model {
		return err
	}

	b := time.Now()

	f, err := o.lease(c, t.ID)
	if err != nil {
		return err
	}

	return o.order(c, t, f, b)
}

// lease asks for a target's lease and reads back who got it.
func (o *Orderer) lease(c context.Context, target uint32) (uint64, error) {
	b, err := json.Marshal(leaser.Record{Target: target, Holder: o.self, Lifetime: lifetime})
	if err != nil {
		return 0, errors.Mark(err, ErrNoLease)
	}

	n, err := o.leases.Append(c, b)
	if err != nil {
		// Also when the reply was lost: the next pass asks again, and finds its
		// own lease if it has one.
		return 0, errors.Mark(err, ErrNoLease)
	}

	if err := o.leases.CatchUp(c, n); err != nil {
		return 0, errors.Mark(err, ErrNoLease)
	}

	var l leaser.Lease

	o.leases.View(func(now time.Time) { l = o.fold.Get(now, target) })

	if l.Holder != o.self || l.Fence != n {
		return 0, ErrNoLease
	}

	return l.Fence, nil
}

// order sends an order under a lease.
//
// A router can be paused between the lease and the order, and send the order
// when another holds the lease; it shows as a target that runs a model which a
// later shift had replaced. Targets that check the fencing number refuse it. For
// the others the clock is looked at right before the send, with half the lease
// as the margin, and what still slips through is repaired by the next pass.
func (o *Orderer) order(c context.Context, t *matcher.Target, fence uint64, begin time.Time) error {
	x, stop := context.WithTimeout(c, orderTimeout)
	defer stop()

	if time.Since(begin) > sendWithin {
		return ErrLapsed
	}

	if err := o.targets.Order(x, t.Address, t.Model, fence); err != nil {
		return err
	}

	o.counter.Add(counter.Orders, 1)
	logrus.WithFields(logrus.Fields{"event": "ordered", "target": t.Name, "model": t.Model, "fence": fence}).Info()

	return nil
}

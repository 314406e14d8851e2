// Package reconciler reconciles targets with the configuration: it compares the desired
// model of each target with the one that the target reports, sends a command if they
// differ, and repeats.
//
// It stores no commands. If a router fails during a pass or a command arrives too late, the
// next pass compares again and corrects the target. This is the reconciler of "Commit the
// Intent, Then Touch the Cluster", with a lease from the platform's log.
package reconciler

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
	// passInterval is the time between two passes over the targets.
	passInterval = 5 * time.Second
	// leaseLifetime is the lifetime of a lease by the log's clock. A holder sends no
	// command later than sendWindow after it requested the lease, by its own monotonic
	// clock; the remainder is the margin for commands in flight.
	leaseLifetime  = 10 * time.Second
	sendWindow     = 5 * time.Second
	commandTimeout = 2 * time.Second
)

var (
	// ErrNoLease means that the lease was not acquired: another router holds it, or the
	// log is unreachable.
	ErrNoLease = errors.New("lease on target not acquired")
	// ErrLeaseExpired means that the lease may have expired: more than sendWindow has passed
	// since it was requested.
	ErrLeaseExpired = errors.New("lease may have expired before the command was sent")
)

// targets reads the state of targets and sends commands to them.
type targets interface {
	ReportedModel(c context.Context, a netip.AddrPort) (model string, fence uint64, err error)
	CommandModel(c context.Context, a netip.AddrPort, model string, fence uint64) error
}

// Reconciler reconciles targets with the configuration. It is safe for concurrent use.
type Reconciler struct {
	targets targets
	counter *counter.Counter
	self    uint64
	leases  *streamer.Streamer
	reducer *leaseReducer
}

// leaseReducer decodes the records of the leases stream for a Leaser.
type leaseReducer struct{ *leaser.Leaser }

// ApplyRecord applies a record of the leases stream.
func (l leaseReducer) ApplyRecord(offset uint64, at time.Time, data []byte) {
	var r leaser.Record

	// A record that cannot be decoded has no lifetime, and so grants no lease.
	_ = json.Unmarshal(data, &r)
	l.Apply(offset, at, r)
}

// New returns a Reconciler that holds no lease. Self identifies this router as a holder.
func New(l streamer.Log, t targets, n *counter.Counter, self uint64) *Reconciler {
	f := &leaseReducer{leaser.New()}

	return &Reconciler{targets: t, counter: n, self: self, leases: streamer.New(l, stream, f), reducer: f}
}

// Run makes a pass every 5 s until the context ends. The function isHome reports whether this
// router is the home (home node) of a cell. Only the home reconciles the cell's targets, so
// that routers rarely request the same lease.
func (r *Reconciler) Run(c context.Context, config func() *follower.Config, isHome func(*matcher.Cell) bool) {
	t := time.NewTicker(passInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			r.pass(c, config().Matcher, isHome)
		case <-c.Done():
			return
		}
	}
}

func (r *Reconciler) pass(c context.Context, m *matcher.Matcher, isHome func(*matcher.Cell) bool) {
	for _, x := range m.Cells() {
		if !isHome(x) {
			continue
		}

		for _, t := range x.Targets {
			if t.Kind != parser.KindEngine || t.Model == "" {
				continue
			}

			if err := r.Reconcile(c, t); err != nil {
				logrus.WithFields(logrus.Fields{"event": "orderFailed", "target": t.Name, "error": err}).Debug()
			}
		}
	}
}

// Reconcile compares the model that a target reports with the desired one and sends a
// command if they differ. It fails with ErrNoLease, ErrLeaseExpired or the target's error, and
// can always be repeated.
func (r *Reconciler) Reconcile(c context.Context, t *matcher.Target) error {
	x, stop := context.WithTimeout(c, commandTimeout)
	defer stop()

	m, _, err := r.targets.ReportedModel(x, t.Address)
	if err != nil || m == t.Model {
		return err
	}

	b := time.Now()

	f, err := r.lease(c, t.ID)
	if err != nil {
		return err
	}

	return r.command(c, t, f, b)
}

// lease requests the lease on a target, reads the log to find out who holds it, and returns
// its fencing number.
func (r *Reconciler) lease(c context.Context, target uint32) (uint64, error) {
	b, err := json.Marshal(leaser.Record{Target: target, Holder: r.self, Lifetime: leaseLifetime})
	if err != nil {
		return 0, errors.Mark(err, ErrNoLease)
	}

	n, err := r.leases.Append(c, b)
	if err != nil {
		// The append may have succeeded and only its reply been lost. The lease then
		// expires unused; later passes request it again.
		return 0, errors.Mark(err, ErrNoLease)
	}

	if err := r.leases.CatchUp(c, n); err != nil {
		return 0, errors.Mark(err, ErrNoLease)
	}

	var l leaser.Lease

	r.leases.View(func(now time.Time) { l = r.reducer.Get(now, target) })

	if l.Holder != r.self || l.Offset+1 != n {
		return 0, ErrNoLease
	}

	return l.Fence, nil
}

// command sends a command under a lease.
//
// A router may stall after it acquired the lease, and send the command when another router
// holds the lease. The target would then run a model that a later configuration has
// replaced. Targets that check the fencing number refuse such a command. For the others the
// age of the lease is checked immediately before sending, with half the lifetime as the
// margin, and the next pass corrects the remaining cases.
func (r *Reconciler) command(c context.Context, t *matcher.Target, fence uint64, requested time.Time) error {
	x, stop := context.WithTimeout(c, commandTimeout)
	defer stop()

	if time.Since(requested) > sendWindow {
		return ErrLeaseExpired
	}

	if err := r.targets.CommandModel(x, t.Address, t.Model, fence); err != nil {
		return err
	}

	r.counter.Add(counter.Commands, 1)
	logrus.WithFields(logrus.Fields{"event": "ordered", "target": t.Name, "model": t.Model, "fence": fence}).Info()

	return nil
}

package gatekeeper

import (
	"context"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/advertiser"
	"github.com/auburntray/auburntray/internal/binder"
	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/negotiator"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/repeater"
	"github.com/auburntray/auburntray/internal/replicator"
	"github.com/auburntray/auburntray/internal/reserver"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/tracer"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// maxCalls is the largest number of calls in progress, whatever the memory.
	maxCalls = 4096
	// maxDelegated is the largest number of calls of other instances in progress.
	maxDelegated = maxCalls / 4
	// defaultTimeout is the time limit of calls whose callers give none.
	defaultTimeout = 30 * time.Second
	// drainNotice is how long a load balancer needs to stop sending calls if it checks readiness
	// once a second and acts on two equal answers in a row.
	drainNotice = 2500 * time.Millisecond
	// lifecycleTimeout limits the start, and also the stop in case its time limit in the settings is
	// changed to an even longer time.
	lifecycleTimeout = time.Hour
	// configReadPause is the pause between reads of the configuration while it changes constantly.
	// targetReadPauseFraction is the pause between reads of the targets, as a fraction of the time
	// within which changes must be in force. Without pauses, reads would follow each other at once,
	// and each has a cost.
	configReadPause         = 100 * time.Millisecond
	targetReadPauseFraction = 0.3
)

// Options returns the fx options of a gateway. The application serves once it has started, and
// performs a planned stop when it is stopped.
func Options(s Settings, w Environment) fx.Option {
	return fx.Options(
		fx.Supply(s, w),
		fx.Provide(meter.New, provideState, newTracer, newMessenger, newMembers, newFleet, newRepeater, newReserver, newReplicator, newNegotiator, newBinder, newAccountant, newForwarder, newGatekeeper),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		// A process that stalls during its start must not exit because of that.
		fx.StartTimeout(lifecycleTimeout),
		fx.StopTimeout(lifecycleTimeout),
		fx.Invoke(func(l fx.Lifecycle, g *Gatekeeper) {
			l.Append(fx.Hook{OnStart: g.Start, OnStop: g.Stop})
		}),
	)
}

func provideState(s Settings) *state {
	f := newState()
	f.applyWithin = s.applyWithin()

	return f
}

func newTracer(s Settings) (trace.Tracer, error) {
	t, _, err := tracer.New(context.Background(), "", s.Name, 0)

	return t, err
}

func newReserver(m *messenger.Messenger, j *joiner.Joiner) *reserver.Reserver {
	r := reserver.New(m, j)
	m.Handle(wire.KindReserve, r.HandleReserve)
	m.Handle(wire.KindVacate, r.HandleVacate)
	m.Handle(wire.KindOccupancy, r.HandleOccupancy)

	return r
}

func newNegotiator(m *messenger.Messenger, j *joiner.Joiner) *negotiator.Negotiator {
	n := negotiator.New(m, j)
	m.Handle(wire.KindDelegation, n.HandleDelegation)

	return n
}

func newBinder(s Settings, w Environment, f *state, t *meter.Meter, m *messenger.Messenger, j *joiner.Joiner) *binder.Binder {
	b := binder.New(m, j, w.Streams, t, binder.Settings{
		Centres: slices.Collect(maps.Keys(s.Regions)), Fresh: f.targetsFresh, FreshTime: s.applyWithin(), Stalled: func() bool { return f.Stalled(time.Now()) }, WritesPerSecond: s.StoreWrites,
	})
	m.Handle(wire.KindStreamVersions, b.HandleVersions)
	m.Handle(wire.KindStreamsBegun, b.HandleBegun)
	m.Handle(wire.KindVersion, b.HandleEarlierRequest)
	m.Handle(wire.KindStreamVersion, b.HandleRequest)

	return b
}

func newReplicator(w Environment, m *messenger.Messenger, j *joiner.Joiner) *replicator.Replicator {
	x := replicator.New(m, j, w.Quarantine, quarantiner.DefaultSettings())
	x.Register(m)

	return x
}

func newForwarder(
	l fx.Lifecycle, s Settings, w Environment, f *state, t trace.Tracer, m *meter.Meter, j *joiner.Joiner, h *reserver.Reserver, q *replicator.Replicator, n *negotiator.Negotiator, k *fleet, v *binder.Binder, a *accountant.Accountant,
) *forwarder.Forwarder {
	x, stop := forwarder.New(
		forwarder.Settings{DataCentre: s.DataCentre, DefaultTimeout: defaultTimeout, MaxBody: maxBodyBytes, Regions: s.Regions},
		w.Dialect, f, t, m, w.dialer(), newSelector(s, k), newBudgeter(s, j))
	x.SetReserver(h)
	x.SetDelegates(n)
	x.SetBinder(v)
	x.SetQuarantine(q)
	x.SetMemory(a)
	q.OnCrashes(x.RecordCrashes)
	f.onRegistryChange = func(r *discoverer.Registry) {
		x.Prune(r)
		h.Prune(r)
		v.Observe(r)
	}

	l.Append(fx.Hook{OnStop: func(context.Context) error {
		stop()

		return nil
	}})

	return x
}

func newAccountant(s Settings) *accountant.Accountant {
	return accountant.New(s.Memory)
}

func newBudgeter(s Settings, j *joiner.Joiner) *budgeter.Budgeter {
	r := mathrand.New(mathrand.NewPCG(j.Self().ID, 2)) //nolint:gosec // Draws shares of less than one repeat.

	return budgeter.New(s.Retries, time.Now(), r)
}

func newSelector(s Settings, f *fleet) *selector.Selector {
	c := selector.New(selector.DefaultSettings().WithMaxFactor(s.MaxFactor))
	c.ConfigureThrottling(s.Cold, f.throttled)

	return c
}

// dependencies are the components of a Gatekeeper.
type dependencies struct {
	fx.In

	Settings    Settings
	Environment Environment
	State       *state
	Forwarder   *forwarder.Forwarder
	Messenger   *messenger.Messenger
	Joiner      *joiner.Joiner
	Fleet       *fleet
	Repeater    *repeater.Repeater
	Replicator  *replicator.Replicator
	Negotiator  *negotiator.Negotiator
	Binder      *binder.Binder
	Accountant  *accountant.Accountant
	Meter       *meter.Meter
}

func newGatekeeper(p dependencies) *Gatekeeper {
	s, w, f, x, m, j, r := p.Settings, p.Environment, p.State, p.Forwarder, p.Messenger, p.Joiner, p.Repeater

	const config, targets = "config", "targets"

	// Target entries are short, so transmitting them to all instances takes negligible time.
	d, e := watcher.WaitBudget(s.applyWithin()), s.applyWithin()
	c, t := r.AddStream(config, w.Config, d), r.AddStream(targets, w.Targets, e)
	f.lastConfirmed, f.targetsConfirmed = c.ConfirmedAt, t.ConfirmedAt
	m.Handle(wire.KindStream, r.Answer)
	j.Register(m)

	i := advertiser.New(m, j, x)
	m.Handle(wire.KindUpdate, i.HandleUpdate)
	m.Handle(wire.KindUpdateRelay, i.HandleRelay)
	m.Handle(wire.KindGone, i.HandleGone)
	x.OnGone(i.NotifyGone)
	m.Handle(wire.KindLeaving, i.HandleLeaving)
	x.OnLeaving(i.NotifyLeaving)
	m.Handle(wire.KindCapacity, i.HandleCapacity)
	x.OnRefusal(i.NotifyRefusal)

	g := &Gatekeeper{
		settings: s, state: f, forwarder: x, evacuations: newEvacuationReporter(f, x), messenger: m, joiner: j, fleet: p.Fleet, advertiser: i, replicator: p.Replicator, binder: p.Binder, negotiator: p.Negotiator, memory: p.Accountant, connections: acceptor.NewReporter(), delegated: drainer.New(0, maxDelegated), drainer: drainer.New(drainNotice, maxCalls),
		watchers: []*watcher.Watcher{
			watcher.New(config, c, handlers{
				newEraHandler(func() {
					f.beginEra()
					p.Replicator.VerifyStored()
					p.Binder.WriteAgain()
				}),
				// Evacuations come first: a starting instance must know them before it has a catalog.
				&evacuationHandler{
					state: f, decode: w.DecodeEvacuation, records: newSeenRecords(), reporter: &invalidRecordReporter{stream: config, counter: p.Meter},
				},
				&configHandler{
					state: f, key: w.ConfigKey, decode: w.DecodeConfig, reporter: &invalidRecordReporter{stream: config, counter: p.Meter},
				},
			}, configReadPause, d),
			watcher.New(targets, t, &targetHandler{
				state: f, decode: w.DecodeTarget, records: newSeenRecords(), reporter: &invalidRecordReporter{stream: targets, counter: p.Meter},
			}, time.Duration(targetReadPauseFraction*float64(e)), e),
		},
	}
	m.Handle(wire.KindEvacuations, g.evacuations.HandleRequest)
	g.stopTimeout.Store(int64(s.StopTimeout))
	g.createServers(w.ReadyPath, p.Meter)
	m.Accept(g.acceptors.peers.Listen)
	m.SetMemory(p.Accountant)
	g.registerMetrics(p.Meter)
	p.Meter.RegisterGauge("streams_bound", func() float64 { return float64(p.Binder.Len()) })

	for name, k := range map[string]wire.Kind{
		"news": wire.KindUpdate, "relay": wire.KindUpdateRelay, "gone": wire.KindGone, "leaving": wire.KindLeaving, "gossip": wire.KindGossip, "members": wire.KindMembers, "members_request": wire.KindMembersRequest, "probe": wire.KindProbe, "reply": wire.KindReply,
		"reserve": wire.KindReserve, "vacate": wire.KindVacate, "occupancy": wire.KindOccupancy,
		"suspects": wire.KindSuspects, "suspects_relay": wire.KindSuspectsRelay, "suspects_request": wire.KindSuspectsRequest,
		"trial": wire.KindTrial, "capacity": wire.KindCapacity, "delegation": wire.KindDelegation,
		"stream_versions": wire.KindStreamVersions, "streams_begun": wire.KindStreamsBegun, "version": wire.KindVersion, "stream_version": wire.KindStreamVersion,
	} {
		p.Meter.RegisterGauge("control_bytes_sent_"+name, func() float64 { return float64(m.Traffic().SentOf(k)) })
	}

	return g
}

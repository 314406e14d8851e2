package gatekeeper

import (
	"context"
	"net"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/informer"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/repeater"
	"github.com/auburntray/auburntray/internal/reserver"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/throttler"
	"github.com/auburntray/auburntray/internal/tracer"
	"github.com/auburntray/auburntray/internal/warner"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// maxCalls is how many calls may be in progress; with some 50 KB each they fit
	// the memory of the smallest instances.
	maxCalls = 4096
	// patience is how long callers wait that do not say.
	patience = 30 * time.Second
	// drainNotice is how long a balancer that asks once a second, and believes
	// two answers, takes to send no more.
	drainNotice = 2500 * time.Millisecond
	// stopMost bounds a start, and a stop when the settings change to a time without
	// reason.
	stopMost = time.Hour
	// configRest is the pause between two reads of the configuration when it changes all the time, and
	// targetRestPart that between two reads of the targets, as a part of the time that
	// waits may take. Each read has a price.
	configRest     = 100 * time.Millisecond
	targetRestPart = 0.3
)

// Options returns the fx options of a gateway. The application serves when it
// starts, and stops as planned when it stops.
func Options(s Settings, w World) fx.Option {
	return fx.Options(
		fx.Supply(s, w),
		fx.Provide(meter.New, newFactsOf, newTracer, newMessenger, newMembers, newRepeater, newReserver, newWarner, newForwarder, newGatekeeper),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		// A process that stands still as it starts must not end by itself for it.
		fx.StartTimeout(stopMost),
		fx.StopTimeout(stopMost),
		fx.Invoke(func(l fx.Lifecycle, g *Gatekeeper) {
			l.Append(fx.Hook{OnStart: g.Start, OnStop: g.Stop})
		}),
	)
}

func newFactsOf(s Settings) *facts {
	f := newFacts()
	f.within = s.within()

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

func newWarner(w World, m *messenger.Messenger, j *joiner.Joiner) *warner.Warner {
	x := warner.New(m, j, w.Held, quarantiner.DefaultSettings())
	x.Register(m)

	return x
}

func newForwarder(
	l fx.Lifecycle, s Settings, w World, f *facts, t trace.Tracer, m *meter.Meter, j *joiner.Joiner, h *reserver.Reserver, q *warner.Warner,
) *forwarder.Forwarder {
	x, stop := forwarder.New(
		forwarder.Settings{DataCentre: s.DataCentre, DefaultTimeout: patience, MaxBody: maxBody, Regions: s.Regions},
		w.Dialect, f, t, m, &net.Dialer{}, newChooser(s, j), budgeter.New(s.Retries, time.Now()))
	x.SetReserver(h)
	x.SetQuarantine(q)
	q.OnEnds(x.RecordCrashes)
	f.dropped = func(r *enroller.Roster) {
		x.Prune(r)
		h.Forget(r)
	}

	l.Append(fx.Hook{OnStop: func(context.Context) error {
		stop()

		return nil
	}})

	return x
}

// settledAfter is how long an instance must have run to know the others: gossip has reached it
// several times by then.
const settledAfter = 3 * time.Second

// sharesStandFor is how long instances that are gone keep their shares of the calls at cold targets:
// longer than most cuts last.
const sharesStandFor = time.Hour

func newChooser(s Settings, j *joiner.Joiner) *selector.Selector {
	b := time.Now()
	p := &peak{count: func() int { return max(len(j.Live()), len(j.Seeds())) }, lasts: sharesStandFor}
	c := selector.New(selector.DefaultSettings().WithMaxFactor(s.MostLoad))
	c.Throttle(s.Cold, func() throttler.Fleet {
		o := throttler.Fleet{Self: j.Self().ID, MaxInstances: p.value(), Settled: time.Since(b) >= settledAfter}
		for _, m := range j.Live() {
			o.Live = append(o.Live, m.ID)
		}

		return o
	})

	return c
}

// parts are what a Gatekeeper runs.
type parts struct {
	fx.In

	Settings  Settings
	World     World
	Facts     *facts
	Forwarder *forwarder.Forwarder
	Messenger *messenger.Messenger
	Joiner    *joiner.Joiner
	Repeater  *repeater.Repeater
	Warner    *warner.Warner
	Meter     *meter.Meter
}

func newGatekeeper(p parts) *Gatekeeper {
	s, w, f, x, m, j, r := p.Settings, p.World, p.Facts, p.Forwarder, p.Messenger, p.Joiner, p.Repeater

	const config, targets = "config", "targets"

	// Entries of targets are short, and the way to all instances takes them no time.
	d, e := watcher.Waits(s.within()), s.within()
	c, t := r.Stream(config, w.Config, d), r.Stream(targets, w.Targets, e)
	f.heard = c.Heard
	m.Handle(wire.KindStream, r.Answer)
	m.Handle(wire.KindGossip, j.Gossip)

	i := informer.New(m, j, x)
	m.Handle(wire.KindNews, i.Told)
	m.Handle(wire.KindRelay, i.Relayed)
	m.Handle(wire.KindGone, i.ToldGone)
	x.OnGone(i.Gone)
	m.Handle(wire.KindLeaving, i.ToldLeaving)
	x.OnLeaving(i.Leaving)

	g := &Gatekeeper{
		settings: s, facts: f, forwarder: x, evacuations: newEvacuations(f, x), messenger: m, joiner: j, informer: i, warner: p.Warner, drainer: drainer.New(drainNotice, maxCalls),
		watchers: []*watcher.Watcher{
			watcher.New(config, c, sinks{
				// First: an instance that starts must know what is evacuated when it has a catalog.
				&evacuationSink{
					facts: f, decode: w.DecodeEvacuation, marks: newMarks(), refusals: &refusals{stream: config, counter: p.Meter},
				},
				&configSink{
					facts: f, key: w.ConfigKey, decode: w.DecodeConfig, refusals: &refusals{stream: config, counter: p.Meter},
				},
			}, configRest, d),
			watcher.New(targets, t, &targetSink{
				facts: f, decode: w.DecodeTarget, marks: newMarks(), refusals: &refusals{stream: targets, counter: p.Meter},
			}, time.Duration(targetRestPart*float64(e)), e),
		},
	}
	m.Handle(wire.KindEvacuations, g.evacuations.Asked)
	g.stop.Store(int64(s.Stop))
	g.handle(w.ReadyPath, p.Meter)
	g.follow(p.Meter)

	for name, k := range map[string]wire.Kind{
		"news": wire.KindNews, "relay": wire.KindRelay, "gone": wire.KindGone, "leaving": wire.KindLeaving, "gossip": wire.KindGossip, "reply": wire.KindReply,
		"reserve": wire.KindReserve, "vacate": wire.KindVacate, "occupancy": wire.KindOccupancy,
		"suspects": wire.KindSuspects, "suspects_relay": wire.KindSuspectsRelay, "suspects_request": wire.KindSuspectsRequest,
		"trial": wire.KindTrial,
	} {
		p.Meter.Follow("control_bytes_sent_"+name, func() float64 { return float64(m.Traffic().SentOf(k)) })
	}

	return g
}

// Package gatekeeper puts the parts of a gateway together and runs them.
package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/chooser"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/idler"
	"github.com/auburntray/auburntray/internal/informer"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/repeater"
	"github.com/auburntray/auburntray/internal/tracer"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrStart means that the gateway could not start.
var ErrStart = errors.New("the gateway can't start")

const (
	// headerTimeout is how long a caller may take for its headers. Callers that
	// are well need a packet or two. The catalog may set less.
	headerTimeout = 10 * time.Second
	// maxHeader and maxBody bound what a caller may send, in bytes, whatever the
	// catalog says.
	maxHeader = 256 << 10
	maxBody   = 16 << 20
	// maxCalls is how many calls may be in progress; with some 50 KB each they fit
	// the memory of the smallest instances.
	maxCalls = 4096
	// patience is how long callers wait that do not say.
	patience = 30 * time.Second
	// drainNotice is how long a balancer that asks once a second, and believes
	// two answers, takes to send no more.
	drainNotice = 2500 * time.Millisecond
	// stopMargin is what a stop leaves of its time, so that it ends by itself and
	// logs what it cut.
	stopMargin = 300 * time.Millisecond
	// stopMost bounds a stop when the settings change to a time without reason.
	stopMost = time.Hour
	// advanceEvery is how often it is looked whether a stop may go on.
	advanceEvery = 50 * time.Millisecond
	// configRest and targetRest are the pauses between two reads of a stream that
	// changes all the time. Each read has a price; a change must be known within
	// two seconds.
	configRest = 100 * time.Millisecond
	targetRest = 600 * time.Millisecond
	// metricsPath is where counts are served.
	metricsPath = "/metrics"
	// settleEvery is how late the end of a grace may be noticed.
	settleEvery = 100 * time.Millisecond
	// lookEvery is how late a cut, or its end, may be noticed. The balancer asks once a
	// second and believes two answers.
	lookEvery = 300 * time.Millisecond
	// sweepEvery is how late an idle connection may be closed.
	sweepEvery = time.Second
)

// Gatekeeper is one instance of a gateway. It is safe for concurrent use.
type Gatekeeper struct {
	settings  Settings
	facts     *facts
	forwarder *forwarder.Forwarder
	drainer   *drainer.Drainer
	messenger *messenger.Messenger
	joiner    *joiner.Joiner
	informer  *informer.Informer
	watchers  []*watcher.Watcher
	idler     *idler.Idler
	callers   *http.Server
	ready     *http.Server
	metrics   *http.Server
	group     sync.WaitGroup
	end       context.CancelFunc
	// stop is how long a planned stop may take, in nanoseconds.
	stop atomic.Int64
}

// Options returns the fx options of a gateway. The application serves when it
// starts, and stops as planned when it stops.
func Options(s Settings, w World) fx.Option {
	return fx.Options(
		fx.Supply(s, w),
		fx.Provide(meter.New, newFacts, newTracer, newMessenger, newMembers, newRepeater, newForwarder, newGatekeeper),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopMost),
		fx.Invoke(func(l fx.Lifecycle, g *Gatekeeper) {
			l.Append(fx.Hook{OnStart: g.Start, OnStop: g.Stop})
		}),
	)
}

func newTracer(s Settings) (trace.Tracer, error) {
	t, _, err := tracer.New(context.Background(), "", s.Name, 0)

	return t, err
}

func newForwarder(l fx.Lifecycle, s Settings, w World, f *facts, t trace.Tracer, m *meter.Meter) *forwarder.Forwarder {
	x, stop := forwarder.New(
		forwarder.Settings{DataCentre: s.DataCentre, Patience: patience, MaxBody: maxBody},
		w.Dialect, f, t, m, &net.Dialer{}, chooser.New(chooser.DefaultSettings()), budgeter.New(s.Retries, time.Now()))
	f.dropped = x.Forget

	l.Append(fx.Hook{OnStop: func(context.Context) error {
		stop()

		return nil
	}})

	return x
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
	Meter     *meter.Meter
}

func newGatekeeper(p parts) *Gatekeeper {
	s, w, f, x, m, j, r := p.Settings, p.World, p.Facts, p.Forwarder, p.Messenger, p.Joiner, p.Repeater

	const config, targets = "config", "targets"

	c, t := r.Stream(config, w.Config), r.Stream(targets, w.Targets)
	f.heard = c.Heard
	m.Handle(wire.KindStream, r.Answer)
	m.Handle(wire.KindGossip, j.Gossip)

	i := informer.New(m, j, x)
	m.Handle(wire.KindNews, i.Told)
	m.Handle(wire.KindGone, i.ToldGone)
	x.OnGone(i.Gone)

	g := &Gatekeeper{
		settings: s, facts: f, forwarder: x, messenger: m, joiner: j, informer: i, drainer: drainer.New(drainNotice, maxCalls),
		watchers: []*watcher.Watcher{
			watcher.New(config, c, &configSink{
				facts: f, key: w.ConfigKey, decode: w.DecodeConfig, refusals: &refusals{stream: config, counter: p.Meter},
			}, configRest),
			watcher.New(targets, t, &targetSink{
				facts: f, decode: w.DecodeTarget, marks: newMarks(), refusals: &refusals{stream: targets, counter: p.Meter},
			}, targetRest),
		},
	}
	g.stop.Store(int64(s.Stop))
	g.handle(w.ReadyPath, p.Meter)
	g.follow(p.Meter)

	return g
}

// Tune puts changed settings in force. Calls in progress go on.
func (g *Gatekeeper) Tune(t Tunables) {
	g.stop.Store(int64(t.Stop))
	g.joiner.SetSeeds(t.Seeds)
	g.forwarder.SetRetries(t.Retries)
	logrus.WithFields(logrus.Fields{
		"event": "tuned", "seeds": len(t.Seeds), "stop": t.Stop,
		"retryRatio": t.Retries.Ratio, "retryWindow": t.Retries.Window, "retrySlack": t.Retries.Slack,
	}).Info()
}

// handle sets up the callers' and the balancer's side.
func (g *Gatekeeper) handle(readyPath string, m *meter.Meter) {
	gin.SetMode(gin.ReleaseMode)

	c := gin.New()
	c.NoRoute(gin.WrapF(g.serve))
	c.RemoveExtraSlash = false
	c.RedirectTrailingSlash = false

	r := gin.New()
	r.GET(readyPath, g.answerReady)

	g.idler = idler.New(g.limits)
	g.callers = &http.Server{
		Handler: c, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ConnState: g.idler.Track, ConnContext: g.idler.Context,
	}
	g.ready = &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout}

	x := gin.New()
	x.GET(metricsPath, gin.WrapH(m.Handler()))

	g.metrics = &http.Server{Handler: x, ReadHeaderTimeout: headerTimeout}
}

// limits returns how long a caller's connection may be without a call.
func (g *Gatekeeper) limits() idler.Limits {
	c := g.facts.Catalog()
	if c == nil {
		return idler.Limits{}
	}

	return idler.Limits{Idle: c.Limits.Idle, Header: c.Limits.HeaderTime}
}

// follow connects the metrics that are read where they stand.
func (g *Gatekeeper) follow(m *meter.Meter) {
	m.Follow("catalog_version", func() float64 { return float64(g.facts.version()) })
	m.Follow("catalog_age_seconds", func() float64 { return time.Since(g.facts.heard()).Seconds() })
	m.Follow("targets", func() float64 { return float64(len(g.facts.Roster().Known)) })
	m.Follow("instances", func() float64 { return float64(g.facts.Instances()) })
	m.Follow("calls_running", func() float64 { return float64(g.drainer.Running()) })
	m.Follow("control_bytes_sent", func() float64 { s, _ := g.messenger.Traffic().Bytes(); return float64(s) })
	m.Loads(func() []meter.Load {
		var o []meter.Load
		for _, v := range g.forwarder.Views() {
			o = append(o, meter.Load{Target: v.Target.ID, Group: v.Target.Group, Calls: v.Load, Left: v.Left})
		}

		return o
	})
	m.Follow("control_bytes_received", func() float64 { _, n := g.messenger.Traffic().Bytes(); return float64(n) })
}

// serve counts a call in and out, so that a stop waits for it.
func (g *Gatekeeper) serve(w http.ResponseWriter, r *http.Request) {
	g.idler.Begun(r.Context())

	if p, ok := g.drainer.Enter(time.Now()); !ok {
		w.Header().Set("Connection", "close")
		g.forwarder.Turn(w, p >= drainer.Refusing)

		return
	}

	defer g.drainer.Exit()

	g.forwarder.ServeHTTP(w, r)
}

// answerReady says whether the balancer should send calls: a catalog and targets
// are known, no stop has begun, and the instance is not on the small side of a cut, where
// callers are refused what others can serve.
func (g *Gatekeeper) answerReady(c *gin.Context) {
	if g.facts.Catalog() == nil || len(g.facts.Roster().Groups) == 0 || !g.drainer.Ready() || g.forwarder.CutOff() {
		c.Status(http.StatusServiceUnavailable)

		return
	}

	c.Status(http.StatusOK)
}

// Start serves callers and follows the streams in the background.
func (g *Gatekeeper) Start(c context.Context) error {
	for _, s := range []struct {
		server  *http.Server
		address netip.AddrPort
	}{{g.callers, g.settings.Callers}, {g.ready, g.settings.Ready}, {g.metrics, g.settings.Metrics}} {
		if !s.address.IsValid() {
			continue
		}

		l, err := (&net.ListenConfig{}).Listen(c, "tcp", s.address.String())
		if err != nil {
			return errors.Mark(err, ErrStart)
		}

		g.background(func() {
			if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				logrus.WithFields(logrus.Fields{"event": "serveFailed", "error": err}).Error()
			}
		})
	}

	x, end := context.WithCancel(context.Background())
	g.end = end

	g.background(func() { every(x, settleEvery, g.facts.settle) })
	g.background(func() { every(x, lookEvery, func() { g.forwarder.Look(x) }) })
	g.background(func() { every(x, detector.TickEvery, g.facts.tick) })
	g.background(func() { every(x, sweepEvery, func() { g.idler.Sweep() }) })
	g.messenger.Serve()
	g.background(func() { g.joiner.Run(x) })
	g.background(func() { g.informer.Run(x) })

	for _, w := range g.watchers {
		g.background(func() { w.Run(x) })
	}

	logrus.WithFields(logrus.Fields{
		"event": "started", "name": g.settings.Name, "dataCentre": g.settings.DataCentre, "callers": g.settings.Callers,
	}).Info()

	return nil
}

// Stop stops as planned: it shows not ready, serves what still comes until the
// balancer has noticed, and ends when the last call has.
func (g *Gatekeeper) Stop(c context.Context) error {
	c, stop := context.WithTimeout(c, max(time.Duration(g.stop.Load())-stopMargin, stopMargin))
	defer stop()

	g.drainer.Notice(time.Now())
	g.forwarder.Stop()
	logrus.WithFields(logrus.Fields{"event": "stopping", "name": g.settings.Name, "running": g.drainer.Running()}).Info()

	g.joiner.Leave(c)

	t := time.NewTicker(advanceEvery)
	defer t.Stop()

	for g.drainer.Advance(time.Now()) != drainer.Done && c.Err() == nil {
		select {
		case <-t.C:
		case <-c.Done():
		}
	}

	n := g.drainer.Running()

	g.end()
	_ = g.callers.Close()
	_ = g.ready.Close()
	_ = g.metrics.Close()
	g.group.Wait()
	logrus.WithFields(logrus.Fields{"event": "stopped", "name": g.settings.Name, "cut": n}).Info()

	return nil
}

func (g *Gatekeeper) background(f func()) {
	g.group.Add(1)

	go func() {
		defer g.group.Done()
		f()
	}()
}

// every calls a function again and again until the context ends.
func every(c context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			f()
		case <-c.Done():
			return
		}
	}
}

// Package router puts the parts of an entry instance together and runs them.
package router

import (
	"context"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/auburntray/auburntray/internal/asker"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/filterer"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/keeper"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/orderer"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/recoverer"
	"github.com/auburntray/auburntray/internal/registrar"
	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/internal/sender"
	"github.com/auburntray/auburntray/internal/warner"
)

// ErrStart means that the router could not start.
var ErrStart = errors.New("the router can't start")

// Router is one entry instance. It is safe for concurrent use.
type Router struct {
	settings  resolver.Router
	follower  *follower.Follower
	joiner    *joiner.Joiner
	keeper    *keeper.Keeper
	asker     *asker.Asker
	orderer   *orderer.Orderer
	messenger *messenger.Messenger
	recorder  *recorder.Recorder
	pipeline  *filterer.Pipeline
	warner    *warner.Warner
	drainer   *drainer.Drainer
	counter   *counter.Counter
	stalls    *stalls

	server   *http.Server
	listener net.Listener
	group    sync.WaitGroup
	stop     context.CancelFunc
}

// Options returns the fx options of a router with the given settings. The
// application starts serving when it starts, and stops as planned when it
// stops: no request in progress is cut.
func Options(s resolver.Router) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(
			counter.New,
			newID,
			newPeer,
			newDialer,
			newStalls,
			newSelf,
			newTracer,
			newMessenger,
			newRecorder,
			newSender,
			newParts,
			newWarner,
			newPipeline,
			newRouter,
		),
		fx.WithLogger(func() fxevent.Logger { return quiet{} }),
		fx.StopTimeout(s.MaxDeadline+s.DrainNotice+time.Minute),
		fx.Invoke(func(l fx.Lifecycle, r *Router) {
			l.Append(fx.Hook{OnStart: r.Start, OnStop: r.Stop})
		}),
	)
}

// quiet drops the events of the container; failures come back as errors.
type quiet struct{}

// LogEvent is part of fxevent.Logger.
func (quiet) LogEvent(fxevent.Event) {}

// processID names this process among all routers' processes.
type processID uint64

func newID() processID {
	return processID(joiner.NewID(0))
}

// Peer is the address on which this router is reached by others.
type Peer netip.AddrPort

func newPeer(m *messenger.Messenger) Peer {
	return Peer(m.Address())
}

// newSelf returns this router as the others will know it.
func newSelf(s resolver.Router, id processID, m *messenger.Messenger) gossiper.Member {
	return gossiper.Member{ID: uint64(id), Address: m.Address(), Region: s.Region, DataCentre: s.DataCentre}
}

// parts are the services that depend on each other in a circle: the follower
// tells the keeper of changes, the joiner tells the follower of peers.
type parts struct {
	fx.Out

	Follower  *follower.Follower
	Joiner    *joiner.Joiner
	Keeper    *keeper.Keeper
	Asker     *asker.Asker
	Registrar *registrar.Registrar
	Orderer   *orderer.Orderer
	Drainer   *drainer.Drainer
}

func newParts(s resolver.Router, self gossiper.Member, m *messenger.Messenger, r *recorder.Recorder,
	t *sender.Sender, n *counter.Counter, p *stalls,
) parts {
	var o parts

	b := time.Now()
	o.Keeper = keeper.New(granterSettings(s), self.ID, func() *follower.Force { return o.Follower.Force() }, t,
		teller{messenger: m, joiner: func() *joiner.Joiner { return o.Joiner }, keeper: func() *keeper.Keeper { return o.Keeper }}, p)
	o.Follower = follower.New(r, m, func(f *follower.Force) { changed(&o, f) }, func() bool { return responsible(o.Joiner, checkpointKey, b) }, s.CheckpointEvery)

	g := gossiper.New(gossiper.DefaultSettings(), mathrand.New(mathrand.NewPCG(self.ID, 0)), self) //nolint:gosec // Spreads messages.
	o.Joiner = joiner.New(m, r, g, self, s.Seeds, joiner.Hooks{
		Revision: func() uint64 { return o.Follower.Revision() },
		Ahead:    aheadOf(o.Follower),
		Seen:     o.Keeper.Seen,
	})
	o.Asker = asker.New(m, o.Joiner, o.Keeper, n, p, s.AskTimeout)
	o.Registrar = registrar.New(r, m, o.Joiner, p, s.ClaimWindow)
	o.Orderer = orderer.New(r, t, n, self.ID)
	o.Drainer = drainer.New(s.DrainNotice, s.MaxInFlight)

	return o
}

// changed brings a configuration to the parts that hold something of it.
func changed(p *parts, f *follower.Force) {
	var k []gossiper.Key

	for _, c := range f.Matcher.Cells() {
		k = append(k, gossiper.Key{Key: uint64(c.ID), Centres: c.DataCentres})
	}

	p.Joiner.SetKeys(k)
	p.Keeper.Update(f)
}

// newWarner returns what remembers under which calls targets have ended. Nothing of it outlasts
// all routers: a call that was held back ends three targets more after that.
func newWarner(m *messenger.Messenger, j *joiner.Joiner) *warner.Warner {
	return warner.New(m, j, nil, quarantiner.DefaultSettings())
}

func newPipeline(s resolver.Router, t trace.Tracer, d *drainer.Drainer, f *follower.Follower, a *asker.Asker,
	g *registrar.Registrar, x *sender.Sender, n *counter.Counter, p *stalls, q *warner.Warner,
) *filterer.Pipeline {
	i := filterer.Isolate{Quarantine: q, Targets: x}

	return filterer.New(d, g, n, t,
		filterer.Accept{MaxBody: int64(s.MaxBody)},
		filterer.Identify{Deadline: s.Deadline, MaxDeadline: s.MaxDeadline},
		filterer.Match{Force: f.Force},
		i,
		filterer.Claim{Claims: g, Counter: n},
		filterer.NewAttempt(a, n, i,
			filterer.Pick{Places: a, Region: s.Region, Counter: n},
			filterer.Send{Targets: x, Places: a, Pauses: p},
			filterer.Relay{Targets: x, Counter: n},
		),
	)
}

// routerIn are the parts that a Router runs.
type routerIn struct {
	fx.In

	Settings  resolver.Router
	Follower  *follower.Follower
	Joiner    *joiner.Joiner
	Keeper    *keeper.Keeper
	Asker     *asker.Asker
	Registrar *registrar.Registrar
	Orderer   *orderer.Orderer
	Messenger *messenger.Messenger
	Recorder  *recorder.Recorder
	Pipeline  *filterer.Pipeline
	Warner    *warner.Warner
	Drainer   *drainer.Drainer
	Counter   *counter.Counter
	Stalls    *stalls
}

func newRouter(i routerIn) (*Router, error) {
	l, err := net.Listen("tcp", i.Settings.Listen.String()) //nolint:noctx // Closed by Stop.
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "listening for callers"), ErrStart)
	}

	r := &Router{
		settings: i.Settings, follower: i.Follower, joiner: i.Joiner, keeper: i.Keeper, asker: i.Asker,
		orderer: i.Orderer, messenger: i.Messenger, recorder: i.Recorder, pipeline: i.Pipeline, warner: i.Warner, drainer: i.Drainer,
		counter: i.Counter, stalls: i.Stalls, listener: l,
	}
	r.register(i.Registrar)
	r.follow()

	r.server = &http.Server{
		Handler:           r.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       i.Settings.IdleTimeout,
		MaxHeaderBytes:    i.Settings.MaxHeader,
	}

	return r, nil
}

const headerTimeout = 10 * time.Second

// handler returns the callers' side: the health paths and the pipeline.
func (r *Router) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)

	g := gin.New()
	g.Use(recoverer.New(answerPanic))
	g.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusOK) })
	g.GET("/readyz", r.ready)
	g.NoRoute(gin.WrapH(r.pipeline))

	return g
}

// answerPanic answers a call whose handling panicked: whether it ran is not known.
func answerPanic(c *gin.Context) {
	c.AbortWithStatusJSON(http.StatusInternalServerError,
		gin.H{"error": gin.H{"code": "internal", "outcome": "unknown"}})
}

// ready says whether the balancer should send calls: a configuration is in
// force and no stop has begun.
func (r *Router) ready(c *gin.Context) {
	if r.follower.Revision() == 0 || !r.drainer.Ready() {
		c.Status(http.StatusServiceUnavailable)

		return
	}

	c.Status(http.StatusOK)
}

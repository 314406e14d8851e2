// Package router assembles the components of a router instance and runs them.
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

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/filterer"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/reconciler"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/recoverer"
	"github.com/auburntray/auburntray/internal/registrar"
	"github.com/auburntray/auburntray/internal/replicator"
	"github.com/auburntray/auburntray/internal/requester"
	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/internal/sender"
	"github.com/auburntray/auburntray/internal/supervisor"
)

// ErrStart marks errors of components that fail to start.
var ErrStart = errors.New("the router can't start")

// Router is one router instance. It is safe for concurrent use.
type Router struct {
	settings   resolver.Router
	follower   *follower.Follower
	joiner     *joiner.Joiner
	supervisor *supervisor.Supervisor
	requester  *requester.Requester
	reconciler *reconciler.Reconciler
	messenger  *messenger.Messenger
	recorder   *recorder.Recorder
	pipeline   *filterer.Pipeline
	replicator *replicator.Replicator
	drainer    *drainer.Drainer
	counter    *counter.Counter
	stalls     *stallMonitor
	memory     *accountant.Accountant

	acceptors acceptors
	server    *http.Server
	listener  net.Listener
	group     sync.WaitGroup
	stop      context.CancelFunc
}

// Options returns the fx options of a router with the given settings. Stopping the
// application drains the router: requests in progress are completed first.
func Options(s resolver.Router) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(
			counter.New,
			newID,
			newPeer,
			newDialer,
			newStallMonitor,
			newSelf,
			newTracer,
			newMessenger,
			newRecorder,
			newSender,
			newComponents,
			newReplicator,
			newAccountant,
			newPipeline,
			newRouter,
		),
		fx.WithLogger(func() fxevent.Logger { return discardLogger{} }),
		fx.StopTimeout(s.MaxDeadline+s.DrainNotice+time.Minute),
		fx.Invoke(func(l fx.Lifecycle, r *Router) {
			l.Append(fx.Hook{OnStart: r.Start, OnStop: r.Stop})
		}),
	)
}

// discardLogger discards the events of the fx container. Failures of the container are also
// returned as errors.
type discardLogger struct{}

// LogEvent implements fxevent.Logger.
func (discardLogger) LogEvent(fxevent.Event) {}

// processID identifies this process among the processes of all routers.
type processID uint64

func newID() processID {
	return processID(joiner.NewID(0))
}

// Peer is the address at which other routers reach this router.
type Peer netip.AddrPort

func newPeer(m *messenger.Messenger) Peer {
	return Peer(m.Address())
}

// newSelf returns the gossip member that describes this router.
func newSelf(s resolver.Router, id processID, m *messenger.Messenger) gossiper.Member {
	return gossiper.Member{ID: uint64(id), Address: m.Address(), Region: s.Region, DataCentre: s.DataCentre}
}

// components groups the components that depend on each other in a cycle, such as the
// follower, which notifies the supervisor of changes, and the joiner, which notifies the
// follower of peers.
type components struct {
	fx.Out

	Follower   *follower.Follower
	Joiner     *joiner.Joiner
	Supervisor *supervisor.Supervisor
	Requester  *requester.Requester
	Registrar  *registrar.Registrar
	Reconciler *reconciler.Reconciler
	Drainer    *drainer.Drainer
}

func newComponents(s resolver.Router, self gossiper.Member, m *messenger.Messenger, r *recorder.Recorder,
	t *sender.Sender, n *counter.Counter, p *stallMonitor,
) components {
	var o components

	b := time.Now()
	o.Supervisor = supervisor.New(granterSettings(s), self.ID, func() *follower.Config { return o.Follower.Config() }, t,
		notifier{messenger: m, joiner: func() *joiner.Joiner { return o.Joiner }, supervisor: func() *supervisor.Supervisor { return o.Supervisor }}, p)
	o.Follower = follower.New(r, m, func(f *follower.Config) { applyConfig(&o, f) }, func() bool { return isKeyHome(o.Joiner, checkpointKey, b) }, s.CheckpointEvery)

	g := gossiper.New(gossiper.DefaultSettings(), mathrand.New(mathrand.NewPCG(self.ID, 0)), self) //nolint:gosec // Not used for secrets.
	o.Joiner = joiner.New(m, r, g, self, s.Seeds, joiner.Hooks{
		Revision:        func() uint64 { return o.Follower.Order() },
		OnNewerRevision: newerRevisionHandler(o.Follower),
		OnTargetChange:  o.Supervisor.ObserveInstance,
	})
	o.Requester = requester.New(m, o.Joiner, o.Supervisor, n, p, s.SlotTimeout)
	o.Registrar = registrar.New(r, m, o.Joiner, p, s.ClaimWindow)
	o.Follower.OnRewind(func() { go o.Registrar.RestoreClaims(context.Background()) })
	o.Reconciler = reconciler.New(r, t, n, self.ID)
	o.Drainer = drainer.New(s.DrainNotice, s.MaxInFlight)

	return o
}

// applyConfig updates the components that depend on the configuration.
func applyConfig(p *components, f *follower.Config) {
	var k []gossiper.Key

	for _, c := range f.Matcher.Cells() {
		k = append(k, gossiper.Key{Key: uint64(c.ID), Centres: c.DataCentres})
	}

	p.Joiner.SetKeys(k)
	p.Supervisor.Update(f)
}

// newReplicator returns the component that shares the records of quarantined calls between the
// routers. The records are not stored, so after a restart of all routers a quarantined call
// crashes three more targets before it is quarantined again.
func newReplicator(m *messenger.Messenger, j *joiner.Joiner) *replicator.Replicator {
	return replicator.New(m, j, nil, quarantiner.DefaultSettings())
}

func newAccountant(s resolver.Router) *accountant.Accountant {
	return accountant.New(int64(s.Memory))
}

func newPipeline(s resolver.Router, t trace.Tracer, d *drainer.Drainer, f *follower.Follower, a *requester.Requester,
	g *registrar.Registrar, x *sender.Sender, n *counter.Counter, p *stallMonitor, q *replicator.Replicator, m *accountant.Accountant,
) *filterer.Pipeline {
	i := filterer.RefuseQuarantined{Quarantine: q, Targets: x}

	return filterer.New(d, g, n, t,
		filterer.Accept{MaxBody: int64(s.MaxBody), Timeout: s.MaxDeadline, Memory: m},
		filterer.Identify{Deadline: s.Deadline, MaxDeadline: s.MaxDeadline},
		filterer.Match{Config: f.Config},
		i,
		filterer.Claim{Claims: g, Counter: n},
		filterer.NewAttempt(a, n, i,
			filterer.Pick{Slots: a, Region: s.Region, Counter: n},
			filterer.Send{Targets: x, Slots: a, Stalls: p},
			filterer.Relay{Targets: x, Counter: n, Memory: m},
		),
	)
}

// routerParams are the components that a Router runs.
type routerParams struct {
	fx.In

	Settings   resolver.Router
	Follower   *follower.Follower
	Joiner     *joiner.Joiner
	Supervisor *supervisor.Supervisor
	Requester  *requester.Requester
	Registrar  *registrar.Registrar
	Reconciler *reconciler.Reconciler
	Messenger  *messenger.Messenger
	Recorder   *recorder.Recorder
	Pipeline   *filterer.Pipeline
	Replicator *replicator.Replicator
	Drainer    *drainer.Drainer
	Counter    *counter.Counter
	Stalls     *stallMonitor
	Memory     *accountant.Accountant
}

func newRouter(i routerParams) (*Router, error) {
	l, err := net.Listen("tcp", i.Settings.Listen.String()) //nolint:noctx // Stop closes it.
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "listening for callers"), ErrStart)
	}

	a := newAcceptors(i.Settings, i.Memory, i.Messenger.Outgoing)
	i.Messenger.Accept(a.peers.Listen)
	i.Messenger.SetMemory(i.Memory)

	r := &Router{
		settings: i.Settings, follower: i.Follower, joiner: i.Joiner, supervisor: i.Supervisor, requester: i.Requester,
		reconciler: i.Reconciler, messenger: i.Messenger, recorder: i.Recorder, pipeline: i.Pipeline, replicator: i.Replicator, drainer: i.Drainer,
		counter: i.Counter, stalls: i.Stalls, memory: i.Memory, acceptors: a, listener: a.callers.Listen(l),
	}
	r.registerHandlers(i.Registrar)
	r.registerGauges()

	r.server = &http.Server{
		Handler:           r.handler(),
		ReadHeaderTimeout: acceptor.DefaultHeadTimeout,
		IdleTimeout:       i.Settings.IdleTimeout,
		MaxHeaderBytes:    i.Settings.MaxHeader,
	}
	a.callers.Serve(r.server)
	i.Memory.OnExhausted(func() { go a.callers.FreeMemory() })

	return r, nil
}

// handler returns the handler for callers: the health endpoints and, for all other paths,
// the pipeline.
func (r *Router) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)

	g := gin.New()
	g.Use(recoverer.New(answerPanic))
	g.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusOK) })
	g.GET("/readyz", r.ready)
	g.NoRoute(gin.WrapH(r.pipeline))

	return g
}

// answerPanic answers a call whose handler panicked. Its outcome is unknown.
func answerPanic(c *gin.Context) {
	c.AbortWithStatusJSON(http.StatusInternalServerError,
		gin.H{"error": gin.H{"code": "internal", "outcome": "unknown"}})
}

// ready answers the load balancer's readiness check. The router is ready when it has a
// configuration and is not stopping.
func (r *Router) ready(c *gin.Context) {
	if r.follower.Revision() == 0 || !r.drainer.Ready() {
		c.Status(http.StatusServiceUnavailable)

		return
	}

	c.Status(http.StatusOK)
}

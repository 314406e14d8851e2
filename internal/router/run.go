package router

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/registrar"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// drainPollInterval is how often Stop checks whether the router is drained.
	drainPollInterval = 50 * time.Millisecond
	// settleTimeout limits the work after the drain: recording outcomes, handing over
	// placements and closing connections.
	settleTimeout = 15 * time.Second
	// sendTimeout limits the sending of one message to a peer.
	sendTimeout = 2 * time.Second
	// maxHandOverPlacements is the largest number of placements in one message.
	maxHandOverPlacements = 4096
)

// registerHandlers registers the components' handlers for messages from peers.
func (r *Router) registerHandlers(g *registrar.Registrar) {
	r.joiner.Register(r.messenger)
	r.messenger.Handle(wire.KindState, r.follower.AnswerState)
	r.supervisor.Register(r.messenger)
	r.replicator.Register(r.messenger)
	g.Register(r.messenger)
}

// registerGauges registers the metrics that are computed when they are read.
func (r *Router) registerGauges() {
	n := r.counter
	n.RegisterGauge(counter.Revision, func() int64 { return int64(r.follower.Revision()) }) //nolint:gosec // Below 2^63.
	n.RegisterGauge(counter.LiveRouters, func() int64 { return int64(len(r.joiner.Live())) })
	n.RegisterGauge(counter.InFlight, func() int64 { return int64(r.drainer.Running()) })
	n.RegisterGauge(counter.MemoryHeld, r.memory.Total)
	n.RegisterGauge(counter.ConnectionsShed, func() int64 { return int64(r.acceptors.reporter.Count(acceptor.Shed)) })
	n.RegisterGauge(counter.ConnectionsEnded, func() int64 {
		o := 0
		for _, k := range acceptor.Reasons() {
			o += r.acceptors.reporter.Count(k)
		}

		return int64(o - r.acceptors.reporter.Count(acceptor.Shed))
	})
	n.RegisterGauge(counter.Placements, func() int64 { return int64(r.supervisor.PlacementCount()) })
	n.RegisterGauge(counter.PlatformBytes, r.recorder.Bytes)
	n.RegisterGauge(counter.ControlSent, func() int64 { s, _ := r.messenger.Traffic().Bytes(); return s })
	n.RegisterGauge(counter.ControlReceived, func() int64 { _, s := r.messenger.Traffic().Bytes(); return s })
}

// Start begins to serve callers and peers in the background and returns at once. It does not
// fail.
func (r *Router) Start(context.Context) error {
	c, stop := context.WithCancel(context.Background())
	r.stop = stop

	r.messenger.Serve()
	r.background(func() { r.stalls.run(c) })
	r.background(func() { r.joiner.Run(c) })
	r.background(func() { r.follower.Run(c) })
	r.background(func() { r.requester.Run(c) })
	r.background(func() { r.replicator.Run(c) })
	r.background(func() { r.supervisor.Run(c, r.home) })
	r.background(func() { r.reconciler.Run(c, r.follower.Config, r.isHome) })
	r.background(func() { r.acceptors.sweep(c.Done()) })
	r.background(r.serve)

	if r.settings.Debug.IsValid() {
		r.background(func() { r.debug(c) })
	}

	logrus.WithFields(logrus.Fields{
		"event": "started", "name": r.settings.Name, "id": r.joiner.Self().ID,
		"listen": r.listener.Addr(), "peer": r.messenger.Address(), "dataCentre": r.settings.DataCentre,
	}).Info()

	return nil
}

// Stop drains and stops the router. It reports not ready until the load balancer has
// noticed, then refuses new calls while calls in progress complete, hands its placements
// over to other routers and shuts down. It fails if the context ends first, or if connections are
// not closed within settleTimeout.
func (r *Router) Stop(c context.Context) error {
	r.drainer.StartShutdown(time.Now(), 0)
	logrus.WithFields(logrus.Fields{"event": "stopping", "name": r.settings.Name, "inFlight": r.drainer.Running()}).Info()

	t := time.NewTicker(drainPollInterval)
	defer t.Stop()

	// Peers are notified that this router is no longer a home. Until they have applied the
	// notification, it continues to answer their requests. The next homes receive the
	// placements now and, after the drain, the placements added since.
	r.joiner.Leave(c)
	r.handOver(c)

	for r.drainer.Advance(time.Now()) != drainer.Done {
		select {
		case <-t.C:
		case <-c.Done():
			return c.Err()
		}
	}

	s, stop := context.WithTimeout(c, settleTimeout)
	defer stop()

	r.pipeline.Wait(s)
	r.handOver(s)

	err := r.server.Shutdown(s)

	r.stop()
	r.group.Wait()
	logrus.WithFields(logrus.Fields{"event": "stopped", "name": r.settings.Name}).Info()

	return err
}

// Address returns the address on which callers are served.
func (r *Router) Address() net.Addr {
	return r.listener.Addr()
}

// Counter returns the router's metrics.
func (r *Router) Counter() *counter.Counter {
	return r.counter
}

// background runs a function in a goroutine that Stop waits for.
func (r *Router) background(f func()) {
	r.group.Add(1)

	go func() {
		defer r.group.Done()
		f()
	}()
}

// serve serves callers, over TLS if a certificate is set, until the server is shut down.
func (r *Router) serve() {
	var err error

	if s := r.settings; s.CallerCert != "" {
		err = r.server.ServeTLS(r.listener, s.CallerCert, s.CallerKey)
	} else {
		err = r.server.Serve(r.listener)
	}

	if err != http.ErrServerClosed {
		logrus.WithFields(logrus.Fields{"event": "serveFailed", "error": err}).Error()
	}
}

// debug serves metrics and profiles on the debug address until the context ends.
func (r *Router) debug(c context.Context) {
	m := http.NewServeMux()
	m.Handle("/debug/vars", counter.Handler())
	m.HandleFunc("/debug/pprof/", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)

	s := &http.Server{Handler: m, ReadHeaderTimeout: acceptor.DefaultHeadTimeout}
	r.acceptors.debug.Serve(s)

	context.AfterFunc(c, func() { _ = s.Close() })

	l, err := (&net.ListenConfig{}).Listen(c, "tcp", r.settings.Debug.String())
	if err == nil {
		err = s.Serve(r.acceptors.debug.Listen(l))
	}

	if !errors.Is(err, http.ErrServerClosed) {
		logrus.WithFields(logrus.Fields{"event": "debugFailed", "error": err}).Error()
	}
}

// home returns the ID of the router that is the home of a cell, or zero if none is known.
func (r *Router) home(x *matcher.Cell) uint64 {
	h, _ := r.joiner.Home(uint64(x.ID), x.DataCentres)

	return h.ID
}

// isHome reports whether this router is the home of a cell.
func (r *Router) isHome(x *matcher.Cell) bool {
	return r.home(x) == r.joiner.Self().ID
}

// handOver sends the placements of each cell to the cell's next home. Without this, the chats of
// the cell would lose their prompt caches at every planned stop.
func (r *Router) handOver(c context.Context) {
	n := 0

	r.supervisor.EachCell(func(id uint32, l []wire.Placement) {
		x := r.follower.Config().Matcher.Cell(id)
		if x == nil {
			return
		}

		h, ok := r.joiner.Home(uint64(id), x.DataCentres)
		if !ok || h.ID == r.joiner.Self().ID {
			return
		}

		for len(l) > 0 {
			k := min(len(l), maxHandOverPlacements)
			if err := r.sendHandOver(c, &wire.HandOver{Cell: id, Placements: l[:k]}, h.Address); err != nil {
				logrus.WithFields(logrus.Fields{"event": "handOverFailed", "peer": h.Address, "error": err}).Warn()

				return
			}

			n += k
			l = l[k:]
		}
	})

	logrus.WithFields(logrus.Fields{"event": "handedOver", "places": n}).Info()
}

// sendHandOver sends placements to a peer within sendTimeout.
func (r *Router) sendHandOver(c context.Context, m msgp.Marshaler, a netip.AddrPort) error {
	x, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	return r.messenger.Send(x, a, wire.KindHandOver, m)
}

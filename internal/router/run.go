package router

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/registrar"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	advanceEvery  = 50 * time.Millisecond
	settleTimeout = 15 * time.Second
	sendTimeout   = 2 * time.Second
	// handOverChunk is how many places go in one message.
	handOverChunk = 4096
)

// register makes the parts answer peers.
func (r *Router) register(g *registrar.Registrar) {
	r.messenger.Handle(wire.KindGossip, r.joiner.Gossip)
	r.messenger.Handle(wire.KindState, r.follower.State)
	r.keeper.Register(r.messenger)
	r.warner.Register(r.messenger)
	g.Register(r.messenger)
}

// follow connects the metrics that are read where they stand.
func (r *Router) follow() {
	n := r.counter
	n.Follow(counter.Revision, func() int64 { return int64(r.follower.Revision()) }) //nolint:gosec // Below 2^63.
	n.Follow(counter.Routers, func() int64 { return int64(len(r.joiner.Live())) })
	n.Follow(counter.InFlight, func() int64 { return int64(r.drainer.Running()) })
	n.Follow(counter.Places, func() int64 { return int64(r.keeper.Places()) })
	n.Follow(counter.PlatformBytes, r.recorder.Bytes)
	n.Follow(counter.ControlSent, func() int64 { s, _ := r.messenger.Traffic().Bytes(); return s })
	n.Follow(counter.ControlReceived, func() int64 { _, s := r.messenger.Traffic().Bytes(); return s })
}

// Start serves callers and peers in the background.
func (r *Router) Start(context.Context) error {
	c, stop := context.WithCancel(context.Background())
	r.stop = stop

	r.messenger.Serve()
	r.background(func() { r.stalls.run(c) })
	r.background(func() { r.joiner.Run(c) })
	r.background(func() { r.follower.Run(c) })
	r.background(func() { r.asker.Run(c) })
	r.background(func() { r.warner.Run(c) })
	r.background(func() { r.keeper.Run(c, r.home) })
	r.background(func() { r.orderer.Run(c, r.follower.Force, r.mine) })
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

// Stop stops as planned. It shows not ready and waits for the balancer to
// notice, then answers new calls that they were not run while those in progress
// run to their end; then it hands over what it knows and ends.
func (r *Router) Stop(c context.Context) error {
	r.drainer.Notice(time.Now())
	logrus.WithFields(logrus.Fields{"event": "stopping", "name": r.settings.Name, "inFlight": r.drainer.Running()}).Info()

	t := time.NewTicker(advanceEvery)
	defer t.Stop()

	// Peers stop taking this router for a home at once; until they have, it
	// still answers them. The next homes get the places now, and at the end
	// those that came since.
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

func (r *Router) background(f func()) {
	r.group.Add(1)

	go func() {
		defer r.group.Done()
		f()
	}()
}

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

// debug serves the metrics and profiles until the context ends.
func (r *Router) debug(c context.Context) {
	m := http.NewServeMux()
	m.Handle("/debug/vars", counter.Handler())
	m.HandleFunc("/debug/pprof/", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)

	s := &http.Server{Addr: r.settings.Debug.String(), Handler: m, ReadHeaderTimeout: headerTimeout}

	context.AfterFunc(c, func() { _ = s.Close() })

	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		logrus.WithFields(logrus.Fields{"event": "debugFailed", "error": err}).Error()
	}
}

// home returns the router that is a cell's home, or zero when none is known.
func (r *Router) home(x *matcher.Cell) uint64 {
	h, _ := r.joiner.Home(uint64(x.ID), x.DataCentres)

	return h.ID
}

// mine says whether this router is a cell's home.
func (r *Router) mine(x *matcher.Cell) bool {
	return r.home(x) == r.joiner.Self().ID
}

// handOver passes the places of each cell to its next home. Without it, each
// planned stop would cost the cell's chats their prompt caches.
func (r *Router) handOver(c context.Context) {
	n := 0

	r.keeper.Each(func(id uint32, l []wire.Place) {
		x := r.follower.Force().Matcher.Cell(id)
		if x == nil {
			return
		}

		h, ok := r.joiner.Home(uint64(id), x.DataCentres)
		if !ok || h.ID == r.joiner.Self().ID {
			return
		}

		for len(l) > 0 {
			k := min(len(l), handOverChunk)
			if err := r.tell(c, &wire.HandOver{Cell: id, Places: l[:k]}, h.Address); err != nil {
				logrus.WithFields(logrus.Fields{"event": "handOverFailed", "peer": h.Address, "error": err}).Warn()

				return
			}

			n += k
			l = l[k:]
		}
	})

	logrus.WithFields(logrus.Fields{"event": "handedOver", "places": n}).Info()
}

func (r *Router) tell(c context.Context, m msgp.Marshaler, a netip.AddrPort) error {
	x, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	return r.messenger.Send(x, a, wire.KindHandOver, m)
}

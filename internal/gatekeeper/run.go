package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/detector"
)

const (
	// settleEvery is how late the end of a grace may be noticed.
	settleEvery = 100 * time.Millisecond
	// lookEvery is how late a cut, or its end, may be noticed. The balancer asks once a
	// second and believes two answers.
	lookEvery = 300 * time.Millisecond
	// sweepEvery is how late an idle connection may be closed.
	sweepEvery = time.Second
)

// Start serves callers and follows the streams in the background.
func (g *Gatekeeper) Start(c context.Context) error {
	if err := g.serveAll(c); err != nil {
		return err
	}

	x, end := context.WithCancel(context.Background())
	g.end = end

	g.background(func() { every(x, settleEvery, g.facts.settle) })
	g.background(func() { every(x, settleEvery, g.evacuations.look) })
	g.background(func() { every(x, lookEvery, func() { g.forwarder.CheckConnectivity(x) }) })
	g.background(func() { every(x, detector.TickEvery, g.facts.tick) })
	g.background(func() { every(x, sweepEvery, func() { g.idler.Sweep() }) })
	g.messenger.Serve()
	g.background(func() { g.joiner.Run(x) })
	g.background(func() { g.informer.Run(x) })
	g.background(func() { g.warner.Run(x) })

	for _, w := range g.watchers {
		g.background(func() { w.Run(x) })
	}

	logrus.WithFields(logrus.Fields{
		"event": "started", "name": g.settings.Name, "dataCentre": g.settings.DataCentre, "callers": g.settings.Callers,
	}).Info()

	return nil
}

// serveAll serves callers, the balancer and readers of counts. It listens on all addresses
// before it serves on any: one that is taken must not end a process that has calls.
func (g *Gatekeeper) serveAll(c context.Context) error {
	listeners := make(map[*http.Server]net.Listener)

	for _, s := range []struct {
		server  *http.Server
		address netip.AddrPort
	}{{g.callers, g.settings.Callers}, {g.ready, g.settings.Ready}, {g.metrics, g.settings.Metrics}} {
		if !s.address.IsValid() {
			continue
		}

		l, err := (&net.ListenConfig{}).Listen(c, "tcp", s.address.String())
		if err != nil {
			for _, x := range listeners {
				_ = x.Close() // Nobody was served.
			}

			return errors.Mark(err, ErrStart)
		}

		listeners[s.server] = l
	}

	for s, l := range listeners {
		g.background(func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				logrus.WithFields(logrus.Fields{"event": "serveFailed", "error": err}).Error()
			}
		})
	}

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

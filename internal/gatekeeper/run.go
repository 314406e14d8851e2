package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/detector"
)

const (
	// expireInterval is the largest delay in detecting the end of a grace period.
	expireInterval = 100 * time.Millisecond
	// partitionCheckInterval is the largest delay in detecting the start or end of a network
	// partition. The balancer checks readiness once a second and acts on two equal answers.
	partitionCheckInterval = 300 * time.Millisecond
)

// Start serves callers, and follows the streams in the background. It fails with ErrStart when an
// address can't be listened on.
func (g *Gatekeeper) Start(c context.Context) error {
	if err := g.listenAndServe(c); err != nil {
		return err
	}

	g.acceptDelegated(c)

	x, end := context.WithCancel(context.Background())
	g.cancel = end

	g.runInBackground(func() { runEvery(x, expireInterval, g.state.expireHeldTargets) })
	g.runInBackground(func() { runEvery(x, expireInterval, g.evacuations.reportEmptied) })
	g.runInBackground(func() { runEvery(x, partitionCheckInterval, func() { g.forwarder.CheckConnectivity(x) }) })
	g.runInBackground(func() { runEvery(x, detector.TickInterval, g.state.recordTick) })
	g.runInBackground(func() { runEvery(x, acceptor.SweepInterval, g.acceptors.sweep) })
	g.runInBackground(func() { runEvery(x, fleetInterval, g.fleet.observe) })
	g.messenger.Serve()
	g.runInBackground(func() { g.joiner.Run(x) })
	g.runInBackground(func() { g.advertiser.Run(x) })
	g.runInBackground(func() { g.replicator.Run(x) })
	g.runInBackground(func() { g.binder.Run(x) })

	for _, w := range g.watchers {
		g.runInBackground(func() { w.Run(x) })
	}

	logrus.WithFields(logrus.Fields{
		"event": "started", "name": g.settings.Name, "dataCentre": g.settings.DataCentre, "callers": g.settings.Callers,
		"memory": g.settings.Memory, "memoryBudget": g.memory.Budget(),
	}).Info()

	return nil
}

// listenAndServe serves callers, the readiness endpoint and metrics. It listens on all addresses
// before it serves any, so that an address in use can't end a process that already has calls.
func (g *Gatekeeper) listenAndServe(c context.Context) error {
	listeners := make(map[*http.Server]net.Listener)

	for _, s := range []struct {
		server   *http.Server
		address  netip.AddrPort
		acceptor *acceptor.Acceptor
	}{
		{g.callerServer, g.settings.Callers, g.acceptors.callers},
		{g.readyServer, g.settings.Ready, g.acceptors.ready},
		{g.metricsServer, g.settings.Metrics, g.acceptors.metrics},
	} {
		if !s.address.IsValid() {
			continue
		}

		l, err := listen(c, s.address.String(), s.acceptor)
		if err != nil {
			for _, x := range listeners {
				_ = x.Close() // No call was served yet.
			}

			return errors.Mark(err, ErrStart)
		}

		listeners[s.server] = l
	}

	for s, l := range listeners {
		g.runInBackground(func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				logrus.WithFields(logrus.Fields{"event": "serveFailed", "error": err}).Error()
			}
		})
	}

	return nil
}

func (g *Gatekeeper) runInBackground(f func()) {
	g.background.Add(1)

	go func() {
		defer g.background.Done()
		f()
	}()
}

// runEvery calls a function at an interval until the context ends.
func runEvery(c context.Context, d time.Duration, f func()) {
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

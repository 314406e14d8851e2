package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/shedder"
)

const (
	// expireInterval is the largest delay in detecting the end of a grace period.
	expireInterval = 100 * time.Millisecond
	// partitionCheckInterval is the largest delay in detecting the start or end of a network
	// partition. The balancer checks readiness once a second and acts on two equal answers.
	partitionCheckInterval = 300 * time.Millisecond
	// idleSweepInterval is the largest delay in closing an idle connection.
	idleSweepInterval = time.Second
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
	g.runInBackground(func() { runEvery(x, idleSweepInterval, func() { g.reaper.Sweep() }) })
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
		server  *http.Server
		address netip.AddrPort
	}{{g.callerServer, g.settings.Callers}, {g.readyServer, g.settings.Ready}, {g.metricsServer, g.settings.Metrics}} {
		if !s.address.IsValid() {
			continue
		}

		l, err := (&net.ListenConfig{}).Listen(c, "tcp", s.address.String())
		if err != nil {
			for _, x := range listeners {
				_ = x.Close() // No call was served yet.
			}

			return errors.Mark(err, ErrStart)
		}

		listeners[s.server] = l
	}

	if l, ok := listeners[g.callerServer]; ok {
		listeners[g.callerServer] = connectionListener{memory: g.memory, firstByte: g.reaper.RecordFirstByte, Listener: shedder.New(l, g.maxConnections(), g.overload.closeIdle, g.overload.recordShed, func(n int) {
			g.memory.Charge(accountant.Connection, int64(n)*connectionBytes)
		})}
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

const (
	// connectionBytes is what a caller's connection without a call takes: a goroutine and buffers.
	connectionBytes = 16 << 10
	// connectionsDivisor is the part of the memory for calls that connections may take.
	connectionsDivisor = 2
)

// maxConnections returns how many connections of callers may be open.
func (g *Gatekeeper) maxConnections() int {
	m := max(g.memory.Budget()/connectionsDivisor/connectionBytes, 1)

	return int(min(int64(shedder.Bound(g.settings.descriptors())), m))
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

package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/drainer"
)

// listenDelegated listens for calls of other instances, at the first free one of the internal ports.
func (g *Gatekeeper) listenDelegated(c context.Context) (net.Listener, error) {
	p := g.settings.InternalPorts

	var err error

	for n := uint32(p[0]); n <= uint32(max(p[0], p[1])); n++ {
		var l net.Listener

		a := netip.AddrPortFrom(g.settings.Peers.Addr(), uint16(n)) //nolint:gosec // At most the larger of two ports.
		if l, err = listen(c, a.String(), g.acceptors.delegates); err == nil {
			return l, nil
		}
	}

	return nil, errors.Mark(err, ErrStart)
}

// acceptDelegated serves calls of other instances. An instance whose internal ports are all in use serves none, and
// its own callers nevertheless.
func (g *Gatekeeper) acceptDelegated(c context.Context) {
	l, err := g.listenDelegated(c)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "noInternalPort", "ports": g.settings.InternalPorts, "error": err}).Error()

		return
	}

	a, _ := l.Addr().(*net.TCPAddr)

	g.runInBackground(func() {
		if err := g.delegateServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithFields(logrus.Fields{"event": "serveFailed", "error": err}).Error()
		}
	})
	g.negotiator.Accept(a.AddrPort(), g.forwarder.Unreached)
}

// serveDelegated counts a call of another instance as running while it is handled, so that a stop waits for it. Such calls
// have a bound of their own, so that they leave room for the callers of this instance.
func (g *Gatekeeper) serveDelegated(w http.ResponseWriter, r *http.Request) {
	n := time.Now()

	if p, ok := g.drainer.Enter(n); !ok {
		g.forwarder.RejectDelegated(w, p >= drainer.Refusing)

		return
	}
	defer g.drainer.Exit()

	if _, ok := g.delegated.Enter(n); !ok {
		g.forwarder.RejectDelegated(w, false)

		return
	}
	defer g.delegated.Exit()

	g.forwarder.ServeDelegated(w, r)
}

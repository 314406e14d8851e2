package router

import (
	"time"

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/resolver"
)

// acceptors accept the connections at all addresses of a router.
type acceptors struct {
	callers, debug, peers *acceptor.Acceptor
	reporter              *acceptor.Reporter
}

// newAcceptors returns the acceptors of a router that has opened a number of connections to others.
func newAcceptors(s resolver.Router, m *accountant.Accountant, outgoing func() int) acceptors {
	d := acceptor.ProcessDescriptors(0)
	a := acceptors{reporter: acceptor.NewReporter()}

	x := acceptor.Settings{
		Memory: m, Reporter: a.reporter,
		Limits: func() acceptor.Limits {
			return acceptor.Limits{IdleTimeout: s.IdleTimeout, MaxHead: int64(s.MaxHeader)}
		},
	}
	a.debug = acceptor.New(x.WithMost(d.Metrics).Replacing())
	a.peers = acceptor.New(x.WithMost(d.Peers).ForMessages())

	x.Encrypted = s.CallerCert != ""
	a.callers = acceptor.New(x.WithMost(func() int { return d.Callers(a.debug.Open()+a.peers.Open()+outgoing(), m.Budget()) }))

	return a
}

// sweep ends the connections that exceed their limits until done is closed.
func (a acceptors) sweep(done <-chan struct{}) {
	t := time.NewTicker(acceptor.SweepInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			a.callers.Sweep()
			a.debug.Sweep()
		case <-done:
			return
		}
	}
}

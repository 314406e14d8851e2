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

	with := func(most func() int, replace, messages, encrypted bool) *acceptor.Acceptor {
		return acceptor.New(acceptor.Settings{
			Most: most, Replace: replace, Messages: messages, Encrypted: encrypted, Memory: m,
			Limits: func() acceptor.Limits {
				return acceptor.Limits{IdleTimeout: s.IdleTimeout, MaxHead: int64(s.MaxHeader)}
			},
			Reporter: a.reporter,
		})
	}

	a.debug = with(d.Metrics, true, false, false)
	a.peers = with(d.Peers, true, true, s.PeerCert != "")
	a.callers = with(func() int { return d.Callers(a.debug.Open()+a.peers.Open()+outgoing(), m.Budget()) }, false, false, s.CallerCert != "")

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

package gatekeeper

import (
	"context"
	"net"

	"github.com/auburntray/auburntray/internal/acceptor"
)

// acceptors accept the connections at all addresses of an instance.
type acceptors struct {
	callers, ready, metrics, delegates, peers *acceptor.Acceptor
}

func (g *Gatekeeper) newAcceptors() acceptors {
	d := acceptor.ProcessDescriptors(g.settings.MaxDescriptors)
	s := acceptor.Settings{Limits: g.connectionLimits, Memory: g.memory, Reporter: g.connections}

	var a acceptors

	with := func(most func() int, replace, messages bool) *acceptor.Acceptor {
		s := s
		s.Most, s.Replace, s.Messages = most, replace, messages

		return acceptor.New(s)
	}

	// The balancer's check is served also if strangers hold all other connections there: it replaces one of them.
	a.ready = with(d.Checks, true, false)
	a.metrics = with(d.Metrics, true, false)
	a.peers = with(d.Peers, true, true)
	a.delegates = with(d.Delegates, false, false)
	a.callers = with(func() int {
		return d.Callers(a.ready.Open()+a.metrics.Open()+a.peers.Open()+a.delegates.Open()+g.messenger.Outgoing(), g.memory.Budget())
	}, false, false)

	return a
}

// connectionLimits returns what a connection may take, by the catalog in force.
func (g *Gatekeeper) connectionLimits() acceptor.Limits {
	c := g.state.Catalog()
	if c == nil {
		return acceptor.Limits{}
	}

	return acceptor.Limits{IdleTimeout: c.Limits.IdleTimeout, HeadTimeout: c.Limits.HeaderTimeout, MaxHead: c.Limits.MaxHeader}
}

// sweep ends the connections that exceed their limits.
func (a acceptors) sweep() {
	for _, x := range a.list() {
		x.Sweep()
	}
}

// freeMemory ends connections that hold memory while they wait for their clients.
func (a acceptors) freeMemory() {
	for _, x := range a.list() {
		x.FreeMemory()
	}
}

func (a acceptors) list() []*acceptor.Acceptor {
	return []*acceptor.Acceptor{a.callers, a.ready, a.metrics, a.delegates}
}

// listen listens at an address for an Acceptor.
func listen(c context.Context, address string, a *acceptor.Acceptor) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(c, "tcp", address)
	if err != nil {
		return nil, err
	}

	return a.Listen(l), nil
}

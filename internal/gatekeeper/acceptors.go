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
	s := acceptor.Settings{Limits: g.checkLimits, Memory: g.memory, Reporter: g.connections}

	var a acceptors

	// The balancer's check is served also if strangers hold all other connections there: it replaces one of them.
	a.ready = acceptor.New(s.WithMost(d.Checks).Replacing())
	a.metrics = acceptor.New(s.WithMost(d.Metrics).Replacing())
	a.peers = acceptor.New(s.WithMost(d.Peers).ForMessages())

	s.Limits = g.callLimits
	a.delegates = acceptor.New(s.WithMost(d.Delegates))
	a.callers = acceptor.New(s.WithMost(func() int {
		return d.Callers(a.ready.Open()+a.metrics.Open()+a.peers.Open()+a.delegates.Open()+g.messenger.Outgoing(), g.memory.Budget())
	}))

	return a
}

// checkLimits returns what a connection without calls may take, by the catalog in force.
func (g *Gatekeeper) checkLimits() acceptor.Limits {
	c := g.state.Catalog()
	if c == nil {
		return acceptor.Limits{}
	}

	return acceptor.Limits{IdleTimeout: c.Limits.IdleTimeout, HeadTimeout: c.Limits.HeaderTimeout}
}

// callLimits returns what a connection with calls may take. As long as no catalog limits the headers, only their memory does.
func (g *Gatekeeper) callLimits() acceptor.Limits {
	l := g.checkLimits()

	l.MaxHead = maxHeaderBytes
	if c := g.state.Catalog(); c != nil && c.Limits.MaxHeader > 0 {
		l.MaxHead = c.Limits.MaxHeader
	}

	return l
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

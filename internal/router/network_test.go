package router_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// network makes the fleet's connections and can cut a data centre off from the
// others.
type network struct {
	mu      sync.Mutex
	centres map[netip.AddrPort]string
	cut     string
	crossed []net.Conn
}

func newNetwork() *network {
	return &network{centres: make(map[netip.AddrPort]string)}
}

// place says in which data centre an address is.
func (n *network) place(a netip.AddrPort, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.centres[a] = centre
}

// isolate cuts a data centre off, and ends the connections that cross the cut;
// no name heals it.
func (n *network) isolate(centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.cut = centre

	for _, c := range n.crossed {
		_ = c.Close()
	}

	n.crossed = nil
}

// from returns what connects from a data centre.
func (n *network) from(centre string) *link { return &link{network: n, centre: centre} }

// link is the network as one router sees it.
type link struct {
	network *network
	centre  string
}

// DialContext connects, but not across the cut.
func (l *link) DialContext(c context.Context, network, address string) (net.Conn, error) {
	n := l.network

	n.mu.Lock()
	defer n.mu.Unlock()

	a := netip.MustParseAddrPort(address)
	to, ok := n.centres[a]
	far := ok && to != l.centre

	if far && n.cut != "" && (to == n.cut || l.centre == n.cut) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.EHOSTUNREACH}
	}

	x, err := (&net.Dialer{}).DialContext(c, network, address)
	if err == nil && far {
		n.crossed = append(n.crossed, x)
	}

	return x, err
}

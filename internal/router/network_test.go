package router_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// network opens the connections of the fleet and can partition a data centre from the
// others. It is safe for concurrent use.
type network struct {
	mu      sync.Mutex
	centres map[netip.AddrPort]string
	// isolated is the partitioned data centre, or empty.
	isolated    string
	connections []connection
}

// connection is an open connection with its two ends.
type connection struct {
	conn net.Conn
	from string
	to   netip.AddrPort
}

func newNetwork() *network {
	return &network{centres: make(map[netip.AddrPort]string)}
}

// setDataCentre sets the data centre of an address.
func (n *network) setDataCentre(a netip.AddrPort, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.centres[a] = centre
}

// isolate partitions a data centre from the others and closes the connections across the
// partition. An empty name ends the partition.
func (n *network) isolate(centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.isolated = centre
	n.connections = slices.DeleteFunc(n.connections, func(x connection) bool {
		b := n.blocked(x.from, x.to)
		if b {
			_ = x.conn.Close()
		}

		return b
	})
}

// blocked reports whether an address is on the other side of the partition. It uses the
// current data centre of the address, not the one at the time of the dial: on a busy machine
// a router is dialled before its data centre is set. Such a connection would stay
// open during the partition, and both sides would continue to share one home.
func (n *network) blocked(from string, a netip.AddrPort) bool {
	to, ok := n.centres[a]

	return ok && n.isolated != "" && to != from && (to == n.isolated || from == n.isolated)
}

// from returns a dialer for a router in a data centre.
func (n *network) from(centre string) *link { return &link{network: n, centre: centre} }

// link is the dialer of one router. It implements router.Dialer.
type link struct {
	network *network
	centre  string
}

// DialContext opens a connection. It fails if the address is across the partition.
func (l *link) DialContext(c context.Context, network, address string) (net.Conn, error) {
	n := l.network

	n.mu.Lock()
	defer n.mu.Unlock()

	a := netip.MustParseAddrPort(address)
	if n.blocked(l.centre, a) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.EHOSTUNREACH}
	}

	x, err := (&net.Dialer{}).DialContext(c, network, address)
	if err == nil {
		n.connections = append(n.connections, connection{conn: x, from: l.centre, to: a})
	}

	return x, err
}

// Guards against connections that stay open across a partition because the data centre of the
// dialled router was set only after the dial. Both sides would then share one home, which would
// mark targets that only one side can reach as unhealthy for both.
func TestPartitionClosesConnectionsAcrossIt(t *testing.T) {
	for name, tc := range map[string]struct {
		from, to string
		// late means that the data centre is set after the dial.
		late   bool
		closed bool
	}{
		"out of the partition":                        {from: "dc-2", to: "dc-1", closed: true},
		"into the partition":                          {from: "dc-1", to: "dc-2", closed: true},
		"into the partition, data centre set late":    {from: "dc-1", to: "dc-2", late: true, closed: true},
		"out of the partition, data centre set late":  {from: "dc-2", to: "dc-1", late: true, closed: true},
		"inside the partition":                        {from: "dc-2", to: "dc-2"},
		"inside the partition, data centre set late":  {from: "dc-2", to: "dc-2", late: true},
		"outside the partition":                       {from: "dc-1", to: "dc-1"},
		"outside the partition, another data centre":  {from: "dc-1", to: "dc-3"},
		"outside the partition, data centre set late": {from: "dc-1", to: "dc-3", late: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			i.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })

			n := newNetwork()
			a := netip.MustParseAddrPort(l.Addr().String())

			if !tc.late {
				n.setDataCentre(a, tc.to)
			}

			c, err := n.from(tc.from).DialContext(t.Context(), "tcp", a.String())
			i.NoErr(err)
			t.Cleanup(func() { _ = c.Close() })

			n.setDataCentre(a, tc.to)
			n.isolate("dc-2")

			_, err = c.Write([]byte("x"))
			i.Equal(err != nil, tc.closed)

			d, err := n.from(tc.from).DialContext(t.Context(), "tcp", a.String())
			i.Equal(err != nil, tc.closed)

			if err == nil {
				_ = d.Close()
			}
		})
	}
}

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

// network makes the fleet's connections and can cut a data centre off from the
// others.
type network struct {
	mu      sync.Mutex
	centres map[netip.AddrPort]string
	cut     string
	made    []made
}

// made is a connection that was made, with its two ends.
type made struct {
	conn net.Conn
	from string
	to   netip.AddrPort
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
	n.made = slices.DeleteFunc(n.made, func(x made) bool {
		b := n.beyond(x.from, x.to)
		if b {
			_ = x.conn.Close()
		}

		return b
	})
}

// beyond says that an address is on the other side of the cut. It goes by the places
// as they are known now and not when a connection was made: a router is dialled as
// soon as it listens, and on a busy machine that is before its place is noted. Such a
// connection outlived the cut, and the two sides went on sharing one home.
func (n *network) beyond(from string, a netip.AddrPort) bool {
	to, ok := n.centres[a]

	return ok && n.cut != "" && to != from && (to == n.cut || from == n.cut)
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
	if n.beyond(l.centre, a) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.EHOSTUNREACH}
	}

	x, err := (&net.Dialer{}).DialContext(c, network, address)
	if err == nil {
		n.made = append(n.made, made{conn: x, from: l.centre, to: a})
	}

	return x, err
}

// A router dials another that has just begun to listen, and only then is the other's
// data centre noted. A cut between the two must end that connection as well: a router
// that keeps it asks the home beyond the cut, and what it then fails to reach is held
// against the targets there, by the one home that both sides share.
func TestACutEndsWhatCrossesIt(t *testing.T) {
	for name, tc := range map[string]struct {
		from, to string
		// late says that the place is noted after the dial.
		late  bool
		ended bool
	}{
		"out of the cut":                    {from: "dc-2", to: "dc-1", ended: true},
		"into the cut":                      {from: "dc-1", to: "dc-2", ended: true},
		"into the cut, place noted late":    {from: "dc-1", to: "dc-2", late: true, ended: true},
		"out of the cut, place noted late":  {from: "dc-2", to: "dc-1", late: true, ended: true},
		"inside the cut":                    {from: "dc-2", to: "dc-2"},
		"inside the cut, place noted late":  {from: "dc-2", to: "dc-2", late: true},
		"outside the cut":                   {from: "dc-1", to: "dc-1"},
		"outside the cut, another centre":   {from: "dc-1", to: "dc-3"},
		"outside the cut, place noted late": {from: "dc-1", to: "dc-3", late: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			i.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })

			n := newNetwork()
			a := netip.MustParseAddrPort(l.Addr().String())

			if !tc.late {
				n.place(a, tc.to)
			}

			c, err := n.from(tc.from).DialContext(t.Context(), "tcp", a.String())
			i.NoErr(err)
			t.Cleanup(func() { _ = c.Close() })

			n.place(a, tc.to)
			n.isolate("dc-2")

			_, err = c.Write([]byte("x"))
			i.Equal(err != nil, tc.ended)

			d, err := n.from(tc.from).DialContext(t.Context(), "tcp", a.String())
			i.Equal(err != nil, tc.ended)

			if err == nil {
				_ = d.Close()
			}
		})
	}
}

// Package prober finds out whether the process of a target has ended.
package prober

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"
)

// Dial makes a connection, within a time of its own.
type Dial func(c context.Context, network, address string) (net.Conn, error)

// Prober dials targets. It is safe for concurrent use.
type Prober struct {
	dial  Dial
	asked singleflight.Group
}

// New returns a Prober.
func New(d Dial) *Prober {
	return &Prober{dial: d}
}

// Ended says that a target's process is gone: its address refuses connections, and one of some
// others that should be as near takes them.
//
// A connection that breaks tells less. It may have been reset alone, by the target or on the
// way, while the target goes on; taken for its end, calls of which answers get lost would be
// held back. And some cuts reset and refuse: seen from a data centre that is cut off, all
// targets elsewhere would have ended under the calls that were in flight. Without others the
// target's word must do. Calls that broke together ask once.
func (p *Prober) Ended(c context.Context, a netip.AddrPort, others []netip.AddrPort) bool {
	return p.ask(c, a) == refused && (len(others) == 0 || p.Reached(c, others))
}

// Reached says that one of some addresses takes connections.
func (p *Prober) Reached(c context.Context, l []netip.AddrPort) bool {
	return slices.ContainsFunc(l, func(a netip.AddrPort) bool { return p.ask(c, a) == taken })
}

// Refused says that an attempt to connect failed because nobody listens at the address.
func Refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// answer is what became of an attempt to connect.
type answer int

const (
	// none is neither of the others: the time was up, or there is no way.
	none answer = iota
	taken
	refused
)

// ask connects to an address. Whoever asks meanwhile gets the same answer.
func (p *Prober) ask(c context.Context, a netip.AddrPort) answer {
	v, _, _ := p.asked.Do(a.String(), func() (any, error) {
		n, err := p.dial(context.WithoutCancel(c), "tcp", a.String())

		switch {
		case err == nil:
			_ = n.Close() // Nothing was sent.

			return taken, nil
		case Refused(err):
			return refused, nil
		default:
			return none, nil
		}
	})
	o, _ := v.(answer)

	return o
}

// Package prober finds out whether the process of a target has ended.
package prober

import (
	"context"
	"net"
	"net/netip"
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

// Ended says that a target's process is gone: its address refuses connections.
//
// A connection that breaks tells less. It may have been reset alone, by the target or on the
// way, while the target goes on; taken for its end, calls of which answers get lost would be
// held back. Calls that broke together ask once.
func (p *Prober) Ended(c context.Context, a netip.AddrPort) bool {
	v, _, _ := p.asked.Do(a.String(), func() (any, error) {
		n, err := p.dial(context.WithoutCancel(c), "tcp", a.String())
		if err == nil {
			_ = n.Close() // Nothing was sent.
		}

		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	ended, _ := v.(bool)

	return ended
}

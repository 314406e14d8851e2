// Package prober detects whether the process of a target has crashed.
package prober

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"
)

// Dial opens a connection, within a time-out of its own.
type Dial func(c context.Context, network, address string) (net.Conn, error)

// Prober dials the addresses of targets. It is safe for concurrent use.
type Prober struct {
	dial     Dial
	inFlight singleflight.Group
}

// New returns a Prober that connects with a Dial.
func New(d Dial) *Prober {
	return &Prober{dial: d}
}

// Crashed reports whether a target's process has crashed: its address refuses connections, and at least one
// of the addresses in others accepts them. These are addresses of targets that should be reachable whenever
// the given target's data centre is.
//
// A broken connection alone is not enough. It may have been reset by the target or on the way while the
// target goes on running; if that counted as a crash, calls whose answers get lost would be quarantined. And
// some network partitions reset and refuse connections: seen from a data centre that is cut off, all targets
// elsewhere would have crashed under the calls in flight. If others is empty, the refusal of the target alone
// decides. Concurrent requests for one address share one dial.
func (p *Prober) Crashed(c context.Context, a netip.AddrPort, others []netip.AddrPort) bool {
	if p.connect(c, a) != refused {
		return false
	}

	if len(others) == 0 || p.Reachable(c, others) {
		return true
	}

	logrus.WithFields(logrus.Fields{"event": "crashUnconfirmed", "address": a, "others": others}).Info()

	return false
}

// settleTime is how long a process that has been killed may still accept connections after it has closed others: the system closes
// all of them, and the listener, one after the other.
const settleTime = 20 * time.Millisecond

// MayHaveEnded reports whether the process that listens at an address has ended, or may have. It has not if it keeps a connection open
// for 20 ms, or accepts another one after the first was closed, was reset or could not be made. A network partition looks like the end of
// a process.
//
// A process that ends resets the connections that it has not accepted yet, and then a dial fails with a reset and not with a refusal:
// only the next one is refused.
//
// It shares no dials with other calls, which may have begun before the process ended.
func (p *Prober) MayHaveEnded(c context.Context, a netip.AddrPort) bool {
	err := p.hold(c, a)
	if err == nil || Refused(err) {
		return err != nil
	}

	n, again := p.dial(c, "tcp", a.String())
	if again == nil {
		_ = n.Close() // Nothing was sent.
	}

	logrus.WithFields(logrus.Fields{"event": "probeFailed", "address": a, "error": err, "again": again}).Info()

	return again != nil
}

// hold opens a connection and fails unless it stays open for 20 ms.
func (p *Prober) hold(c context.Context, a netip.AddrPort) error {
	n, err := p.dial(c, "tcp", a.String())
	if err != nil {
		return err
	}
	defer n.Close() //nolint:errcheck // Nothing was sent.

	// A process that runs waits for a request.
	if err = n.SetReadDeadline(time.Now().Add(settleTime)); err == nil {
		_, err = n.Read(make([]byte, 1))
	}

	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}

	return err
}

// maxUnanswered is the number of addresses that give no answer after which Reachable gives up: each takes a whole dial time-out,
// for which a caller waits.
const maxUnanswered = 2

// Reachable reports whether at least one of the addresses accepts connections.
func (p *Prober) Reachable(c context.Context, l []netip.AddrPort) bool {
	unanswered := 0

	for _, a := range l {
		switch p.connect(c, a) {
		case accepted:
			return true
		case noAnswer:
			if unanswered++; unanswered == maxUnanswered {
				return false
			}
		case refused:
		}
	}

	return false
}

// Refused reports whether an attempt to connect failed because no process listens at the address.
func Refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// result is the outcome of an attempt to connect.
type result int

const (
	// noAnswer covers all other results: a time-out, or no route.
	noAnswer result = iota
	accepted
	refused
)

// connect connects to an address. Concurrent calls for one address share the result, so the dial is not
// cancelled with the call that made it.
func (p *Prober) connect(c context.Context, a netip.AddrPort) result {
	v, _, _ := p.inFlight.Do(a.String(), func() (any, error) {
		n, err := p.dial(context.WithoutCancel(c), "tcp", a.String())

		switch {
		case err == nil:
			_ = n.Close() // Nothing was sent.

			return accepted, nil
		case Refused(err):
			return refused, nil
		default:
			return noAnswer, nil
		}
	})
	o, _ := v.(result)

	return o
}

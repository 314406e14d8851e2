package verifier

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
)

// Dial makes a connection.
type Dial func(c context.Context, network, address string) (net.Conn, error)

// Watch returns a Dial that makes the same connections, for the transport of a Verifier. It then knows whether anything was written.
func Watch(d Dial) Dial {
	return func(c context.Context, network, address string) (net.Conn, error) {
		n, err := d(c, network, address)
		if err != nil {
			return nil, err
		}

		return &conn{Conn: n}, nil
	}
}

// conn is a connection that counts the bytes written and remembers a write that failed.
type conn struct {
	net.Conn

	written atomic.Int64
	// mu is held during a write, and guards failed.
	mu     sync.Mutex
	failed bool
}

// Write implements net.Conn.
func (n *conn) Write(b []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.written.Add(int64(len(b)))

	k, err := n.Conn.Write(b)
	n.failed = n.failed || err != nil

	return k, err
}

// writeFailed reports whether a write has failed. It waits for the end of one in progress.
func (n *conn) writeFailed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.failed
}

// watched returns the connection that Watch has made, below TLS or not, or nil if it has not made it.
func watched(n net.Conn) *conn {
	if t, ok := n.(*tls.Conn); ok {
		n = t.NetConn()
	}

	x, _ := n.(*conn)

	return x
}

package verifier

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Dial makes a connection.
type Dial func(c context.Context, network, address string) (net.Conn, error)

// Watch returns a Dial that makes the same connections, for the transport of a Verifier. It then knows whether anything was written, and
// a request that is given up does not arrive later.
func Watch(d Dial) Dial {
	return func(c context.Context, network, address string) (net.Conn, error) {
		n, err := d(c, network, address)
		if err != nil {
			return nil, err
		}

		return &conn{Conn: n}, nil
	}
}

// WatchTLS returns a Dial that makes connections with d and encrypts them, for the transport of a Verifier. The bytes inside can be seen there
// only. Without a server name in the configuration, that of the address is expected. It fails as d does, and if the handshake fails.
func WatchTLS(d Dial, config *tls.Config) Dial {
	return func(c context.Context, network, address string) (net.Conn, error) {
		n, err := d(c, network, address)
		if err != nil {
			return nil, err
		}

		x := config.Clone()
		if x == nil {
			x = &tls.Config{MinVersion: tls.VersionTLS12}
		}

		if x.ServerName == "" {
			if x.ServerName, _, err = net.SplitHostPort(address); err != nil {
				return nil, errors.Join(err, n.Close())
			}
		}

		t := tls.Client(n, x)
		if err := t.HandshakeContext(c); err != nil {
			return nil, errors.Join(err, n.Close())
		}

		return &conn{Conn: t}, nil
	}
}

// conn is a connection that counts the bytes written, remembers a write that failed, scans the heads of answers, and is reset if its request
// was given up.
type conn struct {
	net.Conn

	written atomic.Int64
	// current is the request in progress; nil if the last one was answered.
	current atomic.Pointer[sending]
	heads   headScanner
	// mu is held during a write, and guards failed.
	mu     sync.Mutex
	failed bool
}

// Read implements net.Conn.
func (n *conn) Read(b []byte) (int, error) {
	k, err := n.Conn.Read(b)
	n.heads.scan(b[:k])

	return k, err
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

// Close implements net.Conn. After a request that was given up it resets the connection: what a network partition has held up of the request
// would be sent again by the system, and reach the server long after the request was answered elsewhere.
func (n *conn) Close() error {
	if s := n.current.Load(); s != nil && s.givenUp() {
		n.discard()
	}

	return n.Conn.Close()
}

// discard has Close reset the connection, if it can.
func (n *conn) discard() {
	x := n.Conn
	if t, ok := x.(*tls.Conn); ok {
		x = t.NetConn()
	}

	if l, ok := x.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // It fails if the connection is closed already.
	}
}

// watched returns the connection that Watch has made, below TLS or not, or nil if it has not made it.
func watched(n net.Conn) *conn {
	if t, ok := n.(*tls.Conn); ok {
		n = t.NetConn()
	}

	x, _ := n.(*conn)

	return x
}

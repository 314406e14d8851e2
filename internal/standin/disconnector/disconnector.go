// Package disconnector simulates the loss of all links of an instance to targets.
package disconnector

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Loss is how the links are lost.
type Loss string

const (
	// None means that the links work. It is the zero value.
	None Loss = ""
	// Silent means that connections fall silent for good, and new ones are not established.
	Silent Loss = "silent"
	// Reset means that connections break and new ones are refused.
	Reset Loss = "reset"
	// NewRefused means that connections live on and new ones are refused.
	NewRefused Loss = "newRefused"
)

// followInterval is the largest delay until a change of the file takes effect.
const followInterval = 10 * time.Millisecond

// Links are the links of one instance. It makes connections that are lost with them. It is safe for concurrent use.
type Links struct {
	mu    sync.Mutex
	loss  Loss
	conns map[*conn]bool
}

// New returns Links that work.
func New() *Links {
	return &Links{conns: make(map[*conn]bool)}
}

// Lose changes how the links are lost.
func (l *Links) Lose(x Loss) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.loss == x {
		return
	}

	l.loss = x

	for n := range l.conns {
		switch x {
		case Silent:
			n.silent.Store(true)
		case Reset:
			_ = n.Conn.Close() // The reader and the writer fail.
		case None, NewRefused:
		}
	}
}

// Follow sets the loss to the content of a file, and again whenever that changes, until the context ends. A file that can't
// be read means None.
func (l *Links) Follow(c context.Context, path string) {
	t := time.NewTicker(followInterval)
	defer t.Stop()

	for {
		b, err := os.ReadFile(path) //nolint:gosec // The test names the file.
		if err != nil {
			b = nil
		}

		l.Lose(Loss(strings.TrimSpace(string(b))))

		select {
		case <-t.C:
		case <-c.Done():
			return
		}
	}
}

// DialContext makes a connection, which fails or hangs while the links are lost.
func (l *Links) DialContext(c context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	x := l.loss
	l.mu.Unlock()

	switch x {
	case Silent:
		<-c.Done()

		return nil, c.Err()
	case Reset, NewRefused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case None:
	}

	n, err := (&net.Dialer{}).DialContext(c, network, address)
	if err != nil {
		return nil, err
	}

	o := &conn{Conn: n, links: l, closed: make(chan struct{})}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.conns[o] = true

	return o, nil
}

// conn is a connection over a link. Once silent, it delivers and sends nothing until it is closed.
type conn struct {
	net.Conn

	links  *Links
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

// Read implements net.Conn.
func (n *conn) Read(b []byte) (int, error) {
	k, err := n.Conn.Read(b)
	if n.silent.Load() {
		<-n.closed

		return 0, net.ErrClosed
	}

	return k, err
}

// Write implements net.Conn.
func (n *conn) Write(b []byte) (int, error) {
	if n.silent.Load() {
		return len(b), nil
	}

	return n.Conn.Write(b)
}

// Close implements net.Conn.
func (n *conn) Close() error {
	n.once.Do(func() { close(n.closed) })

	n.links.mu.Lock()
	delete(n.links.conns, n)
	n.links.mu.Unlock()

	return n.Conn.Close()
}

// Package shedder closes new connections of callers while a server has as many as it can serve (load shedding).
//
// Load pattern: for some seconds a load balancer hands most new connections to one instance. If it accepted all of
// them, it would run out of descriptors: it could connect to no target, and would refuse calls that it has read. A
// connection that is closed unread costs the caller only the time until it tries another instance.
package shedder

import (
	"net"
	"sync"
)

// Bound returns how many connections of callers a process may have open, given the number of descriptors that it may have
// open in all. Each call may need a second connection, to its target; some descriptors are reserved for connections to other
// instances, files and the platform.
func Bound(descriptors int) int {
	// maxReserved suffices for the connections to hundreds of instances, and reservedDivisor for a small number of
	// descriptors.
	const maxReserved, reservedDivisor = 700, 3

	return max((descriptors-min(maxReserved, descriptors/reservedDivisor))/2, 1)
}

// Listener is a net.Listener that has a bounded number of connections open.
type Listener struct {
	net.Listener

	limit func() int
	free  func() bool
	shed  func()
	// count is called with 1 for each connection that is accepted, and with -1 when it is closed.
	count func(n int)

	mu   sync.Mutex
	open int
}

// New returns a Listener that accepts at most limit open connections from l, which is asked anew for each. It calls free when it has that
// many, to have others closed; free reports whether there is room at once. It calls shed for each connection that it closes, and count
// with each change of the number of open connections.
func New(l net.Listener, limit func() int, free func() bool, shed func(), count func(n int)) *Listener {
	return &Listener{Listener: l, limit: limit, free: free, shed: shed, count: count}
}

// Accept returns the next connection within the bound, and closes those beyond it unread. It fails as the Listener that it uses does.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		if l.enter() || l.free() && l.enter() {
			return &conn{Conn: c, leave: sync.OnceFunc(l.leave)}, nil
		}

		_ = c.Close() // Nothing was read or written.

		l.shed()
	}
}

// enter counts a connection and reports whether it is within the bound.
func (l *Listener) enter() bool {
	n := l.limit()

	l.mu.Lock()
	defer l.mu.Unlock()

	if l.open >= n {
		return false
	}

	l.open++
	l.count(1)

	return true
}

// leave counts the end of a connection.
func (l *Listener) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.open--
	l.count(-1)
}

// conn is a connection that is counted as open until it is closed.
type conn struct {
	net.Conn

	leave func()
}

// Close closes the connection. It fails as net.Conn does.
func (c *conn) Close() error {
	c.leave()

	return c.Conn.Close()
}

// CloseWrite closes the direction to the caller, if the connection has two.
func (c *conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}

	return nil
}

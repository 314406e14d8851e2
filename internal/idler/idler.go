// Package idler closes callers' connections that have been idle for too long, or on
// which a call's headers take too long.
package idler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bounds how long a connection may be without a call. A zero field sets no
// bound.
type Limits struct {
	// Idle is how long it may be between two calls.
	Idle time.Duration
	// Header is how long the headers of a call may take after their first byte.
	Header time.Duration
}

// phase is what a connection without a call waits for.
type phase struct {
	since time.Time
	// header says that the first byte of a call has come.
	header bool
	// ended says that its time is over.
	ended bool
}

// Idler follows the states of a server's connections. The limits may change while
// they are open, which the server's own timeouts can't. It is safe for concurrent
// use.
type Idler struct {
	limits func() Limits

	mu      sync.Mutex
	waiting map[net.Conn]phase
}

// New returns an Idler. The function returns the limits in force.
func New(limits func() Limits) *Idler {
	return &Idler{limits: limits, waiting: make(map[net.Conn]phase)}
}

// Track is an http.Server's ConnState. Connections without a first call count as
// idle too: they hold a descriptor as well.
func (i *Idler) Track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()

	if s == http.StateActive && i.waiting[c].ended {
		// The call was read before its connection's time was over: it is served.
		_ = c.SetReadDeadline(time.Time{}) // Fails only where the connection is closed.
	}

	switch s {
	case http.StateNew, http.StateIdle:
		i.waiting[c] = phase{since: time.Now()}
	case http.StateActive:
		i.waiting[c] = phase{since: time.Now(), header: true}
	case http.StateHijacked, http.StateClosed:
		delete(i.waiting, c)
	}
}

type connKey struct{}

// Context is an http.Server's ConnContext. It lets Begun find the connection.
func (i *Idler) Context(c context.Context, n net.Conn) context.Context {
	return context.WithValue(c, connKey{}, n)
}

// Begun notes that the headers of a call are in, with the call's context.
func (i *Idler) Begun(c context.Context) {
	n, ok := c.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}

	i.mu.Lock()
	defer i.mu.Unlock()

	delete(i.waiting, n)
}

// Sweep ends the connections whose time is over, and returns how many.
//
// A call may have been read by the goroutine that serves its connection, which has not come to
// say so: it waits for the processor, or the process stood still. Were the connection closed,
// the call would run and nobody would have its answer, or run a second time where its caller
// tries again. So a sweep only lets reads fail from now on. A goroutine that waits for bytes
// then closes the connection, with a call that may lie there unread, which the caller may safely
// send again; one that has read a call goes on.
func (i *Idler) Sweep() int {
	l := i.limits()

	i.mu.Lock()
	defer i.mu.Unlock()

	n := 0

	for c, p := range i.waiting {
		d := l.Idle
		if p.header {
			d = l.Header
		}

		if d <= 0 || time.Since(p.since) < d {
			continue
		}

		if !p.ended {
			p.ended = true
			i.waiting[c] = p
			n++
		}

		// Again with each sweep: the server clears the deadline as it begins to wait.
		_ = c.SetReadDeadline(time.Unix(0, 0)) // Fails only where the connection is closed.
	}

	return n
}

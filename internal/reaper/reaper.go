// Package reaper closes callers' connections that have been idle for too long, or on
// which the headers of a call take too long.
package reaper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bounds how long a connection may remain without a running call. A zero field
// sets no bound.
type Limits struct {
	// IdleTimeout is the longest time between two calls.
	IdleTimeout time.Duration
	// HeaderTimeout is the longest time that the headers of a call may take after their
	// first byte.
	HeaderTimeout time.Duration
}

// phase describes what a connection without a running call waits for.
type phase struct {
	since time.Time
	// header reports that the first byte of a call has arrived.
	header bool
	// expired reports that a sweep found the connection over its limit.
	expired bool
}

// Reaper tracks the states of a server's connections and closes those that exceed their
// limits. Unlike the timeouts of http.Server, the limits may change while connections
// are open. It is safe for concurrent use.
type Reaper struct {
	limits func() Limits

	mu      sync.Mutex
	waiting map[net.Conn]phase
}

// New returns a Reaper that calls limits at each sweep for the limits in force.
func New(limits func() Limits) *Reaper {
	return &Reaper{limits: limits, waiting: make(map[net.Conn]phase)}
}

// Track records a change of a connection's state; it is the ConnState of an http.Server.
// A connection that has had no call yet counts as idle too, since it uses a file
// descriptor as well.
func (i *Reaper) Track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()

	if s == http.StateActive && i.waiting[c].expired {
		// The call was read before the sweep set the deadline, so it is served.
		_ = c.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
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

// RecordFirstByte records that the first byte of a call's headers has arrived. The server reports a connection as active only
// when all headers have arrived.
func (i *Reaper) RecordFirstByte(n net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()

	if p, ok := i.waiting[n]; ok && !p.header {
		i.waiting[n] = phase{since: time.Now(), header: true, expired: p.expired}
	}
}

// Expire expires the connections that have had no call for longer than a duration, and returns how many are newly expired, as
// Sweep does. It makes room for connections with calls.
func (i *Reaper) Expire(idle time.Duration) int {
	i.mu.Lock()
	defer i.mu.Unlock()

	return i.expire(func(p phase) bool { return !p.header && time.Since(p.since) >= idle })
}

// Longest returns the connection that has waited the longest for a call, or for the rest of its headers, and since when; nil if none waits.
func (i *Reaper) Longest() (net.Conn, time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()

	var (
		o net.Conn
		s time.Time
	)

	for c, p := range i.waiting {
		if o == nil || p.since.Before(s) {
			o, s = c, p.since
		}
	}

	return o, s
}

type connKey struct{}

// Context is the ConnContext of an http.Server. It stores the connection in the contexts
// of its calls.
func (i *Reaper) Context(c context.Context, n net.Conn) context.Context {
	return context.WithValue(c, connKey{}, n)
}

// Connection returns the connection of the call with this context, or nil if there is none.
func Connection(c context.Context) net.Conn {
	n, _ := c.Value(connKey{}).(net.Conn)

	return n
}

// RecordHeaders records that the headers of the call with this context are complete, so that its
// connection has no limit until the call ends.
func (i *Reaper) RecordHeaders(c context.Context) {
	n := Connection(c)
	if n == nil {
		return
	}

	i.mu.Lock()
	defer i.mu.Unlock()

	delete(i.waiting, n)
}

// Sweep expires the connections that exceed their limits, and returns how many are newly
// expired.
//
// Sweep does not close connections. The goroutine that serves a connection may have read
// a call whose change of state has not reached Track yet, because the goroutine waits for
// a processor or the process stalled. If the connection were closed then, the call would
// run with its answer lost, or run twice when its caller retries. Sweep sets a read
// deadline in the past instead. A goroutine that waits for bytes then closes the
// connection; a call that lies there unread has not run and may be retried. A goroutine
// that has read a call continues to serve it.
func (i *Reaper) Sweep() int {
	l := i.limits()

	i.mu.Lock()
	defer i.mu.Unlock()

	return i.expire(func(p phase) bool {
		d := l.IdleTimeout
		if p.header {
			d = l.HeaderTimeout
		}

		return d > 0 && time.Since(p.since) >= d
	})
}

// expire expires the connections for whose phase a function returns true. Requires mu to be held.
func (i *Reaper) expire(over func(p phase) bool) int {
	n := 0

	for c, p := range i.waiting {
		if !over(p) {
			continue
		}

		if !p.expired {
			p.expired = true
			i.waiting[c] = p
			n++
		}

		// Set again at each sweep, since the server clears the deadline when it starts
		// to wait for a call.
		_ = c.SetReadDeadline(time.Unix(0, 0)) // Fails only if the connection is closed.
	}

	return n
}

// Package idler closes callers' connections that have been idle for too long.
package idler

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Idler follows the states of a server's connections. The limit may change while
// they are open, which the server's own timeout can't. It is safe for concurrent
// use.
type Idler struct {
	limit func() time.Duration

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// New returns an Idler. The function returns how long a connection may be idle;
// zero sets no limit.
func New(limit func() time.Duration) *Idler {
	return &Idler{limit: limit, since: make(map[net.Conn]time.Time)}
}

// Track is an http.Server's ConnState. Connections without a first call count as
// idle too: they hold a descriptor as well.
func (i *Idler) Track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()

	switch s {
	case http.StateNew, http.StateIdle:
		i.since[c] = time.Now()
	case http.StateActive, http.StateHijacked, http.StateClosed:
		delete(i.since, c)
	}
}

// Sweep closes the connections whose time is over and returns how many.
func (i *Idler) Sweep() int {
	d := i.limit()
	if d <= 0 {
		return 0
	}

	i.mu.Lock()
	defer i.mu.Unlock()

	n := 0

	for c, t := range i.since {
		if time.Since(t) >= d {
			delete(i.since, c)
			_ = c.Close() // The server sees the end and forgets it.
			n++
		}
	}

	return n
}

// Package drainer decides what a router does with new requests while it stops.
package drainer

import (
	"sync"
	"time"
)

// Phase is where a planned stop stands.
type Phase int

// The phases, in their order.
const (
	// Serving is no stop.
	Serving Phase = iota
	// Noticed shows as not ready, so that the balancer sends no more; what
	// still comes is served.
	Noticed
	// Refusing answers new requests that they were not run.
	Refusing
	// Done means that the last request has ended and no more come.
	Done
)

const (
	// quietMost is how long no request may have come before the end. It is
	// shorter where the notice is.
	quietMost = time.Second
	// lingerParts is for how many notices a stop waits for that, where callers
	// send on to a router that shows not ready.
	lingerParts = 10
)

// Drainer counts the requests in progress and follows a planned stop. It is
// safe for concurrent use.
type Drainer struct {
	notice time.Duration

	mu      sync.Mutex
	phase   Phase
	running int
	limit   int
	since   time.Time
	arrived time.Time
	done    chan struct{}
}

// New returns a Drainer that serves up to a limit of requests at a time. The
// notice is how long a stop waits for the balancer.
func New(notice time.Duration, limit int) *Drainer {
	return &Drainer{notice: notice, limit: limit, done: make(chan struct{})}
}

// Enter counts a request in and says whether it may be served. A request that
// entered is always waited for: counting and refusing are one step, or a stop
// could end between them and cut the request that had just been let in.
func (d *Drainer) Enter(now time.Time) (Phase, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.arrived = now

	if d.phase >= Refusing || d.running >= d.limit {
		return d.phase, false
	}

	d.running++

	return d.phase, true
}

// Exit counts a request out.
func (d *Drainer) Exit() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.running--
}

// Ready says whether the balancer should send requests.
func (d *Drainer) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.phase == Serving
}

// Running returns the number of requests in progress.
func (d *Drainer) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.running
}

// Notice begins a stop.
func (d *Drainer) Notice(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.phase == Serving {
		d.phase = Noticed
		d.since = now
	}
}

// Advance moves on when it is time, and returns the phase.
//
// The instant in which the listener closes can't be told to callers: a request
// on its way then gets its connection reset, without an answer. So a stop goes
// on answering until none has come for a while, which a balancer that noticed
// makes soon true.
func (d *Drainer) Advance(now time.Time) Phase {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.phase == Noticed && now.Sub(d.since) >= d.notice {
		d.phase = Refusing
		d.since = now
	}

	if d.phase == Refusing && d.running == 0 && (d.quiet(now) || now.Sub(d.since) >= lingerParts*d.notice) {
		d.phase = Done
		close(d.done)
	}

	return d.phase
}

// quiet says that no request came for a while.
func (d *Drainer) quiet(now time.Time) bool {
	return now.Sub(d.arrived) >= min(d.notice, quietMost)
}

// Done is closed when the stop has waited for every request.
func (d *Drainer) Done() <-chan struct{} {
	return d.done
}

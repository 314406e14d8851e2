// Package drainer decides how a router handles new requests during a graceful shutdown.
package drainer

import (
	"sync"
	"time"
)

// Phase is the phase of a shutdown.
type Phase int

// The phases, in their order.
const (
	// Serving means that no shutdown is in progress.
	Serving Phase = iota
	// NotReady means that the router reports not ready, so that the load balancer stops
	// sending requests. Requests that still arrive are served.
	NotReady
	// Refusing means that new requests are refused as not run.
	Refusing
	// Done means that the last request has ended and no new ones arrive.
	Done
)

const (
	// maxQuietPeriod is the time without new requests that ends a shutdown. A shorter
	// notice period is used instead.
	maxQuietPeriod = time.Second
	// noticeDivisor is the part of a limited shutdown that the notice period may take. Requests that are served until its end need the rest.
	noticeDivisor = 3
	// maxLingerPeriods is the number of notice periods after which a shutdown without requests
	// in progress ends although callers still send requests to the router.
	maxLingerPeriods = 10
)

// Drainer counts the requests in progress and holds the phase of a shutdown. It is safe for
// concurrent use.
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

// New returns a Drainer that admits up to limit concurrent requests. The notice is the period
// for which a shutdown waits for the load balancer to stop sending requests.
func New(notice time.Duration, limit int) *Drainer {
	return &Drainer{notice: notice, limit: limit, done: make(chan struct{})}
}

// Enter reports whether a request may be served, and counts it if so. The check and the count
// are atomic: otherwise a shutdown could complete between them and interrupt the request that
// had just been admitted. Each admitted request must call Exit.
func (d *Drainer) Enter(now time.Time) (Phase, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.arrived = now

	d.refuseIfDue(now)

	if d.phase >= Refusing || d.running >= d.limit {
		return d.phase, false
	}

	d.running++

	return d.phase, true
}

// Exit records that an admitted request has ended.
func (d *Drainer) Exit() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.running--
}

// Ready reports whether the load balancer should send requests.
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

// StartShutdown starts a shutdown that may take a time, after which requests in progress are interrupted; zero stands for no limit. Further
// calls have no effect.
func (d *Drainer) StartShutdown(now time.Time, limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.phase != Serving {
		return
	}

	d.phase = NotReady
	d.since = now

	if limit > 0 {
		d.notice = min(d.notice, limit/noticeDivisor)
	}
}

// refuseIfDue begins to refuse requests at the end of the notice period. d.mu must be held.
func (d *Drainer) refuseIfDue(now time.Time) {
	if d.phase == NotReady && now.Sub(d.since) >= d.notice {
		d.phase = Refusing
		d.since = now
	}
}

// Advance enters the next phase when it is due, and returns the phase.
//
// Callers cannot know when the listener closes: if it closes while a request is on its way,
// the connection is reset without an answer. A shutdown therefore continues to answer
// requests until none has arrived for the quiet period, which follows soon after the load
// balancer has detected that the router is not ready.
func (d *Drainer) Advance(now time.Time) Phase {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.refuseIfDue(now)

	if d.phase == Refusing && d.running == 0 && (d.quiet(now) || now.Sub(d.since) >= maxLingerPeriods*d.notice) {
		d.phase = Done
		close(d.done)
	}

	return d.phase
}

// quiet reports whether no request has arrived for the quiet period.
func (d *Drainer) quiet(now time.Time) bool {
	return now.Sub(d.arrived) >= min(d.notice, maxQuietPeriod)
}

// Done returns a channel that is closed when the shutdown enters phase Done.
func (d *Drainer) Done() <-chan struct{} {
	return d.done
}

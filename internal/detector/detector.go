// Package detector detects that this process was stalled: paused, or not scheduled.
package detector

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// TickInterval is the interval between two ticks.
	TickInterval = 100 * time.Millisecond
	// tolerance is how late a tick may come while the process runs: an exhausted quota of processor time
	// delays it by a tenth of a second.
	tolerance = 150 * time.Millisecond
	// recoveryTime is how long after a stall a process still lags behind, while it works off what arrived in the
	// meantime.
	recoveryTime = 300 * time.Millisecond
)

// Detector compares the times of ticks with the times when they were due. It is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	last     time.Time
	stallEnd time.Time
}

// New returns a Detector whose first tick is due TickInterval after now.
func New(now time.Time) *Detector {
	return &Detector{last: now}
}

// Tick records a tick and returns how long the process was stalled before it; zero means that it was not.
func (d *Detector) Tick(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	g := now.Sub(d.last) - TickInterval
	d.last = now

	if g <= tolerance {
		return 0
	}

	d.stallEnd = now

	return g
}

// Stalled reports whether the process was stalled, or still lagged behind after a stall, at any time
// between since and now.
//
// While a process is paused, the network goes on. The time-outs with which the process waits for other
// processes expire, and on resuming the process would consider every target unresponsive at once and send its
// calls to the few targets that are left.
func (d *Detector) Stalled(now, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	// The tick need not be the first of the timers that fire on resuming.
	if now.Sub(d.last)-TickInterval > tolerance {
		return true
	}

	return d.stallEnd.Add(recoveryTime).After(since)
}

// TimedOut reports whether an error is a time-out. After a stall, which Stalled reports, a time-out proves
// nothing about the other side.
func TimedOut(err error) bool {
	var t interface{ Timeout() bool }

	return errors.As(err, &t) && t.Timeout()
}

// Package detector notices when this process stood still.
package detector

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// TickEvery is the time between two ticks.
	TickEvery = 100 * time.Millisecond
	// allowance is how late a tick may come on a process that runs: a quota of
	// processor time that is used up holds it for a tenth of a second.
	allowance = 150 * time.Millisecond
	// settle is how long after a pause a process is still behind: all that came
	// meanwhile is done at once.
	settle = 300 * time.Millisecond
)

// Detector compares the times of ticks with when they were due. It is safe for
// concurrent use.
type Detector struct {
	mu    sync.Mutex
	last  time.Time
	ended time.Time
}

// New returns a Detector whose first tick is due TickEvery after now.
func New(now time.Time) *Detector {
	return &Detector{last: now}
}

// Tick notes a tick and returns how long the process stood still before it; zero
// when it did not.
func (d *Detector) Tick(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	g := now.Sub(d.last) - TickEvery
	d.last = now

	if g <= allowance {
		return 0
	}

	d.ended = now

	return g
}

// Stalled says that the process stood still, or was behind, at some time between
// since and now.
//
// When a process is paused, the network is not. The times that it had set for others
// run out, and on waking it would take every target, all at once, for one that does
// not answer, and send what it has to the few that are left.
func (d *Detector) Stalled(now, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	// Of all that is due on waking, the tick need not be the first.
	if now.Sub(d.last)-TickEvery > allowance {
		return true
	}

	return d.ended.Add(settle).After(since)
}

// TimedOut says that an error is that of a time which ran out, of which Stalled tells
// whether it says anything.
func TimedOut(err error) bool {
	var t interface{ Timeout() bool }

	return errors.As(err, &t) && t.Timeout()
}

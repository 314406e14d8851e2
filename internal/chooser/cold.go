package chooser

import (
	"slices"
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
)

// cold says that a target bears few calls at a time: by its own word, or since its data centre has
// just been opened again, of which its word may not be read yet.
func (q *Query) cold(now time.Time, r *enroller.Roster, t *enroller.Target) bool {
	if q.ColdRate <= 0 {
		return false
	}

	return t.ColdAt(now, q.ColdFor) || now.Before(r.Reopened[t.DataCentre].Add(q.ColdFor))
}

// open returns the candidates that a call may be sent to: the warm ones, and the cold ones to which
// this instance may still send. What it leaves out is not used either when nothing else is left: a
// cold target that is given too many calls ends with all of them.
func (c *Chooser) open(now time.Time, l []candidate, q *Query) []candidate {
	if !slices.ContainsFunc(l, func(x candidate) bool { return x.cold }) {
		return l
	}

	f := sync.OnceValue(c.fleet)

	return keep(l, func(x candidate) bool {
		return !x.cold || c.throttler.Room(now, x.target.Key(), q.ColdRate, f)
	})
}

// counted returns the candidates that count for the mean of loads: all that can be reached, also the
// cold and the resting ones that are left out. Where none can, they are those that are tried all the same.
func (c *Chooser) counted(now time.Time, tried, all []candidate) []candidate {
	if l := c.health.reachable(now, all); len(l) > 0 {
		return l
	}

	return tried
}

// sent counts a call to a target that is cold or has rested. At a cold one it counts also when its
// home turns it away after that.
func (c *Chooser) sent(now time.Time, x candidate) {
	if x.cold {
		c.throttler.Sent(now, x.target.Key())
	}

	c.sparer.Sent(now, x.target.Key())
}

package selector

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// StartBackoff starts a backoff of a target that refused a call and asked this instance for no calls for a time.
func (c *Selector) StartBackoff(now time.Time, t *discoverer.Target, d time.Duration) {
	c.suppressor.StartBackoff(now, t.Key(), d)

	if c.state(t).isCurrent(t) {
		c.health.setExcluded(Own, TargetBackingOff, t, true)
	}
}

// InBackoff reports whether a target is in a backoff.
func (c *Selector) InBackoff(now time.Time, t *discoverer.Target) bool {
	return c.suppressor.InBackoff(now, t.Key())
}

// Answered records that a target has begun to answer a call.
func (c *Selector) Answered(now time.Time, t *discoverer.Target) {
	c.suppressor.Answered(now, t.Key())

	if c.suppressor.Wait(now, t.Key()) == 0 {
		c.health.setExcluded(Own, TargetBackingOff, t, false)
	}
}

// GroupBackoff reports whether all targets of a group that the call may be sent to are in a backoff, including those
// it was sent to before. It returns the time until the first of them accepts calls.
func (c *Selector) GroupBackoff(now time.Time, r *discoverer.Registry, group string, q Query) (time.Duration, bool) {
	q.Excluded = nil
	all := c.candidates(now, r, r.Groups[group], &q)
	l, first := c.withoutBackoff(now, all)

	return first, len(all) > 0 && len(l) == 0
}

// withoutBackoff returns the candidates that are not in a backoff, and the time until the first of the others
// accepts calls. Candidates in a backoff are omitted even if no others remain.
func (c *Selector) withoutBackoff(now time.Time, l []candidate) ([]candidate, time.Duration) {
	var first time.Duration

	o := filter(l, func(x candidate) bool {
		w := c.suppressor.Wait(now, x.target.Key())
		if w > 0 && (first == 0 || w < first) {
			first = w
		}

		return w == 0
	})

	return o, first
}

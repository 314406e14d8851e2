package chooser

import (
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
)

// Rest takes that a target, which turned a call away, wants none from this instance for a time.
func (c *Chooser) Rest(now time.Time, t *enroller.Target, d time.Duration) {
	c.sparer.Rest(now, t.Key(), d)

	if c.state(t).judged(t) {
		c.health.believe(Own, TargetRests, t, true)
	}
}

// Resting says that a target wants no calls from this instance now.
func (c *Chooser) Resting(now time.Time, t *enroller.Target) bool {
	return c.sparer.Resting(now, t.Key())
}

// Answered takes that a target has begun to answer a call.
func (c *Chooser) Answered(now time.Time, t *enroller.Target) {
	c.sparer.Answered(now, t.Key())

	if c.sparer.Wait(now, t.Key()) == 0 {
		c.health.believe(Own, TargetRests, t, false)
	}
}

// Rests says that all targets of a group to which a call may go want none from this instance, those to
// which it was sent before included, and returns when the first of them takes calls again.
func (c *Chooser) Rests(now time.Time, r *enroller.Roster, group string, q Query) (time.Duration, bool) {
	q.Excluded = nil
	all := c.candidates(now, r, r.Groups[group], &q)
	l, first := c.rested(now, all)

	return first, len(all) > 0 && len(l) == 0
}

// rested returns the candidates that have not asked for rest, or have had it, and when the first of
// the others takes calls again. What it leaves out is not used either when nothing else is left.
func (c *Chooser) rested(now time.Time, l []candidate) ([]candidate, time.Duration) {
	var first time.Duration

	o := keep(l, func(x candidate) bool {
		w := c.sparer.Wait(now, x.target.Key())
		if w > 0 && (first == 0 || w < first) {
			first = w
		}

		return w == 0
	})

	return o, first
}

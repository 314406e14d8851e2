package chooser

import (
	"slices"
	"strings"
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
)

// Beliefs returns what has changed about targets and data centres since it was last
// asked.
func (c *Chooser) Beliefs() []Belief {
	o := c.health.beliefs
	c.health.beliefs = nil

	return o
}

// Running returns how many calls this instance has at the targets of a data centre, also at those
// that left the list.
func (c *Chooser) Running(centre string) int {
	n := 0

	for _, s := range c.states {
		if s.target.DataCentre == centre {
			n += s.running
		}
	}

	return n
}

// View is a target as this instance sees it.
type View struct {
	Target *enroller.Target
	// Load is the estimate of the calls of all instances there.
	Load float64
	// Left says that the target, or its data centre, is left alone.
	Left bool
}

// Views returns the targets of a roster in the order of their IDs.
func (c *Chooser) Views(now time.Time, r *enroller.Roster) []View {
	o := make([]View, 0, len(r.Known))

	for _, t := range r.Known {
		o = append(o, View{Target: t, Load: c.load(now, t), Left: c.health.left(t)})
	}

	slices.SortFunc(o, func(a, b View) int { return strings.Compare(a.Target.ID, b.Target.ID) })

	return o
}

// CutOff returns a target in each data centre that this instance does not reach when it
// reaches fewer than half of those with targets, and none otherwise. Of two sides of a
// cut at most one is less than half, and with two data centres none is.
func (c *Chooser) CutOff(r *enroller.Roster) []*enroller.Target {
	return c.health.cutOff(r)
}

// witnessesMost is how many targets are asked whether a data centre is reached.
const witnessesMost = 2

// Witnesses returns targets that should be reached when a target is: others of its data centre,
// or of any where it has none, those first that take calls as far as is known.
func (c *Chooser) Witnesses(now time.Time, r *enroller.Roster, t *enroller.Target) []*enroller.Target {
	var near, far []*enroller.Target

	for _, x := range r.Known {
		switch {
		case x.Key() == t.Key() || x.Leaves():
		case x.DataCentre == t.DataCentre:
			near = append(near, x)
		default:
			far = append(far, x)
		}
	}

	if len(near) == 0 {
		near = far
	}

	slices.SortStableFunc(near, func(a, b *enroller.Target) int {
		return c.health.doubts(now, a) - c.health.doubts(now, b)
	})

	return near[:min(len(near), witnessesMost)]
}

package selector

import (
	"slices"
	"strings"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// HealthChanges returns the changes of health status since the last call and clears them.
func (c *Selector) HealthChanges() []HealthChange {
	o := c.health.changes
	c.health.changes = nil

	return o
}

// Running returns the number of calls of this instance at the targets of a data centre, including targets that
// are no longer listed.
func (c *Selector) Running(centre string) int {
	n := 0

	for _, s := range c.states {
		if s.target.DataCentre == centre {
			n += s.running
		}
	}

	return n
}

// View is the state of a target as seen by this instance.
type View struct {
	Target *discoverer.Target
	// Load is the estimated number of calls of all instances.
	Load float64
	// Excluded reports whether the target or its data centre is excluded.
	Excluded bool
}

// Views returns the targets of a registry in the order of their IDs.
func (c *Selector) Views(now time.Time, r *discoverer.Registry) []View {
	o := make([]View, 0, len(r.Known))

	for _, t := range r.Known {
		o = append(o, View{Target: t, Load: c.load(now, t), Excluded: c.health.isExcluded(t)})
	}

	slices.SortFunc(o, func(a, b View) int { return strings.Compare(a.Target.ID, b.Target.ID) })

	return o
}

// CutOff returns a target to probe in each unreachable data centre if this instance reaches fewer than half of
// the data centres with targets, and none otherwise. At most one side of a network partition has less than
// half, and with two data centres neither has.
func (c *Selector) CutOff(r *discoverer.Registry) []*discoverer.Target {
	return c.health.cutOff(r)
}

// maxWitnesses is the number of targets that are probed to find out whether a data centre is reachable.
const maxWitnesses = 2

// Witnesses returns targets that tell a crash of the given target from a network partition: they should be
// reachable whenever it is. These are other targets of its data centre, or of any if it is the only one there,
// those with the fewest signs of failure first.
func (c *Selector) Witnesses(now time.Time, r *discoverer.Registry, t *discoverer.Target) []*discoverer.Target {
	var near, far []*discoverer.Target

	for _, x := range r.Known {
		switch {
		case x.Key() == t.Key() || x.IsLeaving():
		case x.DataCentre == t.DataCentre:
			near = append(near, x)
		default:
			far = append(far, x)
		}
	}

	if len(near) == 0 {
		near = far
	}

	slices.SortStableFunc(near, func(a, b *discoverer.Target) int {
		return c.health.failureSigns(now, a) - c.health.failureSigns(now, b)
	})

	return near[:min(len(near), maxWitnesses)]
}

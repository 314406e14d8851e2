// Package confiner decides when each customer keeps to a part of the targets, and to which.
//
// A customer may send ever new calls that end targets. Each is known after some ends, and none
// says anything of the next: all targets end again and again, and nobody is served. While
// targets end one after the other, each customer therefore keeps to a part of them. What one
// customer ends is its own part, and every other customer has targets outside it.
package confiner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/hasher"
)

const (
	// window is the time in which ends are counted. Targets that ended are back within some
	// seconds, so that customers are let out again when all are there.
	window = 10 * time.Second
	// endedPart is the part of a group's targets that must have ended in the window. Fewer leave
	// room for all on the others.
	endedPart = 1.0 / 3
	// moments is at how many moments they must have ended, and apart how far these are from each
	// other. A rack that loses its power, or a call that is held back after three ends, is no
	// reason to move anybody.
	moments = 4
	apart   = 500 * time.Millisecond
	// keptPart is the part of a group's targets that a customer keeps to. It holds the calls of a
	// customer that has half of all, and shares but a third of itself with that of another.
	keptPart = 1.0 / 3
)

// Confiner counts the ends of targets. It is not safe for concurrent use.
type Confiner struct {
	// groups are when processes of a group have ended.
	groups map[string]map[enroller.Key]time.Time
}

// New returns a Confiner that knows of no end.
func New() *Confiner {
	return &Confiner{groups: make(map[string]map[enroller.Key]time.Time)}
}

// Ended takes that a process of a target has ended under a call. Told again it says nothing new.
func (c *Confiner) Ended(now time.Time, t *enroller.Target) {
	g, ok := c.groups[t.Group]
	if !ok {
		g = make(map[enroller.Key]time.Time)
		c.groups[t.Group] = g
	}

	if _, ok := g[t.Key()]; !ok {
		g[t.Key()] = now
	}
}

// Confined says whether the customers of a group of so many targets keep to their parts.
func (c *Confiner) Confined(now time.Time, group string, targets int) bool {
	g := c.groups[group]
	if len(g) == 0 {
		return false
	}

	l := make([]time.Time, 0, len(g))

	for k, at := range g {
		if now.Sub(at) >= window {
			delete(g, k)

			continue
		}

		l = append(l, at)
	}

	return float64(len(l)) >= endedPart*float64(targets) && spread(l) >= moments
}

// spread returns at how many moments that are apart something happened.
func spread(l []time.Time) int {
	slices.SortFunc(l, time.Time.Compare)

	n := 0

	var last time.Time

	for _, t := range l {
		if n == 0 || t.Sub(last) >= apart {
			n++
			last = t
		}
	}

	return n
}

// Part returns the targets of a group that a customer keeps to, the same at every instance. It
// changes little when targets come and go.
func Part(customer uint64, l []*enroller.Target) []*enroller.Target {
	o := slices.Clone(l)
	slices.SortFunc(o, func(a, b *enroller.Target) int {
		return cmp.Compare(hasher.Score(customer, b.Rank(), 1), hasher.Score(customer, a.Rank(), 1))
	})

	return o[:int(math.Ceil(keptPart*float64(len(o))))]
}

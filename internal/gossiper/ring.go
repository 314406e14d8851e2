package gossiper

import (
	"cmp"
	"slices"
	"sort"

	"github.com/auburntray/auburntray/internal/hasher"
)

// ring contains the other live members in the order of their positions: those of this data centre, and all.
//
// Each member probes those of its data centre that precede it on the ring. Each is thus probed by several, at any size
// of the fleet. Positions are hashes, so that members that fail together are rarely neighbors. It also probes those
// before a few random points of the ring of all, over which news reach all in a number of steps that grows with the
// logarithm of their number.
type ring struct {
	near, all []*entry
}

const (
	// nearNeighbors is how many members of the data centre that answer are probed. Of three members that probe one,
	// at least one is expected to be live even if many fail at once.
	nearNeighbors = 3
	// randomNeighbors is how many members before random points of the ring of all are probed, and more in a smaller
	// data centre. maxPoints bounds the points: several may have the same member.
	randomNeighbors = 2
	maxPoints       = 4 * (nearNeighbors + randomNeighbors)
	// maxNear, maxRandom and maxProbed bound the members of the data centre, those before a point and all that are
	// probed while the first ones do not answer.
	maxNear   = 12
	maxRandom = 4
	maxProbed = 20
	// unresponsiveFailures is the number of unanswered probes from which a further neighbor is probed.
	unresponsiveFailures = 2
)

// neighbors returns the members that this one probes.
func (g *Gossiper) neighbors() []*entry {
	if g.ringVersion != g.version || g.ring.near == nil {
		g.ring = g.newRing()
		g.ringVersion = g.version
	}

	o := preceding(g.ring.near, g.self.position, nearNeighbors, maxNear)
	responsive := 0

	for _, e := range o {
		if e.failures < unresponsiveFailures {
			responsive++
		}
	}

	for k := range uint64(maxPoints) {
		if responsive >= nearNeighbors+randomNeighbors || len(o) >= maxProbed {
			break
		}

		for _, e := range preceding(g.ring.all, hasher.Mix(g.self.ID, k+1), 1, maxRandom) {
			if slices.Contains(o, e) {
				continue
			}

			o = append(o, e)

			if e.failures < unresponsiveFailures {
				responsive++
			}
		}
	}

	return o
}

// Neighbors returns the live members that this one probes and that answer. Records that each member passes on to its
// neighbors reach all, over a number of connections that does not grow with the fleet.
func (g *Gossiper) Neighbors() []Member {
	var o []Member

	for _, e := range g.neighbors() {
		if e.failures < unresponsiveFailures {
			o = append(o, e.Member)
		}
	}

	return o
}

func (g *Gossiper) newRing() ring {
	o := ring{near: []*entry{}}

	for _, e := range g.entries {
		if e == g.self || !e.isAlive() {
			continue
		}

		o.all = append(o.all, e)

		if e.DataCentre == g.self.DataCentre {
			o.near = append(o.near, e)
		}
	}

	for _, l := range [][]*entry{o.near, o.all} {
		slices.SortFunc(l, func(a, b *entry) int { return cmp.Compare(a.position, b.position) })
	}

	return o
}

// preceding returns the entries before a position, until number of them answer or there are most.
func preceding(l []*entry, position uint64, number, most int) []*entry {
	n := sort.Search(len(l), func(i int) bool { return l[i].position >= position })
	o := make([]*entry, 0, number)

	for i := range l {
		if number == 0 || len(o) == most {
			break
		}

		e := l[(n-1-i+2*len(l))%len(l)]
		o = append(o, e)

		if e.failures < unresponsiveFailures {
			number--
		}
	}

	return o
}

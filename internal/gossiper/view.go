package gossiper

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/hasher"
)

const (
	// viewFor is how long a view stands. Each request asks for a few homes, and
	// working the live routers out anew each time would take a twentieth of a
	// core at the design size.
	viewFor = 200 * time.Millisecond
	// homesKept is how many homes of a key are remembered: the present one and
	// those that come after it.
	homesKept = 3
)

// view is what follows from the entries for a short time. The zero view stands
// for none.
type view struct {
	at   time.Time
	live []Member
	// known are the homes that were asked for.
	known map[uint64][]Member
}

func (g *Gossiper) viewAt(now time.Time) *view {
	if g.view.known == nil || now.Sub(g.view.at) >= viewFor || now.Before(g.view.at) {
		g.view = view{at: now, live: g.list(now), known: make(map[uint64][]Member)}
	}

	return &g.view
}

// homes returns the first routers for a key, of the data centres if any live
// there.
func (v *view) homes(key uint64, centres []string) []Member {
	if o, ok := v.known[key]; ok {
		return o
	}

	o := first(v.live, key, func(m Member) bool { return slices.Contains(centres, m.DataCentre) })
	if len(o) == 0 {
		o = first(v.live, key, func(Member) bool { return true })
	}

	v.known[key] = o

	return o
}

// first returns the routers with the highest scores for a key among those that
// a function selects, the highest first.
func first(l []Member, key uint64, selects func(Member) bool) []Member {
	var (
		o []Member
		s []float64
	)

	for _, m := range l {
		if !selects(m) {
			continue
		}

		x := hasher.Score(key, m.ID, 1)
		i := 0

		for i < len(s) && s[i] >= x {
			i++
		}

		if i < homesKept {
			o = slices.Insert(o, i, m)
			s = slices.Insert(s, i, x)
		}

		o = o[:min(len(o), homesKept)]
		s = s[:min(len(s), homesKept)]
	}

	return o
}

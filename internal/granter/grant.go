package granter

import (
	"time"
)

// Grant is one granted place.
type Grant struct {
	ID       ID
	Target   uint32
	Customer uint32
	// Work is in requests.
	Work float64
}

// Outcome is how a granted request ended.
type Outcome struct {
	// OK says that the target answered; a caller's own fault counts as OK.
	OK bool
	// NeverSent says that the target did not see the request and was not found
	// failing either.
	NeverSent bool
}

// Sync replaces what is known of an entry's grants by the entry's own list. An
// entry sends it to a new home and from time to time, so that a lost release
// or a grant whose answer was lost doesn't count for ever. Grants numbered
// after upTo are younger than the list and stay.
func (g *Granter) Sync(now time.Time, entry uint64, upTo uint32, l []Grant) {
	g.entries[entry] = now
	k := make(map[ID]bool, len(l))

	for _, x := range l {
		k[x.ID] = true

		if _, ok := g.grants[x.ID]; !ok {
			g.start(now, x, 1)
		}
	}

	for id := range g.grants {
		if id.Entry == entry && id.Seq <= upTo && !k[id] {
			g.drop(id)
		}
	}
}

// Forget drops the grants of an entry that is gone.
func (g *Granter) Forget(entry uint64) {
	for id := range g.grants {
		if id.Entry == entry {
			g.drop(id)
		}
	}

	delete(g.entries, entry)
}

// Expire forgets the entries that were not heard of for EntryTimeout. Without
// it the work of a killed entry would count for ever and push its targets'
// share onto the others.
func (g *Granter) Expire(now time.Time) {
	for e, t := range g.entries {
		if now.Sub(t) > g.settings.EntryTimeout {
			g.Forget(e)
		}
	}
}

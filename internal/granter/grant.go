package granter

import (
	"time"
)

// Grant is a slot at a target that was granted to a request.
type Grant struct {
	ID       ID
	Target   uint32
	Customer uint32
	// Work is the load that the grant adds to the target, in requests.
	Work float64
}

// Outcome is the result of a granted request.
type Outcome struct {
	// OK reports whether the target answered. An answer that reports an error in the request itself
	// counts as OK.
	OK bool
	// NeverSent reports whether the request failed to reach the target, for a reason that is no evidence on
	// the target's health.
	NeverSent bool
}

// Sync replaces the recorded grants of an entry router with the router's own list. The entry router
// sends the list to a new home and periodically, so that a grant whose release or verdict was lost does
// not count for ever. Grants with a sequence number above upTo are newer than the list and remain.
func (g *Granter) Sync(now time.Time, entry uint64, upTo uint32, l []Grant) {
	g.lastSeen[entry] = now
	k := make(map[ID]bool, len(l))

	for _, x := range l {
		k[x.ID] = true

		if _, ok := g.grants[x.ID]; !ok {
			g.start(now, x, 1)
		}
	}

	for id := range g.grants {
		if id.Entry == entry && id.Seq <= upTo && !k[id] {
			g.remove(id)
		}
	}
}

// Forget removes all grants of an entry router.
func (g *Granter) Forget(entry uint64) {
	for id := range g.grants {
		if id.Entry == entry {
			g.remove(id)
		}
	}

	delete(g.lastSeen, entry)
}

// Expire removes the grants of the entry routers that have sent no message for EntryTimeout. Otherwise
// the work of a killed entry router would count for ever and shift load from its targets to the others.
func (g *Granter) Expire(now time.Time) {
	for e, t := range g.lastSeen {
		if now.Sub(t) > g.settings.EntryTimeout {
			g.Forget(e)
		}
	}
}

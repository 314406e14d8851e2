package gossiper

import (
	"cmp"
	"slices"
	"time"
)

// viewTTL is how long a view is used before it is checked again which routers are reachable.
const viewTTL = 200 * time.Millisecond

// view caches the results that follow from the entries. The zero view is empty.
type view struct {
	at time.Time
	// version and reachable are what live was determined from: the version of the membership, and which data
	// centres are reachable.
	version   uint64
	reachable string
	// expiry is when the first suspicion of a router ends; zero if none is suspected.
	expiry time.Time
	live   []Member
	// routers caches, by key, the home and then the routers that would succeed it. Keys passed
	// to SetKeys are always in it, other keys from their first request on. The entries are
	// valid as long as the same routers are live.
	routers map[uint64][]Member
}

// viewAt returns the view for a time. It is checked if it is older than viewTTL or if the membership has changed, and
// determined again only if the check shows that other routers are live.
func (g *Gossiper) viewAt(now time.Time) *view {
	v := &g.view
	if v.routers != nil && v.version == g.version && now.Sub(v.at) < viewTTL && !now.Before(v.at) {
		return v
	}

	r := g.reachableCentres(now)
	expired := !v.expiry.IsZero() && !now.Before(v.expiry)

	if v.routers == nil || v.version != g.version || v.reachable != r || expired {
		g.renewView(now, r)
	}

	v.at = now

	return v
}

func (g *Gossiper) renewView(now time.Time, reachable string) {
	v := &g.view

	l, x := g.listLive(now)
	if v.routers == nil || !slices.Equal(l, v.live) {
		v.live = l
		v.routers = Assign(l, g.keys)
	}

	v.version, v.reachable, v.expiry = g.version, reachable, x
}

// reachableCentres returns which data centres are reachable, as a value to be compared.
func (g *Gossiper) reachableCentres(now time.Time) string {
	l := make([]string, 0, len(g.centres))

	for n := range g.centres {
		if g.reachable(now, &entry{Member: Member{DataCentre: n}}) {
			l = append(l, n)
		}
	}

	slices.Sort(l)

	var o []byte

	for _, n := range l {
		o = append(append(o, n...), 0)
	}

	return string(o)
}

// listLive returns the result of Live, and when the first suspicion of a router ends.
func (g *Gossiper) listLive(now time.Time) ([]Member, time.Time) {
	o := make([]Member, 0, len(g.entries))

	var expiry time.Time

	for _, e := range g.entries {
		if !e.isAlive() || !g.reachable(now, e) {
			continue
		}

		if x := e.suspected.Add(g.settings.SuspectFor); !e.suspected.IsZero() && now.Before(x) {
			if expiry.IsZero() || x.Before(expiry) {
				expiry = x
			}

			continue
		}

		o = append(o, e.Member)
	}

	slices.SortFunc(o, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })

	return o, expiry
}

// homeAndSuccessors returns the routers for a key, its home first. The home of a key that was not
// passed to SetKeys is its highest-ranked router, even if that is home to other keys too.
func (v *view) homeAndSuccessors(k Key) []Member {
	if o, ok := v.routers[k.Key]; ok {
		return o
	}

	o := rank(v.live, k)
	v.routers[k.Key] = o

	return o
}

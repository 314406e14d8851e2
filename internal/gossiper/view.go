package gossiper

import (
	"slices"
	"time"
)

// viewTTL is how long a view is used before the live routers are determined again. Each
// request needs a few homes, and computing them each time would use a twentieth of a core
// in a fleet of the size that the system is designed for.
const viewTTL = 200 * time.Millisecond

// view caches the results that follow from the entries. The zero view is empty.
type view struct {
	at   time.Time
	live []Member
	// routers caches, by key, the home and then the routers that would succeed it. Keys passed
	// to SetKeys are always in it, other keys from their first request on. The entries are
	// valid as long as the same routers are live.
	routers map[uint64][]Member
}

// viewAt returns the view for a time, renewed if it is older than viewTTL or invalidated.
func (g *Gossiper) viewAt(now time.Time) *view {
	v := &g.view
	if v.routers != nil && now.Sub(v.at) < viewTTL && !now.Before(v.at) {
		return v
	}

	l := g.listLive(now)
	if v.routers == nil || !slices.Equal(l, v.live) {
		v.live = l
		v.routers = Assign(l, g.keys)
	}

	v.at = now

	return v
}

// invalidateView makes the next use of the view determine the live routers again.
func (g *Gossiper) invalidateView() {
	g.view.at = time.Time{}
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

package bencher

import (
	"math/rand/v2"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
)

// granterKey names a cell's Granter at one home: two sides of a cut have one
// each.
type granterKey struct {
	cell uint32
	home uint64
}

// home returns the cell's home as a router sees it.
func (h *homes) home(w *world, r *router, c *matcher.Cell) int {
	k := granterKey{cell: c.ID}
	if w.cut >= 0 && r.centre == w.cut {
		k.home = 1
	}

	i, ok := h.homeOf[k]
	if ok {
		return i
	}

	i = h.first(w, r, c, -1)
	h.homeOf[k] = i

	// The entries tell a home that is new to them of what they have in flight.
	if o, ok := h.was[k]; i >= 0 && (!ok || o != w.routers[i].id) {
		if g := h.holder(w, c, o, i); g != nil && k.home == 0 {
			h.moving = append(h.moving, handover{cell: c, from: g})
		}

		h.was[k] = w.routers[i].id
		h.sync(w, c, i)
	}

	return i
}

// holder returns the Granter that hands its places over to a new home: the
// former home's, or when that is lost, the one that it replicated to.
func (h *homes) holder(w *world, c *matcher.Cell, former uint64, home int) *granter.Granter {
	if g, ok := h.granters[granterKey{cell: c.ID, home: former}]; ok {
		return g
	}

	j := h.first(w, w.routers[home], c, home)
	if j < 0 {
		return nil
	}

	return h.granters[granterKey{cell: c.ID, home: w.routers[j].id}]
}

// first returns the first router for a cell, without one, on a router's side of
// a cut.
func (h *homes) first(w *world, r *router, c *matcher.Cell, without int) int {
	s := w.cut >= 0 && r.centre == w.cut

	a, ok := h.assigned[s]
	if !ok {
		a = h.assign(w, r)
		h.assigned[s] = a
	}

	for _, m := range a[uint64(c.ID)] {
		for i, x := range w.routers {
			if x.id == m.ID && i != without {
				return i
			}
		}
	}

	return -1
}

// assign works out the homes among the routers that a router reaches.
func (h *homes) assign(w *world, r *router) map[uint64][]gossiper.Member {
	var (
		l []gossiper.Member
		k []gossiper.Key
	)

	for _, x := range w.routers {
		if w.together(r, x) {
			l = append(l, gossiper.Member{ID: x.id, DataCentre: centreName("dc", x.centre)})
		}
	}

	for _, c := range h.matcher.Cells() {
		k = append(k, gossiper.Key{Key: uint64(c.ID), Centres: c.DataCentres})
	}

	return gossiper.Assign(l, k)
}

func (h *homes) granter(c *matcher.Cell, home uint64) *granter.Granter {
	k := granterKey{cell: c.ID, home: home}
	if g, ok := h.granters[k]; ok {
		return g
	}

	g := granter.New(granter.DefaultSettings(), rand.New(rand.NewPCG(uint64(c.ID), home))) //nolint:gosec // Reproducible.
	l := make([]granter.Target, len(c.Targets))

	for i, t := range c.Targets {
		l[i] = granter.Target{ID: t.ID, Capacity: t.Capacity, Engine: true}
	}

	g.Update(l, granter.Limits{LoadFactor: loadFactor, Slack: parser.DefaultSlackRequests})
	h.granters[k] = g

	return g
}

// sync tells a home of the requests in flight in its cell on its side of a cut.
func (h *homes) sync(w *world, c *matcher.Cell, home int) {
	l := make(map[uint64][]granter.Grant)

	for _, f := range w.running {
		q := f.request
		if q.cell != c.ID || q.target == nil || !w.together(w.routers[q.router], w.routers[home]) {
			continue
		}

		l[q.entry] = append(l[q.entry], h.grant(q))
	}

	g := h.granter(c, w.routers[home].id)

	for e, x := range l {
		g.Sync(epoch.Add(w.now), e, h.seq, x)
	}
}

// look has the homes looked for anew.
func (h *homes) look() {
	clear(h.homeOf)
	clear(h.assigned)
}

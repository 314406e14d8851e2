package bencher

import (
	"math/rand/v2"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
)

// granterKey identifies a cell's Granter at a home. During a network partition, each side
// has its own. In the keys of homeByCell and lastHomes, the field home holds the side of
// the partition instead: 1 for the isolated data centre and 0 for the others.
type granterKey struct {
	cell uint32
	home uint64
}

// home returns the index of the cell's home (home node) as a router sees it, or -1 if
// there is none.
func (h *homePolicy) home(w *world, r *router, c *matcher.Cell) int {
	k := granterKey{cell: c.ID}
	if w.partitioned >= 0 && r.centre == w.partitioned {
		k.home = 1
	}

	i, ok := h.homeByCell[k]
	if ok {
		return i
	}

	i = h.firstHome(w, r, c, -1)
	h.homeByCell[k] = i

	// Routers report their requests in flight to a new home.
	if o, ok := h.lastHomes[k]; i >= 0 && (!ok || o != w.routers[i].id) {
		if g := h.handOverSource(w, c, o, i); g != nil && k.home == 0 {
			h.handOvers = append(h.handOvers, handOver{cell: c, from: g})
		}

		h.lastHomes[k] = w.routers[i].id
		h.syncNewHome(w, c, i)
	}

	return i
}

// handOverSource returns the Granter that hands its placements over to a new home: that
// of the former home, or of its replica if the former home is lost.
func (h *homePolicy) handOverSource(w *world, c *matcher.Cell, former uint64, home int) *granter.Granter {
	if g, ok := h.granters[granterKey{cell: c.ID, home: former}]; ok {
		return g
	}

	j := h.firstHome(w, w.routers[home], c, home)
	if j < 0 {
		return nil
	}

	return h.granters[granterKey{cell: c.ID, home: w.routers[j].id}]
}

// firstHome returns the index of the first router in a cell's order of homes, except the
// router with the index excluded, on r's side of a network partition. It returns -1 if
// there is none.
func (h *homePolicy) firstHome(w *world, r *router, c *matcher.Cell, excluded int) int {
	s := w.partitioned >= 0 && r.centre == w.partitioned

	a, ok := h.homesBySide[s]
	if !ok {
		a = h.assignHomes(w, r)
		h.homesBySide[s] = a
	}

	for _, m := range a[uint64(c.ID)] {
		for i, x := range w.routers {
			if x.id == m.ID && i != excluded {
				return i
			}
		}
	}

	return -1
}

// assignHomes computes the homes of all cells among the routers that r can reach.
func (h *homePolicy) assignHomes(w *world, r *router) map[uint64][]gossiper.Member {
	var (
		l []gossiper.Member
		k []gossiper.Key
	)

	for _, x := range w.routers {
		if w.connected(r, x) {
			l = append(l, gossiper.Member{ID: x.id, DataCentre: centreName("dc", x.centre)})
		}
	}

	for _, c := range h.matcher.Cells() {
		k = append(k, gossiper.Key{Key: uint64(c.ID), Centres: c.DataCentres})
	}

	return gossiper.Assign(l, k)
}

func (h *homePolicy) granter(c *matcher.Cell, home uint64) *granter.Granter {
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

// syncNewHome reports to a home the requests in flight in its cell, on its side of a
// network partition.
func (h *homePolicy) syncNewHome(w *world, c *matcher.Cell, home int) {
	l := make(map[uint64][]granter.Grant)

	for _, e := range w.events {
		q := e.request
		if q.cell != c.ID || q.target == nil || !w.connected(w.routers[q.router], w.routers[home]) {
			continue
		}

		l[q.entry] = append(l[q.entry], h.grant(q))
	}

	g := h.granter(c, w.routers[home].id)

	for e, x := range l {
		g.Sync(epoch.Add(w.now), e, h.seq, x)
	}
}

// resetHomes makes all homes be computed again.
func (h *homePolicy) resetHomes() {
	clear(h.homeByCell)
	clear(h.homesBySide)
}

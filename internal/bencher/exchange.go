package bencher

import (
	"time"

	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// tick does the periodic work of the routers: every second, homes exchange loads and
// placements, and every syncInterval, routers report their grants.
func (h *homePolicy) tick(w *world) {
	clear(h.homeByCell)

	if w.reconnected || w.condition == Partition {
		clear(h.homesBySide)
	}

	// During the partition the other data centres retained their home, which now is the
	// home of the formerly isolated routers again. All routers report their requests in
	// flight to it.
	if w.reconnected {
		clear(h.lastHomes)
	}

	if w.now%time.Second != 0 {
		return
	}

	h.exchangeCellLoads(w)
	h.replicate(w)
	h.continueHandOvers(w)

	if w.now%syncInterval == 0 {
		h.syncGrants(w)
	}

	for _, g := range h.granters {
		g.Expire(epoch.Add(w.now))
	}
}

// syncInterval is the interval at which routers send their grants to the homes.
const syncInterval = 5 * time.Second

// syncGrants sends each router's complete list of grants in a cell to the cell's home,
// for each cell that the router has used.
func (h *homePolicy) syncGrants(w *world) {
	l := make(map[cellUse][]granter.Grant)

	for _, e := range w.events {
		if q := e.request; q.target != nil && w.routers[q.router].id == q.entry {
			k := cellUse{q.cell, q.router}
			l[k] = append(l[k], h.grant(q))
		}
	}

	for _, c := range h.matcher.Cells() {
		for i, r := range w.routers {
			k := cellUse{c.ID, i}
			if !h.usedCells[k] {
				continue
			}

			j := h.home(w, r, c)
			h.granter(c, w.routers[j].id).Sync(epoch.Add(w.now), r.id, h.seq, l[k])

			m := wire.Sync{Cell: c.ID, UpTo: h.seq}
			for _, g := range l[k] {
				m.Grants = append(m.Grants, wire.Grant{Seq: g.ID.Seq, Target: g.Target, Customer: g.Customer})
			}

			h.countBytes(w, i, j, wire.KindSync, 0, &m)
		}
	}
}

// grant returns the grant of a running request.
func (h *homePolicy) grant(q *request) granter.Grant {
	return granter.Grant{
		ID: granter.ID{Entry: q.entry, Seq: q.seq}, Target: h.targetIDs[q.target.index], Customer: q.chat.customer.id, Work: 1,
	}
}

// replicate sends each home's changed placements to the next router in the cell's order
// of homes.
func (h *homePolicy) replicate(w *world) {
	for _, c := range h.matcher.Cells() {
		i := h.home(w, &router{centre: h.targetByID[c.Targets[0].ID].centre}, c)

		j := h.firstHome(w, w.routers[i], c, i)
		if j < 0 {
			continue
		}

		m := wire.HandOver{Cell: c.ID}
		for _, p := range h.granter(c, w.routers[i].id).ChangedPlacements(128, 16) { //nolint:mnd // As in the routers.
			h.granter(c, w.routers[j].id).RecordPlacement(epoch.Add(w.now), p.Chat, p.Placement)
			m.Placements = append(m.Placements, wire.Placement{Chat: p.Chat, Target: p.Target, Tokens: uint32(p.Tokens)}) //nolint:gosec // Not negative.
		}

		if len(m.Placements) > 0 {
			h.countBytes(w, i, j, wire.KindHandOver, 0, &m)
		}
	}
}

// handOver is the transfer of a former home's placements to the new home, up to cursor.
type handOver struct {
	cell   *matcher.Cell
	from   *granter.Granter
	cursor int
}

// continueHandOvers sends the next batch of placements of each former home.
func (h *homePolicy) continueHandOvers(w *world) {
	var l []handOver

	for _, x := range h.handOvers {
		i := h.home(w, &router{centre: h.targetByID[x.cell.Targets[0].ID].centre}, x.cell)
		g := h.granter(x.cell, w.routers[i].id)

		p, next := x.from.Placements().Scan(x.cursor, 2048) //nolint:mnd // As in the routers.
		for _, c := range p {
			g.RecordPlacement(epoch.Add(w.now), c.Chat, c.Placement)
		}

		if x.cursor = next; next > 0 {
			l = append(l, x)
		}
	}

	h.handOvers = l
}

// exchangeCellLoads reports the load of each cell to the homes of the pool's other cells.
func (h *homePolicy) exchangeCellLoads(w *world) {
	for _, c := range h.matcher.Cells() {
		for _, y := range h.matcher.Siblings(c) {
			h.sendCellLoad(w, c, y)
		}
	}
}

func (h *homePolicy) sendCellLoad(w *world, from, to *matcher.Cell) {
	i := h.home(w, &router{centre: h.targetByID[from.Targets[0].ID].centre}, from)
	j := h.home(w, w.routers[i], to)
	l, x := h.granter(from, w.routers[i].id).CellLoad(epoch.Add(w.now))

	h.granter(to, w.routers[j].id).ReportCell(epoch.Add(w.now), from.ID, l, x)
	h.countBytes(w, i, j, wire.KindCellLoad, 0, &wire.CellLoad{From: from.ID, To: to.ID, MilliRequests: uint64(l * skewUnit), Weight: uint32(x)})
}

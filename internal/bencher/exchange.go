package bencher

import (
	"time"

	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// tick does what the routers do from time to time.
func (h *homes) tick(w *world) {
	clear(h.homeOf)

	if w.healed || w.condition == Cut {
		clear(h.assigned)
	}

	// The home outside a cut was the home before it, and is so after it for all
	// entries; those that were cut off find it anew.
	if w.healed {
		clear(h.was)
	}

	if w.now%time.Second != 0 {
		return
	}

	h.tell(w)
	h.replicate(w)
	h.handOver(w)

	if w.now%syncEvery == 0 {
		h.list(w)
	}

	for _, g := range h.granters {
		g.Expire(epoch.Add(w.now))
	}
}

// syncEvery is how often entries send the homes their list of grants.
const syncEvery = 5 * time.Second

// list has each entry send the home of each cell that it uses its whole list.
func (h *homes) list(w *world) {
	l := make(map[usage][]granter.Grant)

	for _, f := range w.running {
		if q := f.request; q.target != nil && w.routers[q.router].id == q.entry {
			k := usage{q.cell, q.router}
			l[k] = append(l[k], h.grant(q))
		}
	}

	for _, c := range h.matcher.Cells() {
		for i, r := range w.routers {
			k := usage{c.ID, i}
			if !h.used[k] {
				continue
			}

			j := h.home(w, r, c)
			h.granter(c, w.routers[j].id).Sync(epoch.Add(w.now), r.id, h.seq, l[k])

			m := wire.Sync{Cell: c.ID, UpTo: h.seq}
			for _, g := range l[k] {
				m.Grants = append(m.Grants, wire.Grant{Seq: g.ID.Seq, Target: g.Target, Customer: g.Customer})
			}

			h.send(w, i, j, wire.KindSync, 0, &m)
		}
	}
}

// grant returns the grant under which a request runs.
func (h *homes) grant(q *request) granter.Grant {
	return granter.Grant{
		ID: granter.ID{Entry: q.entry, Seq: q.seq}, Target: h.ids[q.target.index], Customer: q.chat.customer.id, Work: 1,
	}
}

// replicate has each home pass its new places on to the home after it.
func (h *homes) replicate(w *world) {
	for _, c := range h.matcher.Cells() {
		i := h.home(w, &router{centre: h.byID[c.Targets[0].ID].centre}, c)

		j := h.first(w, w.routers[i], c, i)
		if j < 0 {
			continue
		}

		m := wire.HandOver{Cell: c.ID}
		for _, p := range h.granter(c, w.routers[i].id).ChangedPlacements(128, 16) { //nolint:mnd // As the routers do.
			h.granter(c, w.routers[j].id).RecordPlacement(epoch.Add(w.now), p.Chat, p.Placement)
			m.Places = append(m.Places, wire.Place{Chat: p.Chat, Target: p.Target, Tokens: uint32(p.Tokens)}) //nolint:gosec // Not negative.
		}

		if len(m.Places) > 0 {
			h.send(w, i, j, wire.KindHandOver, 0, &m)
		}
	}
}

// handover is a former home's table on its way to the new one.
type handover struct {
	cell *matcher.Cell
	from *granter.Granter
	at   int
}

// handOver has the former homes of cells that live on pass their places on.
func (h *homes) handOver(w *world) {
	var l []handover

	for _, x := range h.moving {
		i := h.home(w, &router{centre: h.byID[x.cell.Targets[0].ID].centre}, x.cell)
		g := h.granter(x.cell, w.routers[i].id)

		p, next := x.from.Placements().Scan(x.at, 2048) //nolint:mnd // As the routers do.
		for _, c := range p {
			g.RecordPlacement(epoch.Add(w.now), c.Chat, c.Placement)
		}

		if x.at = next; next > 0 {
			l = append(l, x)
		}
	}

	h.moving = l
}

// tell has each cell's home tell those of the pool's other cells of its load.
func (h *homes) tell(w *world) {
	for _, c := range h.matcher.Cells() {
		for _, y := range h.matcher.Siblings(c) {
			h.tellOne(w, c, y)
		}
	}
}

func (h *homes) tellOne(w *world, from, to *matcher.Cell) {
	i := h.home(w, &router{centre: h.byID[from.Targets[0].ID].centre}, from)
	j := h.home(w, w.routers[i], to)
	l, x := h.granter(from, w.routers[i].id).CellLoad(epoch.Add(w.now))

	h.granter(to, w.routers[j].id).ReportCell(epoch.Add(w.now), from.ID, l, x)
	h.send(w, i, j, wire.KindCellLoad, 0, &wire.CellLoad{From: from.ID, To: to.ID, Milli: uint64(l * skewUnit), Weight: uint32(x)})
}

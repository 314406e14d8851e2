package granter

import (
	"time"

	"github.com/auburntray/auburntray/internal/picker"
	"github.com/auburntray/auburntray/internal/placer"
)

const (
	// cellLoadTimeout is how long the reported load of another cell is used.
	cellLoadTimeout = 5 * time.Second
	// forwardThreshold is the ratio of the cell's mean load to the pool's above which new chats are
	// forwarded to the least loaded cell.
	forwardThreshold = 1.02
)

// cellLoad is the load of another cell of the pool, as reported by its home.
type cellLoad struct {
	cell           uint32
	load, capacity float64
	at             time.Time
}

// ReportCell records the load and the capacity of another cell of the pool in the same region. With
// these, the load bound is relative to the mean of the pool and not to the mean of the cell. Chats hash
// to cells unevenly: with a bound relative to each cell, the fullest cell of a large pool remains a
// sixth above the others.
func (g *Granter) ReportCell(now time.Time, cell uint32, load, capacity float64) {
	n := cellLoad{cell: cell, load: load, capacity: capacity, at: now}

	for i, o := range g.otherCells {
		if o.cell == cell {
			g.otherCells[i] = n

			return
		}
	}

	g.otherCells = append(g.otherCells, n)
}

// recentLoad returns the load of another cell, or nil if there is no recent report.
func (g *Granter) recentLoad(now time.Time, cell uint32) *cellLoad {
	for i := range g.otherCells {
		if o := &g.otherCells[i]; o.cell == cell && now.Sub(o.at) < cellLoadTimeout {
			return o
		}
	}

	return nil
}

// CellLoad returns the load and the capacity of the cell's targets in service, for the report to the other
// cells of the pool.
func (g *Granter) CellLoad(now time.Time) (load, capacity float64) {
	c, _ := g.candidates(now, Request{})

	return totalLoad(c)
}

// totalLoad returns the load and the capacity of the usable candidates.
func totalLoad(c []picker.Candidate) (load, capacity float64) {
	for _, x := range c {
		if x.Counted {
			load += x.Load
			capacity += x.Weight
		}
	}

	return load, capacity
}

// otherCellsLoad returns the load and the capacity of the pool's other cells. Both are zero if the
// routing rule selects only some of the cell's targets, since the loads of whole cells do not apply then.
func (g *Granter) otherCellsLoad(now time.Time, a Request) (load, capacity float64) {
	if a.Allowed != nil {
		for _, t := range g.targets {
			if !a.Allowed(t.ID) {
				return 0, 0
			}
		}
	}

	for _, o := range g.otherCells {
		if now.Sub(o.at) < cellLoadTimeout {
			load += o.load
			capacity += o.capacity
		}
	}

	return load, capacity
}

// forward decides whether another cell is to serve the request: the cell to which the chat was forwarded
// before, or, for a new chat while this cell is above the pool's mean, the least loaded cell. It records
// the cell of a forwarded chat, so that the chat's next request is forwarded there without a hint.
func (g *Granter) forward(now time.Time, a Request, c []picker.Candidate, placement int, load, capacity float64) (Verdict, bool) {
	if a.Forwarded || capacity == 0 || placement != picker.NoTarget {
		return Verdict{}, false
	}

	if p, ok := g.placements.Get(a.Chat); ok && a.Chat != 0 {
		if g.recentLoad(now, p.Target) != nil {
			return Verdict{Reason: OtherCell, Cell: p.Target}, true
		}
	}

	l, w := totalLoad(c)
	if w == 0 || l/w <= forwardThreshold*(l+load)/(w+capacity) {
		return Verdict{}, false
	}

	k := g.leastLoadedCell(now)
	if k == nil {
		return Verdict{}, false
	}

	// Forwarded requests are added to the reported load until the next report, which may be a second
	// away; otherwise all requests until then would be forwarded to the same cell.
	k.load++

	if a.Chat != 0 {
		g.storePlacement(now, a.Chat, placer.Placement{Target: k.cell})
	}

	return Verdict{Reason: OtherCell, Cell: k.cell}, true
}

// leastLoadedCell returns the least loaded of the other cells, or nil if no load is recent.
func (g *Granter) leastLoadedCell(now time.Time) *cellLoad {
	var k *cellLoad

	for i := range g.otherCells {
		o := &g.otherCells[i]
		if now.Sub(o.at) >= cellLoadTimeout || o.capacity == 0 {
			continue
		}

		if k == nil || o.load/o.capacity < k.load/k.capacity {
			k = o
		}
	}

	return k
}

package granter

import (
	"time"

	"github.com/auburntray/auburntray/internal/picker"
	"github.com/auburntray/auburntray/internal/placer"
)

const (
	// otherTimeout is how long the load of another cell counts after it was
	// last told.
	otherTimeout = 5 * time.Second
	// spillFactor is how far above the pool's mean a cell's own mean is when it
	// sends new chats to the least loaded cell.
	spillFactor = 1.02
)

// other is another cell of the pool, as its home told of it.
type other struct {
	cell         uint32
	load, weight float64
	at           time.Time
}

// Other takes the load and the capacity of another cell of the pool in the same
// region. With it the bound holds against the mean of the pool and not of each
// cell: chats hash to cells unevenly, and without it the fullest cell of a
// large pool stays a sixth above the others.
func (g *Granter) Other(now time.Time, cell uint32, load, weight float64) {
	n := other{cell: cell, load: load, weight: weight, at: now}

	for i, o := range g.others {
		if o.cell == cell {
			g.others[i] = n

			return
		}
	}

	g.others = append(g.others, n)
}

// fresh returns what is known of another cell, or nil.
func (g *Granter) fresh(now time.Time, cell uint32) *other {
	for i := range g.others {
		if o := &g.others[i]; o.cell == cell && now.Sub(o.at) < otherTimeout {
			return o
		}
	}

	return nil
}

// Total returns the load and the capacity of the cell's targets that are in
// service, to be told to the other cells of the pool.
func (g *Granter) Total(now time.Time) (load, weight float64) {
	c, _ := g.candidates(now, Ask{})

	return sum(c)
}

// sum adds up the candidates that count.
func sum(c []picker.Candidate) (load, weight float64) {
	for _, x := range c {
		if x.Counted {
			load += x.Load
			weight += x.Weight
		}
	}

	return load, weight
}

// outside sums the pool's other cells. For a rule that selects only some of the
// cell's targets the other cells say nothing.
func (g *Granter) outside(now time.Time, a Ask) (load, weight float64) {
	if a.Allowed != nil {
		for _, t := range g.targets {
			if !a.Allowed(t.ID) {
				return 0, 0
			}
		}
	}

	for _, o := range g.others {
		if now.Sub(o.at) < otherTimeout {
			load += o.load
			weight += o.weight
		}
	}

	return load, weight
}

// send decides whether another cell is to serve the request: one that is known
// to hold the chat, or the least loaded one for a chat that is new while this
// cell is above the pool's mean. It remembers where it sent a chat, so that the
// chat finds its way back without a token.
func (g *Granter) send(now time.Time, a Ask, c []picker.Candidate, place int, load, weight float64) (Verdict, bool) {
	if a.Sent || weight == 0 || place != picker.NoTarget {
		return Verdict{}, false
	}

	if p, ok := g.places.Get(a.Chat); ok && a.Chat != 0 {
		if g.fresh(now, p.Target) != nil {
			return Verdict{Reason: Elsewhere, Cell: p.Target}, true
		}
	}

	l, w := sum(c)
	if w == 0 || l/w <= spillFactor*(l+load)/(w+weight) {
		return Verdict{}, false
	}

	k := g.emptiest(now)
	if k == nil {
		return Verdict{}, false
	}

	// The load that was told grows by what is sent there until it is told anew;
	// otherwise all that is sent within a second would go to one cell.
	k.load++

	if a.Chat != 0 {
		g.remember(now, a.Chat, placer.Place{Target: k.cell})
	}

	return Verdict{Reason: Elsewhere, Cell: k.cell}, true
}

// emptiest returns the least loaded of the other cells, or nil.
func (g *Granter) emptiest(now time.Time) *other {
	var k *other

	for i := range g.others {
		o := &g.others[i]
		if now.Sub(o.at) >= otherTimeout || o.weight == 0 {
			continue
		}

		if k == nil || o.load/o.weight < k.load/k.weight {
			k = o
		}
	}

	return k
}

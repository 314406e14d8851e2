package gossiper

import (
	"net/netip"
	"sort"
	"time"

	"github.com/auburntray/auburntray/internal/wire"
)

// Message is gossip with the address that it goes to.
type Message struct {
	To     netip.AddrPort
	Gossip wire.Gossip
}

// partners chooses whom to send to: one of the own data centre and the others
// from everywhere, and now and then one that seems dead, so that two sides of
// a cut find each other again.
func (g *Gossiper) partners(now time.Time) []*entry {
	var near, all, dead []*entry

	for _, e := range g.sorted() {
		switch {
		case e == g.self || e.leaving:
		case !g.live(now, e):
			dead = append(dead, e)
		default:
			all = append(all, e)

			if e.DataCentre == g.self.DataCentre {
				near = append(near, e)
			}
		}
	}

	var o []*entry

	o = g.choose(o, near, 1)
	o = g.choose(o, all, g.settings.Fanout)

	if g.ticks%2 == 0 || len(o) == 0 {
		o = g.choose(o, dead, len(o)+1)
	}

	return o
}

// choose adds random ones of l to o until it has n.
func (g *Gossiper) choose(o, l []*entry, n int) []*entry {
	for _, i := range g.random.Perm(len(l)) {
		if len(o) >= n {
			break
		}

		d := false
		for _, x := range o {
			d = d || x == l[i]
		}

		if !d {
			o = append(o, l[i])
		}
	}

	return o
}

func (g *Gossiper) gossip(revision uint64) wire.Gossip {
	w := wire.Gossip{Revision: revision, Members: []wire.Member{g.self.Introduction()}}
	w.Beats = append(w.Beats, g.stamp(g.self))

	var near, far []*entry

	for _, e := range g.sorted() {
		switch {
		case e == g.self:
		case e.DataCentre == g.self.DataCentre:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}

	for _, e := range append(leastSent(near, g.settings.Near), leastSent(far, g.settings.Far)...) {
		w.Beats = append(w.Beats, g.stamp(e))
	}

	for id := range g.unknown {
		w.Unknown = append(w.Unknown, id)
	}

	clear(g.unknown)

	return w
}

func (g *Gossiper) stamp(e *entry) wire.Beat {
	e.sent++

	return wire.Beat{ID: e.ID, Count: e.count, Leaving: e.leaving}
}

// leastSent returns the n entries that were passed on least often.
func leastSent(l []*entry, n int) []*entry {
	sort.SliceStable(l, func(a, b int) bool { return l[a].sent < l[b].sent })

	return l[:min(n, len(l))]
}

// Introduction returns what introduces the router to others.
func (m Member) Introduction() wire.Member {
	return wire.Member{ID: m.ID, Address: m.Address.String(), Region: m.Region, DataCentre: m.DataCentre}
}

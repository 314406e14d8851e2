package gossiper

import (
	"net/netip"
	"sort"
	"time"

	"github.com/auburntray/auburntray/internal/wire"
)

// Message is gossip with the address of its recipient.
type Message struct {
	To     netip.AddrPort
	Gossip wire.Gossip
}

// partners selects the recipients of a round at random: one live router of this data
// centre, and others from all data centres up to Fanout. Every second round, and when no
// router is live, it adds one that is considered dead, so that the two sides of a network
// partition find each other again.
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

	o = g.sample(o, near, 1)
	o = g.sample(o, all, g.settings.Fanout)

	if g.ticks%2 == 0 || len(o) == 0 {
		o = g.sample(o, dead, len(o)+1)
	}

	return o
}

// sample appends random entries of l that are not in o, until o has n entries.
func (g *Gossiper) sample(o, l []*entry, n int) []*entry {
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

// newGossip returns the message to send to a router in one round.
func (g *Gossiper) newGossip(revision uint64, to Member) wire.Gossip {
	w := wire.Gossip{Revision: revision, Members: []wire.Member{g.self.Introduction()}}
	w.Heartbeats = append(w.Heartbeats, g.beatOf(g.self))

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

	w.Members = append(w.Members, g.introductions(to)...)

	for _, e := range append(leastSent(near, g.settings.NearBeats), leastSent(far, g.settings.FarBeats)...) {
		w.Heartbeats = append(w.Heartbeats, g.beatOf(e))
	}

	for id := range g.unknown {
		w.Unknown = append(w.Unknown, id)
	}

	clear(g.unknown)

	return w
}

const (
	// maxIntroductions is the number of messages in which a router introduces another one,
	// counted separately for receivers inside and outside the data centre of the one
	// introduced. Each receiver introduces it further, so that a few are enough for
	// hundreds of routers.
	maxIntroductions = 4
	// introduceMaxBeats is the beat count from which a router is no longer introduced to
	// others. At one beat a second, all routers know a router after half that time. Without
	// the limit, each new router would introduce routers that the others know already.
	introduceMaxBeats = 20
	// maxNearMembers and maxFarMembers bound the introductions in a message, of about 60
	// bytes each, for routers inside and outside the receiver's data centre. The routers
	// of a data centre need to know each other soon, since they read streams for each
	// other.
	maxNearMembers = 16
	maxFarMembers  = 4
)

// introductions returns the introductions for a message to a router, those sent least often
// first. Introductions are needed because a beat contains only an ID. A receiver that
// does not know the ID has to request the introduction, and when all routers start at once,
// the routers that receive this request do not know the ID either.
func (g *Gossiper) introductions(to Member) []wire.Member {
	var near, far []*entry

	for _, e := range g.sorted() {
		switch {
		case e.ID == to.ID || e == g.self || e.leaving || e.beatCount >= introduceMaxBeats:
		case e.DataCentre == to.DataCentre && e.introducedNear < maxIntroductions:
			near = append(near, e)
		case e.DataCentre != to.DataCentre && e.introducedFar < maxIntroductions:
			far = append(far, e)
		}
	}

	sort.SliceStable(near, func(a, b int) bool { return near[a].introducedNear < near[b].introducedNear })
	sort.SliceStable(far, func(a, b int) bool { return far[a].introducedFar < far[b].introducedFar })

	var o []wire.Member

	for _, e := range near[:min(len(near), maxNearMembers)] {
		e.introducedNear++
		o = append(o, e.Introduction())
	}

	for _, e := range far[:min(len(far), maxFarMembers)] {
		e.introducedFar++
		o = append(o, e.Introduction())
	}

	return o
}

// beatOf returns a router's beat and counts that it is sent.
func (g *Gossiper) beatOf(e *entry) wire.Heartbeat {
	e.sent++

	return wire.Heartbeat{ID: e.ID, Count: e.beatCount, Leaving: e.leaving}
}

// leastSent returns up to n entries, those whose beats were sent least often.
func leastSent(l []*entry, n int) []*entry {
	sort.SliceStable(l, func(a, b int) bool { return l[a].sent < l[b].sent })

	return l[:min(n, len(l))]
}

// Introduction returns the message with which routers introduce this member to others.
func (m Member) Introduction() wire.Member {
	return wire.Member{ID: m.ID, Address: m.Address.String(), Region: m.Region, DataCentre: m.DataCentre}
}

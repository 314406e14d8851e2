package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// buckets is the number of buckets in which two routers compare their members. A change concerns one bucket.
	buckets = 32
	// maxListed is the number of members, of about 20 bytes each, from which a list is not continued with a further
	// bucket.
	maxListed = 128
	// witnessTime is how long after a router was heard of a report that it is dead is contradicted.
	witnessTime = 2 * time.Second
)

func bucket(id uint64) int { return int((id >> LinkClassBits) % buckets) }

// digest returns the digest of all live members.
func (g *Gossiper) digest() uint64 {
	var o uint64
	for _, d := range g.digests {
		o ^= d
	}

	return o
}

// Source is a router that knows other members than this one.
type Source struct {
	Address netip.AddrPort

	digest uint64
	// stranger reports that this router did not know the source. When many start at once, each asks a seed for one list
	// only, and others for the rest.
	stranger bool
	lists    int
}

// NextSource returns a router from which members are to be requested, or false if there is none at present. Merge and
// then Requested follow.
func (g *Gossiper) NextSource() (Source, bool) {
	for len(g.sources) > 0 {
		s := g.sources[0]
		g.sources = g.sources[1:]

		if s.digest != g.digest() {
			return s, true
		}
	}

	return Source{}, false
}

// Requested applies that a source has sent a list with a number of members. After a full one, the next is requested.
func (g *Gossiper) Requested(s Source, members int) {
	s.lists++

	if members >= maxListed && !s.stranger && s.lists < buckets {
		g.sources = slices.Insert(g.sources, 0, s)
	}
}

// Digests returns the digests to request the members with in which another router differs.
func (g *Gossiper) Digests() []uint64 {
	return append([]uint64(nil), g.digests[:]...)
}

// Members returns the members, dead ones included, of the buckets whose digests differ from the given ones. If they are
// too many for one list, the list begins with a random bucket.
func (g *Gossiper) Members(digests []uint64) *wire.MemberList {
	var differs [buckets][]*entry

	if len(digests) != buckets {
		return &wire.MemberList{}
	}

	for id, e := range g.entries {
		if p := bucket(id); digests[p] != g.digests[p] {
			differs[p] = append(differs[p], e)
		}
	}

	var l []*entry

	for n, i := 0, g.random.IntN(buckets); n < buckets && len(l) < maxListed; n++ {
		l = append(l, differs[(i+n)%buckets]...)
	}

	return list(l)
}

// HasChanges reports whether there are changes to send.
func (g *Gossiper) HasChanges() bool { return len(g.changes) > 0 }

// Changes returns the changes since the last call and the routers to which they are to be sent.
func (g *Gossiper) Changes() (*wire.MemberList, []netip.AddrPort) {
	if len(g.changes) == 0 {
		return nil, nil
	}

	var l []*entry

	for id := range g.changes {
		if e, ok := g.entries[id]; ok {
			l = append(l, e)
		}
	}

	clear(g.changes)

	var o []netip.AddrPort

	for _, e := range g.neighbors() {
		if e.state != aliveEarlier {
			o = append(o, e.Address)
		}
	}

	return list(l), o
}

// Merge applies a list of members and returns their number. Changes are sent on to the neighbors if spread is set.
// Members with an invalid address are ignored.
func (g *Gossiper) Merge(now time.Time, l *wire.MemberList, spread bool) int {
	o := 0

	for _, c := range l.Centres {
		o += len(c.Members)

		for _, m := range c.Members {
			var a netip.AddrPort
			if err := a.UnmarshalBinary(m.Address); err != nil || !a.IsValid() || m.State > uint8(leaving) {
				continue
			}

			g.merge(now, Member{ID: m.ID, Address: a, Region: c.Region, DataCentre: c.DataCentre}, state(m.State), m.Count, spread)
		}
	}

	return o
}

// merge applies the state of one member.
func (g *Gossiper) merge(now time.Time, m Member, s state, count uint32, spread bool) {
	e, ok := g.entries[m.ID]

	switch {
	case !ok && g.accepts(now, m):
		g.add(now, m, s, count)

		if spread {
			g.changes[m.ID] = true
		}
	case !ok || e.state == leaving:
	case s == leaving && e != g.self:
		g.set(now, e, leaving, max(count, e.count), spread)
	case count < e.count || count == e.count && s <= e.state || s == leaving:
	case s == dead && (e == g.self || now.Sub(e.heard) < witnessTime):
		g.set(now, e, e.state, count+1, true) // It is not dead.
	case e == g.self:
		e.count = count
	default:
		g.set(now, e, s, count, spread)
	}
}

// list returns the description of members, in groups by data centre.
func list(l []*entry) *wire.MemberList {
	o := &wire.MemberList{}
	i := make(map[string]int)

	for _, e := range l {
		a, err := e.Address.MarshalBinary()
		if err != nil {
			continue // It never fails for a valid address.
		}

		n, ok := i[e.DataCentre]
		if !ok {
			n = len(o.Centres)
			i[e.DataCentre] = n
			o.Centres = append(o.Centres, wire.CentreMembers{Region: e.Region, DataCentre: e.DataCentre})
		}

		o.Centres[n].Members = append(o.Centres[n].Members, wire.MemberState{ID: e.ID, Address: a, Count: e.count, State: uint8(e.state)})
	}

	return o
}

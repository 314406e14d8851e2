// Package gossiper determines which routers are live from the heartbeats ("beats" for
// short) that they relay to each other.
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/auburntray/auburntray/internal/wire"
)

// deadRetention is how long a dead router remains known, so that delayed gossip does not
// make it count as live again.
const deadRetention = 10 * time.Minute

// Member describes a router to the others. Its ID is higher than that of any earlier
// process at its address, see joiner.NewID.
type Member struct {
	ID         uint64
	Address    netip.AddrPort
	Region     string
	DataCentre string
}

// entry is what a Gossiper knows about one router.
type entry struct {
	Member

	// beatCount is the number in the router's latest beat, which arrived at lastBeat.
	beatCount uint32
	leaving   bool
	lastBeat  time.Time
	// suspected is when a call to the router last failed; zero if there was a beat since.
	suspected time.Time
	// sent is how often this router has sent the beat of the entry's router.
	sent int
	// introducedNear and introducedFar are the numbers of messages in which the entry's
	// router was introduced to routers of its own data centre and of others.
	introducedNear, introducedFar int
}

// Gossiper holds one router's knowledge of the others. It is not safe for concurrent use.
type Gossiper struct {
	settings Settings
	random   *rand.Rand
	self     *entry
	entries  map[uint64]*entry
	// unknown contains the IDs in received beats for which there is no entry yet.
	unknown map[uint64]bool
	ticks   int
	keys    []Key
	view    view
}

// New returns a Gossiper that knows only self, the router that it runs on.
func New(s Settings, r *rand.Rand, self Member) *Gossiper {
	e := &entry{Member: self, beatCount: 1}

	return &Gossiper{
		settings: s,
		random:   r,
		self:     e,
		entries:  map[uint64]*entry{self.ID: e},
		unknown:  make(map[uint64]bool),
	}
}

// Introduce adds a router, which counts as live from now until its timeout. It does
// nothing if the router is known already, or if its address is that of this router or of
// a live router with a higher ID.
func (g *Gossiper) Introduce(now time.Time, m Member) {
	if _, ok := g.entries[m.ID]; ok {
		return
	}

	for id, e := range g.entries {
		if e.Address != m.Address {
			continue
		}

		// A lower ID is usually from delayed gossip about an earlier process at the address,
		// and is ignored. But a process that starts while its clock is behind also has a
		// lower ID than its predecessor; it is accepted once the predecessor counts as dead.
		if e.ID > m.ID && g.live(now, e) || e == g.self {
			return
		}

		delete(g.entries, id)
	}

	delete(g.unknown, m.ID)
	g.invalidateView()
	g.entries[m.ID] = &entry{Member: m, lastBeat: now}
}

// Leave marks this router as shutting down. The gossip of the next ticks notifies the
// others.
func (g *Gossiper) Leave() {
	g.self.leaving = true
	g.invalidateView()
}

// Suspect excludes a router from the live ones for SuspectFor or until its next beat,
// because a call to it failed. A failed call reveals a dead router within milliseconds,
// missing beats only within seconds. A call with the ID of this router has no effect.
func (g *Gossiper) Suspect(now time.Time, id uint64) {
	if e, ok := g.entries[id]; ok && e != g.self {
		e.suspected = now
		g.invalidateView()
	}
}

// Tick increments this router's beat count and returns the gossip to send. The revision
// is that of this router's configuration.
func (g *Gossiper) Tick(now time.Time, revision uint64) []Message {
	g.self.beatCount++
	g.self.lastBeat = now
	g.ticks++
	g.prune(now)

	var o []Message

	for _, e := range g.partners(now) {
		o = append(o, Message{To: e.Address, Gossip: g.newGossip(revision, e.Member)})
	}

	return o
}

// IntroductionsFor returns the introductions to send to a new router: this router, and if
// the new one is known, routers of its data centre and a few others.
func (g *Gossiper) IntroductionsFor(id uint64) []wire.Member {
	o := []wire.Member{g.self.Introduction()}
	if e, ok := g.entries[id]; ok {
		o = append(o, g.introductions(e.Member)...)
	}

	return o
}

// Receive applies gossip and returns the introductions that its sender requested.
// Members with an invalid address are ignored.
func (g *Gossiper) Receive(now time.Time, w wire.Gossip) []wire.Member {
	for _, m := range w.Members {
		a, err := netip.ParseAddrPort(m.Address)
		if err == nil {
			g.Introduce(now, Member{ID: m.ID, Address: a, Region: m.Region, DataCentre: m.DataCentre})
		}
	}

	for _, b := range w.Heartbeats {
		g.applyBeat(now, b)
	}

	var o []wire.Member

	for _, id := range w.Unknown {
		if e, ok := g.entries[id]; ok {
			o = append(o, e.Introduction())
		}
	}

	return o
}

// Live returns the routers that are live, neither leaving nor suspected, in the order of
// their IDs. This router is among them until it leaves. Callers must not change the
// result. It may be up to viewTTL old, but reflects calls of Suspect immediately.
func (g *Gossiper) Live(now time.Time) []Member {
	return g.viewAt(now).live
}

// listLive computes the result of Live.
func (g *Gossiper) listLive(now time.Time) []Member {
	o := make([]Member, 0, len(g.entries))

	for _, e := range g.entries {
		if !e.leaving && g.live(now, e) && now.Sub(e.suspected) >= g.settings.SuspectFor {
			o = append(o, e.Member)
		}
	}

	sort.Slice(o, func(a, b int) bool { return o[a].ID < o[b].ID })

	return o
}

// Address returns the address of a router, or false if it is not known.
func (g *Gossiper) Address(id uint64) (netip.AddrPort, bool) {
	e, ok := g.entries[id]
	if !ok {
		return netip.AddrPort{}, false
	}

	return e.Address, true
}

// Homes returns the home of a key and then the routers that would succeed it as home, as
// assigned by Assign, at most number routers in total. The result is empty only if this
// router is leaving and no other is live.
func (g *Gossiper) Homes(now time.Time, key uint64, centres []string, number int) []Member {
	o := g.viewAt(now).homeAndSuccessors(Key{Key: key, Centres: centres})

	return o[:min(len(o), number)]
}

// SetKeys sets the keys whose homes are spread over different routers, see Assign.
func (g *Gossiper) SetKeys(k []Key) {
	g.keys = k
	g.view = view{}
}

func (g *Gossiper) live(now time.Time, e *entry) bool {
	if e == g.self {
		return true
	}

	if e.DataCentre == g.self.DataCentre {
		return now.Sub(e.lastBeat) < g.settings.NearTimeout
	}

	return now.Sub(e.lastBeat) < g.settings.FarTimeout
}

// applyBeat records a router's beat. Only a higher count proves that the router is alive,
// since delayed gossip contains counts that were received before.
func (g *Gossiper) applyBeat(now time.Time, b wire.Heartbeat) {
	e, ok := g.entries[b.ID]
	if !ok {
		g.unknown[b.ID] = true

		return
	}

	if e == g.self || b.Count <= e.beatCount {
		return
	}

	e.beatCount = b.Count
	e.lastBeat = now

	if !e.suspected.IsZero() || b.Leaving {
		g.invalidateView()
	}

	e.suspected = time.Time{}
	// Leaving is final for a process; its successor at the address has another ID.
	e.leaving = e.leaving || b.Leaving
}

// prune deletes routers without a new beat for more than deadRetention.
func (g *Gossiper) prune(now time.Time) {
	for id, e := range g.entries {
		if e != g.self && now.Sub(e.lastBeat) > deadRetention {
			delete(g.entries, id)
		}
	}
}

// sorted returns all entries in the order of their IDs.
func (g *Gossiper) sorted() []*entry {
	o := make([]*entry, 0, len(g.entries))
	for _, e := range g.entries {
		o = append(o, e)
	}

	sort.Slice(o, func(a, b int) bool { return o[a].ID < o[b].ID })

	return o
}

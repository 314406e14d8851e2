// Package gossiper determines which routers are live.
//
// Each router probes a few others and declares one of its data centre dead when it has not answered for a while.
// Only changes of the membership are sent to all. What a router sends does therefore not depend on the size of the
// fleet.
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/hasher"
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

// Introduction returns the message with which routers introduce this member to others.
func (m Member) Introduction() wire.Member {
	return wire.Member{ID: m.ID, Address: m.Address.String(), Region: m.Region, DataCentre: m.DataCentre}
}

// state is what is known of a member. Of two states with the same count, the higher one is in force.
type state uint8

const (
	alive state = iota
	// aliveEarlier is the state of a live member of an earlier release, which needs beats to consider others live.
	aliveEarlier
	dead
	// leaving is final for a process; its successor at the address has another ID.
	leaving
)

// entry is what a Gossiper knows about one router.
type entry struct {
	Member

	state state
	// count increases when a router that was declared dead proves to be alive.
	count uint32
	// position determines the neighbors of a router.
	position uint64
	// diedAt is when the router was last alive as far as this one knows.
	diedAt time.Time
	// heard is when the router last sent something to this one or answered it; zero if it never did.
	heard time.Time
	// failures is the number of consecutive probes that the router has not answered.
	failures int
	// suspected is when a call to the router last failed; zero if it was heard of since.
	suspected time.Time
	// introduced reports that the router knows this one.
	introduced bool
}

func (e *entry) isAlive() bool { return e.state == alive || e.state == aliveEarlier }

// centre is what a Gossiper knows about a data centre.
type centre struct {
	// beat is the highest beat, which arrived at heard.
	beat  uint64
	heard time.Time
}

// Gossiper holds one router's knowledge of the others. It is not safe for concurrent use.
type Gossiper struct {
	settings  Settings
	random    *rand.Rand
	self      *entry
	entries   map[uint64]*entry
	addresses map[netip.AddrPort]*entry
	centres   map[string]*centre
	// digests are the digests of the live members, by bucket.
	digests [buckets]uint64
	// gone and earlier contain the dead or leaving members, and the live ones of earlier releases.
	gone, earlier map[uint64]*entry
	// changes contains the members whose changes are to be sent to the neighbors.
	changes map[uint64]bool
	// sources are the routers to request members from.
	sources []Source
	ticks   uint64
	// lastTick is the time of the last tick, and stalledAt when a tick last came late.
	lastTick, stalledAt time.Time
	// heard and heardNear are when any router, and one of this data centre, last sent something to this one or
	// answered it.
	heard, heardNear time.Time
	keys             []Key
	// version increases when the live members change. ring is that of ringVersion.
	version, ringVersion uint64
	ring                 ring
	view                 view
}

// New returns a Gossiper that knows only self, the router that it runs on.
func New(s Settings, r *rand.Rand, self Member) *Gossiper {
	g := &Gossiper{
		settings:  s,
		random:    r,
		entries:   make(map[uint64]*entry),
		addresses: make(map[netip.AddrPort]*entry),
		centres:   make(map[string]*centre),
		gone:      make(map[uint64]*entry),
		earlier:   make(map[uint64]*entry),
		changes:   make(map[uint64]bool),
	}
	g.self = g.add(time.Time{}, self, alive, 0)

	return g
}

// Introduce adds a router, which counts as live until it is declared dead. It does
// nothing if the router is known already, or if its address is that of this router or of
// a live router with a higher ID.
func (g *Gossiper) Introduce(now time.Time, m Member) {
	if _, ok := g.entries[m.ID]; ok || !g.accepts(now, m) {
		return
	}

	g.add(now, m, alive, 0)
	g.changes[m.ID] = true
}

// accepts reports whether an unknown router can be added. It removes an earlier process at the router's address.
//
// A lower ID is usually from delayed gossip about an earlier process at the address, and is ignored. But a process
// that starts while its clock is behind also has a lower ID than its predecessor; it is accepted once the predecessor
// counts as dead.
func (g *Gossiper) accepts(now time.Time, m Member) bool {
	e, ok := g.addresses[m.Address]
	if !ok {
		return true
	}

	if e == g.self || e.ID > m.ID && e.isAlive() && g.reachable(now, e) {
		return false
	}

	g.remove(e)

	return true
}

// add adds a router with a state.
func (g *Gossiper) add(now time.Time, m Member, s state, count uint32) *entry {
	e := &entry{Member: m, count: count, state: s, position: hasher.Mix(m.ID, 0), diedAt: now}
	g.entries[m.ID] = e
	g.addresses[m.Address] = e

	if g.centres[m.DataCentre] == nil {
		g.centres[m.DataCentre] = &centre{heard: now}
	}

	if g.self != nil && m.DataCentre == g.self.DataCentre && g.heardNear.IsZero() {
		g.heardNear = now
	}

	g.toggle(e)
	g.file(e)

	return e
}

// remove forgets a router.
func (g *Gossiper) remove(e *entry) {
	g.toggle(e)
	delete(g.entries, e.ID)
	delete(g.gone, e.ID)
	delete(g.earlier, e.ID)

	if g.addresses[e.Address] == e {
		delete(g.addresses, e.Address)
	}
}

// toggle adds a router to the digests or removes it from them, if it is alive.
func (g *Gossiper) toggle(e *entry) {
	if e.isAlive() {
		g.digests[bucket(e.ID)] ^= hasher.Mix(hasher.Mix(e.ID, uint64(e.count)), uint64(e.state))
		g.version++
	}
}

// file adds a router to the lists of its state.
func (g *Gossiper) file(e *entry) {
	delete(g.gone, e.ID)
	delete(g.earlier, e.ID)

	switch e.state {
	case aliveEarlier:
		g.earlier[e.ID] = e
	case dead, leaving:
		g.gone[e.ID] = e
	default:
	}
}

// set changes the state of a router. The change is sent to the neighbors if spread is set.
func (g *Gossiper) set(now time.Time, e *entry, s state, count uint32, spread bool) {
	g.toggle(e)

	if e.isAlive() {
		e.diedAt = now
	}

	e.state, e.count = s, count
	g.toggle(e)
	g.file(e)

	if spread {
		g.changes[e.ID] = true
	}
}

// Leave marks this router as shutting down. The next changes notify the others.
func (g *Gossiper) Leave(now time.Time) {
	g.set(now, g.self, leaving, g.self.count, true)
}

// Suspect excludes a router from the live ones for SuspectFor or until it is heard of,
// because a call to it failed. A failed call reveals a dead router within milliseconds,
// missing answers only within seconds. A call with the ID of this router has no effect.
func (g *Gossiper) Suspect(now time.Time, id uint64) {
	if e, ok := g.entries[id]; ok && e != g.self {
		e.suspected = now
		g.version++
	}
}

// Live returns the routers that are live, neither leaving nor suspected, in the order of
// their IDs. This router is among them until it leaves. Callers must not change the
// result. It may be up to viewTTL old, but reflects calls of Suspect immediately.
func (g *Gossiper) Live(now time.Time) []Member {
	return g.viewAt(now).live
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

// reachable reports whether a live router can be reached as far as this one knows. Routers that are cut off from this
// one are not declared dead: those of other data centres are unreachable while the beats of their data centre do not
// arrive, and those of this data centre while none of them is heard of.
func (g *Gossiper) reachable(now time.Time, e *entry) bool {
	if e == g.self {
		return true
	}

	if e.DataCentre == g.self.DataCentre {
		return now.Sub(g.heardNear) < g.settings.NearTimeout
	}

	return now.Sub(g.centres[e.DataCentre].heard) < g.settings.FarTimeout
}

// prune deletes dead and leaving routers after deadRetention, and those of data centres that have been unreachable
// for as long.
func (g *Gossiper) prune(now time.Time) {
	for _, e := range g.gone {
		if e != g.self && now.Sub(e.diedAt) > deadRetention {
			g.remove(e)
		}
	}

	for n, c := range g.centres {
		if n != g.self.DataCentre && now.Sub(c.heard) > deadRetention {
			g.removeCentre(n)
		}
	}
}

// removeCentre forgets a data centre and its routers.
func (g *Gossiper) removeCentre(name string) {
	for _, e := range g.entries {
		if e.DataCentre == name {
			g.remove(e)
		}
	}

	delete(g.centres, name)
}

package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/wire"
)

// Probe is a request that the router with the ID has to answer.
type Probe struct {
	ID     uint64
	To     netip.AddrPort
	Gossip wire.Gossip
}

// Message is gossip with the address of its recipient.
type Message struct {
	To     netip.AddrPort
	Gossip wire.Gossip
}

const (
	// ProbeTimeout is how long a probed router may take to answer.
	ProbeTimeout = 500 * time.Millisecond
	// InquiryTimeout is how long routers that probe another one on behalf of this one may take to answer.
	InquiryTimeout = 600 * time.Millisecond
	// maxFailures is the number of consecutive probes without an answer after which others are asked whether the
	// router answers them.
	maxFailures = 5
	// inquiries is how many routers are asked.
	inquiries = 3
	// lateTick is the interval between two ticks from which this router counts as stalled in between.
	lateTick = 1500 * time.Millisecond
	// lateFailure is how long after its probe a failure may be reported while this router is not stalled.
	lateFailure = ProbeTimeout + 250*time.Millisecond
	// contactTimeout is how long ago any router must have been heard of for this router to declare others dead.
	// Otherwise it may itself be cut off.
	contactTimeout = 2 * time.Second
	// earlierNearTicks and earlierFarTicks are the intervals, in ticks, at which a router sends its beat to one of
	// an earlier release, of its own data centre and of another. They are below the time-outs there.
	earlierNearTicks = 2
	earlierFarTicks  = 5
)

// Tick returns the probes of a round, and the beats for routers of earlier releases. The revision is that of this
// router's configuration.
func (g *Gossiper) Tick(now time.Time, revision uint64) ([]Probe, []Message) {
	if !g.lastTick.IsZero() && now.Sub(g.lastTick) >= lateTick {
		g.stalledAt = now
	}

	g.lastTick = now
	g.ticks++
	g.prune(now)
	g.beat(now, g.self.DataCentre)

	var o []Probe

	for _, e := range g.neighbors() {
		o = append(o, g.newProbe(revision, e))
	}

	// Two groups that were cut off from each other may have declared each other dead.
	if g.ticks%2 == 0 {
		if e := g.sample(g.gone, func(e *entry) bool { return e.state == dead }); e != nil {
			o = append(o, g.newProbe(revision, e))
		}
	}

	return o, g.earlierBeats(revision)
}

// Greeting returns the gossip for an address at which no router is known.
func (g *Gossiper) Greeting(revision uint64) wire.Gossip {
	return wire.Gossip{Revision: revision, Heartbeats: []wire.Heartbeat{g.selfBeat()}, Members: []wire.Member{g.self.Introduction()}}
}

func (g *Gossiper) newProbe(revision uint64, e *entry) Probe {
	w := g.Greeting(revision)
	if e.introduced {
		w.Members = nil
	}

	return Probe{ID: e.ID, To: e.Address, Gossip: w}
}

// selfBeat returns the beat of this router, from which routers of earlier releases see that it is alive.
func (g *Gossiper) selfBeat() wire.Heartbeat {
	return wire.Heartbeat{ID: g.self.ID, Count: uint32(g.ticks), Leaving: g.self.state == leaving} //nolint:gosec // One a second.
}

// beat increments the beat of a data centre of which a router is alive.
func (g *Gossiper) beat(now time.Time, name string) {
	c := g.centres[name]
	c.beat++
	c.heard = now
}

// earlierBeats returns the beat of this router for routers of earlier releases. They do not learn from probes of
// others that this router is alive.
func (g *Gossiper) earlierBeats(revision uint64) []Message {
	var o []Message

	for _, x := range []struct {
		interval uint64
		near     bool
	}{{earlierNearTicks, true}, {earlierFarTicks, false}} {
		if g.ticks%x.interval != 0 {
			continue
		}

		e := g.sample(g.earlier, func(e *entry) bool { return x.near == (e.DataCentre == g.self.DataCentre) })
		if e != nil {
			o = append(o, Message{To: e.Address, Gossip: g.Greeting(revision)})
		}
	}

	return o
}

// sample returns a random one of the selected entries, or nil if there is none.
func (g *Gossiper) sample(l map[uint64]*entry, selects func(*entry) bool) *entry {
	var o *entry

	n := 0

	for _, e := range l {
		if !selects(e) {
			continue
		}

		n++
		if g.random.IntN(n) == 0 {
			o = e
		}
	}

	return o
}

// Receive applies gossip from a router and returns the introductions that it requested.
// Members with an invalid address are ignored.
func (g *Gossiper) Receive(now time.Time, from uint64, w wire.Gossip) []wire.Member {
	for _, m := range w.Members {
		a, err := netip.ParseAddrPort(m.Address)
		if err == nil {
			g.Introduce(now, Member{ID: m.ID, Address: a, Region: m.Region, DataCentre: m.DataCentre})
		}
	}

	g.hear(now, from)

	for _, b := range w.Heartbeats {
		if e, ok := g.entries[b.ID]; ok && b.Leaving && e != g.self && e.state != leaving {
			g.set(now, e, leaving, e.count, true)
		}
	}

	var o []wire.Member

	for _, id := range w.Unknown {
		if e, ok := g.entries[id]; ok {
			o = append(o, e.Introduction())
		}
	}

	return o
}

// Reply returns the reply to gossip from a router.
func (g *Gossiper) Reply(from, revision uint64, w wire.Gossip) *wire.GossipReply {
	_, ok := g.entries[from]
	o := &wire.GossipReply{From: g.self.ID, Revision: revision, Digest: g.digest(), Unknown: !ok}

	for n, c := range g.centres {
		o.Beats = append(o.Beats, wire.CentreBeat{DataCentre: n, Count: c.beat})
	}

	if len(w.Members) > 0 {
		o.Members = []wire.Member{g.self.Introduction()}
	}

	return o
}

// Acknowledge applies the reply to a probe of the router with an ID, which is zero for a greeting. If the replying
// router knows other members, it becomes a source.
func (g *Gossiper) Acknowledge(now time.Time, id uint64, r *wire.GossipReply) {
	if e, ok := g.entries[id]; ok && r.From != id && e.isAlive() {
		g.set(now, e, dead, e.count, true) // Another process has its address.
	}

	g.Receive(now, r.From, wire.Gossip{Members: r.Members})

	for _, b := range r.Beats {
		c := g.centres[b.DataCentre]
		if c != nil && b.Count > c.beat {
			c.beat, c.heard = b.Count, now
		}
	}

	e, ok := g.entries[r.From]
	if !ok {
		return
	}

	e.introduced = !r.Unknown

	if r.Digest != g.digest() {
		g.sources = slices.DeleteFunc(g.sources, func(s Source) bool { return s.Address == e.Address })
		g.sources = append(g.sources, Source{Address: e.Address, digest: r.Digest, stranger: id == 0})
	}
}

// AcknowledgeEarlier applies that a router has refused a probe: it is alive, and of an earlier release.
func (g *Gossiper) AcknowledgeEarlier(now time.Time, id uint64) {
	g.hear(now, id)

	if e, ok := g.entries[id]; ok && e.state == alive {
		g.set(now, e, aliveEarlier, e.count, true)
	}
}

// AcknowledgeIndirect applies that a router has answered another one.
func (g *Gossiper) AcknowledgeIndirect(id uint64) {
	if e, ok := g.entries[id]; ok {
		e.failures = 0
	}
}

// hear applies that a router has sent something to this one or answered it, which proves that it is alive.
func (g *Gossiper) hear(now time.Time, id uint64) {
	e, ok := g.entries[id]
	if !ok || e == g.self {
		return
	}

	g.heard = now
	g.beat(now, e.DataCentre)

	if e.DataCentre == g.self.DataCentre {
		g.heardNear = now
	}

	e.heard, e.failures = now, 0

	if !e.suspected.IsZero() {
		e.suspected = time.Time{}
		g.version++
	}

	if e.state == dead {
		g.set(now, e, alive, e.count+1, true)
	}
}

// Fail applies that a router did not answer the probe sent at the given time. If this was one too many, it returns
// routers which are to be asked whether they can reach it; Declare follows if none can. A router that was stalled
// itself draws no conclusion.
func (g *Gossiper) Fail(now, sent time.Time, id uint64) (inquire []Member, last bool) {
	e, ok := g.entries[id]
	if !ok || !e.isAlive() || now.Sub(sent) > lateFailure || !g.stalledAt.Before(sent) {
		return nil, false
	}

	e.failures++

	if e.DataCentre != g.self.DataCentre || e.failures < maxFailures || now.Sub(g.heard) > contactTimeout {
		return nil, false
	}

	return g.helpers(e), true
}

// helpers returns random routers that answer, those of this data centre first.
func (g *Gossiper) helpers(subject *entry) []Member {
	var o []Member

	for _, l := range [][]*entry{g.ring.near, g.ring.all} {
		for _, i := range g.random.Perm(len(l)) {
			e := l[i]
			if len(o) < inquiries && e != subject && e.state == alive && e.failures == 0 && !slices.Contains(o, e.Member) {
				o = append(o, e.Member)
			}
		}
	}

	return o
}

// Declare declares a router dead unless it was heard of since Fail.
func (g *Gossiper) Declare(now time.Time, id uint64) bool {
	e, ok := g.entries[id]
	if !ok || !e.isAlive() || e.failures < maxFailures {
		return false
	}

	g.set(now, e, dead, e.count, true)

	return true
}

package gossiper_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/wire"
)

var start = time.Unix(1_800_000_000, 0)

const (
	// step is the resolution of the simulated time, and stepsPerTick the number of steps between ticks.
	step         = 100 * time.Millisecond
	stepsPerTick = 10
)

func member(id uint64, centre string) gossiper.Member {
	return gossiper.Member{
		ID: id, Region: "r", DataCentre: centre,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 80),
	}
}

// node is one router of a simulated fleet.
type node struct {
	gossiper.Member

	gossiper *gossiper.Gossiper
	// dead and frozen nodes neither send nor answer, and earlier ones are of an earlier release: they refuse probes.
	dead, frozen, earlier bool
	requesting            bool
}

// fleet delivers the messages of Gossipers as a joiner.Joiner does, in simulated time.
type fleet struct {
	nodes     []*node
	addresses map[netip.AddrPort]*node
	random    *rand.Rand
	now       time.Time
	steps     int
	seeds     []netip.AddrPort
	// loss is the fraction of messages that are lost, and cut reports whether two routers can't reach each other.
	loss float64
	cut  func(a, b *node) bool
	// later contains what is done at a step.
	later map[int][]func()
	// bytes and messages are counted for all kinds together, and sent by the IDs of the senders.
	bytes, messages, declared int
	sent                      map[uint64]int
	onBeat                    func(from, to *node)
}

// newFleet returns a fleet in which all know each other.
func newFleet(n, centres int) *fleet {
	f := newStartingFleet(n, centres)

	for _, m := range f.nodes {
		for _, o := range f.nodes {
			m.gossiper.Introduce(f.now, o.Member)
		}

		m.gossiper.Changes()
	}

	return f
}

// newStartingFleet returns a fleet in which each knows itself only.
func newStartingFleet(n, centres int) *fleet {
	f := &fleet{
		addresses: make(map[netip.AddrPort]*node), now: start, random: rand.New(rand.NewPCG(uint64(n), 1)),
		cut: func(_, _ *node) bool { return false }, later: make(map[int][]func()), sent: make(map[uint64]int),
	}

	for k := range n {
		f.add(uint64(k+1), "dc-"+strconv.Itoa(k%centres))
	}

	return f
}

func (f *fleet) add(id uint64, centre string) *node {
	m := member(id, centre)
	m.ID = id<<gossiper.LinkClassBits | 1<<62 // The ID is encoded in as many bytes as a real one.
	n := &node{Member: m, gossiper: gossiper.New(gossiper.DefaultSettings(), rand.New(rand.NewPCG(id, 1)), m)}
	f.nodes = append(f.nodes, n)
	f.addresses[m.Address] = n

	return n
}

// startWithSeeds makes the first three routers the seeds of all.
func (f *fleet) startWithSeeds() {
	for _, n := range f.nodes[:3] {
		f.seeds = append(f.seeds, n.Address)
	}
}

// run lets seconds pass.
func (f *fleet) run(seconds int) {
	for range seconds * stepsPerTick {
		f.step()
	}
}

func (f *fleet) step() {
	f.now = f.now.Add(step)
	f.steps++

	for _, g := range f.later[f.steps] {
		g()
	}

	delete(f.later, f.steps)

	for k, n := range f.nodes {
		if n.dead || n.frozen {
			continue
		}

		if (f.steps+k)%stepsPerTick == 0 {
			f.tick(n)
		}

		if n.gossiper.HasChanges() && !n.earlier {
			f.sendChanges(n)
		}
	}
}

// after does something after a time.
func (f *fleet) after(d time.Duration, g func()) {
	k := f.steps + int(d/step)
	f.later[k] = append(f.later[k], g)
}

// arrives counts a message and reports whether it arrives.
func (f *fleet) arrives(from, to *node, size int) bool {
	f.bytes += size
	f.messages++
	f.sent[from.ID] += size

	return to != nil && !to.dead && !to.frozen && !f.cut(from, to) && (f.loss == 0 || f.random.Float64() >= f.loss)
}

func (f *fleet) tick(n *node) {
	if n.earlier {
		return
	}

	l, beats := n.gossiper.Tick(f.now, 1)
	for _, a := range f.seeds {
		if f.addresses[a] != n && !slices.ContainsFunc(n.gossiper.Live(f.now), func(m gossiper.Member) bool { return m.Address == a }) {
			l = append(l, gossiper.Probe{To: a, Gossip: n.gossiper.Greeting(1)})
		}
	}

	for _, p := range l {
		f.probe(n, p)
	}

	for _, m := range beats {
		to := f.addresses[m.To]
		if f.arrives(n, to, messenger.Size(wire.KindGossip, 0, &m.Gossip)) && f.onBeat != nil {
			f.onBeat(n, to)
		}
	}
}

func (f *fleet) probe(n *node, p gossiper.Probe) {
	to, b := f.addresses[p.To], f.now

	switch r, ok := f.ask(n, to, p.Gossip); {
	case ok && to.earlier:
		n.gossiper.AcknowledgeEarlier(f.now, p.ID)
	case ok:
		n.gossiper.Acknowledge(f.now, p.ID, r)

		if !n.requesting {
			f.requestMembers(n)
		}
	default:
		f.after(gossiper.ProbeTimeout, func() { f.fail(n, p, b) })
	}
}

// ask sends gossip as a request, and returns the reply if there is one.
func (f *fleet) ask(n, to *node, w wire.Gossip) (*wire.GossipReply, bool) {
	if !f.arrives(n, to, messenger.Size(wire.KindGossip, 1, &w)) {
		return nil, false
	}

	to.gossiper.Receive(f.now, n.ID, w)
	r := to.gossiper.Reply(n.ID, 1, w)

	return r, f.arrives(to, n, messenger.Size(wire.KindReply, 1, r))
}

// requestMembers requests members from all sources, one after the other. Each reply takes a step.
func (f *fleet) requestMembers(n *node) {
	s, ok := n.gossiper.NextSource()
	n.requesting = ok

	if !ok {
		return
	}

	to := f.addresses[s.Address]
	q := wire.MembersRequest{Digests: n.gossiper.Digests()}

	if !f.arrives(n, to, messenger.Size(wire.KindMembersRequest, 1, &q)) {
		f.after(gossiper.ProbeTimeout, func() { f.requestMembers(n) })

		return
	}

	r := to.gossiper.Members(q.Digests)
	if !f.arrives(to, n, messenger.Size(wire.KindReply, 1, r)) {
		f.after(gossiper.ProbeTimeout, func() { f.requestMembers(n) })

		return
	}

	f.after(step, func() {
		n.gossiper.Requested(s, n.gossiper.Merge(f.now, r, false))
		f.requestMembers(n)
	})
}

func (f *fleet) fail(n *node, p gossiper.Probe, sent time.Time) {
	if n.dead {
		return
	}

	if n.frozen { // The failure is noticed when the node wakes.
		f.after(step, func() { f.fail(n, p, sent) })

		return
	}

	l, last := n.gossiper.Fail(f.now, sent, p.ID)
	if !last {
		return
	}

	f.after(gossiper.InquiryTimeout, func() {
		for _, m := range l {
			if f.inquire(n, f.addresses[m.Address], p) {
				n.gossiper.AcknowledgeIndirect(p.ID)

				return
			}
		}

		if n.gossiper.Declare(f.now, p.ID) {
			f.declared++
		}
	})
}

// inquire lets a node probe another one for n.
func (f *fleet) inquire(n, helper *node, p gossiper.Probe) bool {
	q := wire.ProbeRequest{ID: p.ID, Address: p.To.String()}
	if !f.arrives(n, helper, messenger.Size(wire.KindProbe, 1, &q)) {
		return false
	}

	if _, ok := f.ask(helper, f.addresses[p.To], helper.gossiper.Greeting(1)); !ok {
		return false
	}

	return f.arrives(helper, n, messenger.Size(wire.KindReply, 1, &wire.ProbeReply{}))
}

func (f *fleet) sendChanges(n *node) {
	w, l := n.gossiper.Changes()
	z := messenger.Size(wire.KindMembers, 0, w)

	for _, a := range l {
		if to := f.addresses[a]; f.arrives(n, to, z) {
			f.after(step, func() { to.gossiper.Merge(f.now, w, true) })
		}
	}
}

// differences returns, summed over all running nodes, how many routers a node can reach but does not know to be live,
// and how many it believes live that are dead or cut off. If a data centre is given, only its routers count.
func (f *fleet) differences(centre string) (missing, extra int) {
	for _, n := range f.nodes {
		if n.dead || n.frozen || centre != "" && n.DataCentre != centre {
			continue
		}

		k := make(map[uint64]bool)
		for _, m := range n.gossiper.Live(f.now) {
			k[m.ID] = centre == "" || m.DataCentre == centre
		}

		for _, o := range f.nodes {
			if centre != "" && o.DataCentre != centre {
				continue
			}

			switch gone := o.dead || f.cut(n, o); {
			case gone && k[o.ID]:
				extra++
			case !gone && !k[o.ID]:
				missing++
			}
		}
	}

	return missing, extra
}

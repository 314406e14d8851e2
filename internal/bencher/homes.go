package bencher

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/wire"
)

// epoch is the wall-clock time at which each case begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // A constant.

// homes is the policy that routers run: the home of a cell grants each place.
type homes struct {
	matcher *matcher.Matcher
	rules   []*matcher.Rule
	byID    map[uint32]*target
	ids     []uint32
	// tokens says that callers carry their place back.
	tokens   bool
	seq      uint32
	granters map[granterKey]*granter.Granter
	// homeOf are the homes of cells on the two sides of a cut, and was the ones
	// that the entries knew last.
	homeOf map[granterKey]int
	was    map[granterKey]uint64
	moving []handover
}

// granterKey names a cell's Granter at one home: two sides of a cut have one
// each.
type granterKey struct {
	cell uint32
	home uint64
}

func newHomes(w *world, tokens bool) *homes {
	h := &homes{
		tokens: tokens, byID: make(map[uint32]*target),
		granters: make(map[granterKey]*granter.Granter), homeOf: make(map[granterKey]int), was: make(map[granterKey]uint64),
	}
	d := &parser.Document{
		Targets: make(map[string]parser.Target), Customers: map[string]parser.Customer{}, Rules: make(map[string]parser.Rule),
	}

	for _, t := range w.targets {
		n := fmt.Sprintf("target-%d", t.index)
		d.Targets[n] = parser.Target{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(t.index >> 8), byte(t.index), 1}), 80).String(), //nolint:gosec,mnd // An address for each.
			Kind:    parser.KindEngine, Region: centreName("region", t.region), DataCentre: centreName("dc", t.centre),
			Capacity: t.capacity, Labels: map[string]string{"model": modelName(t.model)},
		}
		h.byID[hasher.Name(n)] = t
		h.ids = append(h.ids, hasher.Name(n))
	}

	for m := range w.size.Models {
		d.Rules[modelName(m)] = parser.Rule{Targets: "model=" + modelName(m), Repeatable: true}
	}

	d.Limits.CellTargets = w.size.CellTargets
	h.matcher = matcher.New(d)
	for m := range w.size.Models {
		h.rules = append(h.rules, h.matcher.Rule(hasher.Name(modelName(m))))
	}

	return h
}

func centreName(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i) }
func modelName(i int) string               { return fmt.Sprintf("model-%d", i) }

func (h *homes) pick(w *world, q *request) (*target, time.Duration) {
	r := w.routers[q.router]
	l := h.matcher.Ranked(h.rules[q.chat.customer.model], centreName("region", r.region), q.chat.key)
	hint := uint32(0)

	if h.tokens {
		hint = q.chat.place
	}

	for i, c := range l {
		if c.Region != centreName("region", r.region) {
			break
		}

		if i > 0 && hint != 0 && c.Holds(hint) {
			copy(l[1:i+1], l[:i])
			l[0] = c
		}
	}

	for i, c := range l[:min(len(l), 4)] { //nolint:mnd // As the routers do.
		v := h.ask(w, r, q, c, hint, false)
		if v.Reason == granter.Elsewhere {
			v = h.ask(w, r, q, h.matcher.Cell(v.Cell), hint, true)
		}

		switch v.Reason {
		case granter.Granted:
			q.chat.place = v.Target

			return h.byID[v.Target], 0
		case granter.Wait:
			return nil, v.RetryAfter
		case granter.OverShare:
			if i > 0 {
				return nil, 0
			}
		case granter.Full, granter.NoTargets, granter.Elsewhere:
		}
	}

	return nil, 0
}

// ask asks a cell's home for a place.
func (h *homes) ask(w *world, r *router, q *request, c *matcher.Cell, hint uint32, sent bool) granter.Verdict {
	i := h.home(w, r, c)
	if i < 0 {
		return granter.Verdict{Reason: granter.NoTargets}
	}

	h.seq++
	a := wire.Ask{
		Seq: h.seq, Cell: c.ID, Rule: h.rules[q.chat.customer.model].ID, Customer: q.chat.customer.id,
		Chat: q.chat.key, Prompt: uint32(q.prompt), Hint: hint, WaitedMs: uint32(q.waited.Milliseconds()), Sent: sent, //nolint:gosec // Not negative.
	}
	v := h.granter(c, w.routers[i].id).Ask(epoch.Add(w.now), granter.Ask{
		ID: granter.ID{Entry: r.id, Seq: a.Seq}, Chat: a.Chat, Customer: a.Customer, Weight: 1,
		Prompt: q.prompt, Hint: hint, Waited: q.waited, Sent: sent,
		Allowed: func(id uint32) bool { return w.reachable(r, h.byID[id]) },
	})

	h.send(w, q.router, i, wire.KindAsk, 1, &a)
	h.send(w, q.router, i, wire.KindReply, 1, &wire.Verdict{
		Reason: uint8(v.Reason), Target: v.Target | v.Cell, Returned: v.Returned, RetryAfterMs: uint32(v.RetryAfter.Milliseconds()), //nolint:gosec // Small.
	})

	q.seq, q.entry, q.cell = a.Seq, r.id, c.ID

	return v
}

// home returns the cell's home as a router sees it.
func (h *homes) home(w *world, r *router, c *matcher.Cell) int {
	k := granterKey{cell: c.ID}
	if w.cut >= 0 && r.centre == w.cut {
		k.home = 1
	}

	i, ok := h.homeOf[k]
	if ok {
		return i
	}

	i = h.first(w, r, c, -1)
	h.homeOf[k] = i

	// The entries tell a home that is new to them of what they have in flight.
	if o, ok := h.was[k]; i >= 0 && (!ok || o != w.routers[i].id) {
		if g := h.holder(w, c, o, i); g != nil && k.home == 0 {
			h.moving = append(h.moving, handover{cell: c, from: g})
		}

		h.was[k] = w.routers[i].id
		h.sync(w, c, i)
	}

	return i
}

// holder returns the Granter that hands its places over to a new home: the
// former home's, or when that is lost, the one that it replicated to.
func (h *homes) holder(w *world, c *matcher.Cell, former uint64, home int) *granter.Granter {
	if g, ok := h.granters[granterKey{cell: c.ID, home: former}]; ok {
		return g
	}

	j := h.first(w, w.routers[home], c, home)
	if j < 0 {
		return nil
	}

	return h.granters[granterKey{cell: c.ID, home: w.routers[j].id}]
}

// first returns the first router by rendezvous among those that a router
// reaches in the cell's data centres, without one of them.
func (h *homes) first(w *world, r *router, c *matcher.Cell, without int) int {
	best, score := -1, 0.0

	for pass := 0; pass < 2 && best < 0; pass++ {
		for i, x := range w.routers {
			if i == without || (w.cut >= 0 && (x.centre == w.cut) != (r.centre == w.cut)) || (pass == 0 && !within(c, x.centre)) {
				continue
			}

			if s := hasher.Score(uint64(c.ID), x.id, 1); best < 0 || s > score {
				best, score = i, s
			}
		}
	}

	return best
}

func within(c *matcher.Cell, centre int) bool {
	for _, d := range c.DataCentres {
		if d == centreName("dc", centre) {
			return true
		}
	}

	return false
}

func (h *homes) granter(c *matcher.Cell, home uint64) *granter.Granter {
	k := granterKey{cell: c.ID, home: home}
	if g, ok := h.granters[k]; ok {
		return g
	}

	g := granter.New(granter.DefaultSettings(), rand.New(rand.NewPCG(uint64(c.ID), home))) //nolint:gosec // Reproducible.
	l := make([]granter.Target, len(c.Targets))

	for i, t := range c.Targets {
		l[i] = granter.Target{ID: t.ID, Capacity: t.Capacity, Engine: true}
	}

	g.Update(l, granter.Limits{LoadFactor: loadFactor, Slack: parser.DefaultSlackRequests})
	h.granters[k] = g

	return g
}

// sync tells a home of the requests in flight in its cell on its side of a cut.
func (h *homes) sync(w *world, c *matcher.Cell, home int) {
	l := make(map[uint64][]granter.Grant)

	for _, f := range w.running {
		q := f.request
		if q.cell != c.ID || q.target == nil || !w.together(w.routers[q.router], w.routers[home]) {
			continue
		}

		l[q.entry] = append(l[q.entry], granter.Grant{
			ID: granter.ID{Entry: q.entry, Seq: q.seq}, Target: h.ids[q.target.index], Customer: q.chat.customer.id, Work: 1,
		})
	}

	g := h.granter(c, w.routers[home].id)

	for e, x := range l {
		g.Sync(epoch.Add(w.now), e, h.seq, x)
	}
}

func (h *homes) done(w *world, q *request) {
	c := h.matcher.Cell(q.cell)
	i := h.home(w, w.routers[q.router], c)

	h.granter(c, w.routers[i].id).Release(epoch.Add(w.now), granter.ID{Entry: q.entry, Seq: q.seq},
		granter.Outcome{OK: true, Requests: q.target.report()})
	h.send(w, q.router, i, wire.KindRelease, 0, &wire.Release{
		Seq: q.seq, Cell: q.cell, OK: true, Requests: int32(q.target.report()), //nolint:gosec // Small.
	})
}

// send counts the bytes of a message on both of its ends. Frames are numbered
// on each connection; the numbers of long-lived ones take two bytes more.
func (h *homes) send(w *world, from, to int, k wire.Kind, id uint32, m msgp.Marshaler) {
	if from == to || !w.measuring() {
		return
	}

	const longNumber = 16

	n := messenger.Size(k, id<<longNumber, m)
	w.routers[from].bytes += n
	w.routers[to].bytes += n
}

// tick does what the routers do from time to time.
func (h *homes) tick(w *world) {
	clear(h.homeOf)

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

	for _, g := range h.granters {
		g.Expire(epoch.Add(w.now))
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
		for _, p := range h.granter(c, w.routers[i].id).Changed(128, 16) { //nolint:mnd // As the routers do.
			h.granter(c, w.routers[j].id).Remember(epoch.Add(w.now), p.Chat, p.Place)
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

		p, next := x.from.Places().Scan(x.at, 2048) //nolint:mnd // As the routers do.
		for _, c := range p {
			g.Remember(epoch.Add(w.now), c.Chat, c.Place)
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
	l, x := h.granter(from, w.routers[i].id).Total(epoch.Add(w.now))

	h.granter(to, w.routers[j].id).Other(epoch.Add(w.now), from.ID, l, x)
	h.send(w, i, j, wire.KindCellLoad, 0, &wire.CellLoad{From: from.ID, To: to.ID, Milli: uint64(l * skewUnit), Weight: uint32(x)})
}

// lose replaces a router by a new process, which knows nothing.
func (h *homes) lose(w *world, i int) {
	o := w.routers[i].id

	for k := range h.granters {
		if k.home == o {
			delete(h.granters, k)
		}
	}

	w.routers[i].id = o + 1<<20 //nolint:mnd // Another process.
	clear(h.homeOf)
}

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
	// lost makes a lost router's successor have another ID, as a new process
	// has.
	homeOf map[granterKey]int
	buffer []byte
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
		granters: make(map[granterKey]*granter.Granter), homeOf: make(map[granterKey]int),
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

	h.matcher = matcher.New(d)
	for m := range w.size.Models {
		h.rules = append(h.rules, h.matcher.Rule(hasher.Name(modelName(m))))
	}

	return h
}

func centreName(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i) }
func modelName(i int) string               { return fmt.Sprintf("model-%d", i) }

func (h *homes) pick(w *world, q *request) *target {
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

	for _, c := range l[:min(len(l), 4)] { //nolint:mnd // As the routers do.
		if t := h.ask(w, r, q, c, hint); t != nil {
			q.chat.place = h.ids[t.index]

			return t
		}
	}

	return nil
}

// ask asks a cell's home for a place.
func (h *homes) ask(w *world, r *router, q *request, c *matcher.Cell, hint uint32) *target {
	i := h.home(w, r, c)
	if i < 0 {
		return nil
	}

	h.seq++
	a := wire.Ask{
		Entry: r.id, Seq: h.seq, Cell: c.ID, Rule: h.rules[q.chat.customer.model].ID, Customer: q.chat.customer.id,
		Chat: q.chat.key, Prompt: uint32(q.prompt), Output: uint32(q.limit), Hint: hint, //nolint:gosec // Not negative.
	}
	g := h.granter(w, c, w.routers[i].id)
	v := g.Ask(epoch.Add(w.now), granter.Ask{
		ID: granter.ID{Entry: a.Entry, Seq: a.Seq}, Chat: a.Chat, Customer: a.Customer, Weight: 1,
		Prompt: q.prompt, Output: q.limit, Hint: hint,
		Allowed: func(id uint32) bool { return w.reachable(r, h.byID[id]) },
	})

	h.send(w, q.router, i, &a)
	h.send(w, q.router, i, &wire.Verdict{Reason: uint8(v.Reason), Target: v.Target, Returned: v.Returned})

	if v.Reason != granter.Granted {
		return nil
	}

	q.seq, q.cell, q.home = a.Seq, c.ID, i

	return h.byID[v.Target]
}

// home returns the cell's home as a router sees it: the first by rendezvous
// among the routers that it reaches in the cell's data centres.
func (h *homes) home(w *world, r *router, c *matcher.Cell) int {
	side := uint64(0)
	if w.cut >= 0 && r.centre == w.cut {
		side = 1
	}

	k := granterKey{cell: c.ID, home: side}
	if i, ok := h.homeOf[k]; ok {
		return i
	}

	best, score := -1, 0.0

	for pass := 0; pass < 2 && best < 0; pass++ {
		for i, x := range w.routers {
			if (w.cut >= 0 && (x.centre == w.cut) != (r.centre == w.cut)) || (pass == 0 && !within(c, x.centre)) {
				continue
			}

			if s := hasher.Score(uint64(c.ID), x.id, 1); best < 0 || s > score {
				best, score = i, s
			}
		}
	}

	h.homeOf[k] = best

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

func (h *homes) granter(w *world, c *matcher.Cell, home uint64) *granter.Granter {
	k := granterKey{cell: c.ID, home: home}
	if g, ok := h.granters[k]; ok {
		return g
	}

	s := granter.DefaultSettings()
	s.PrefillCost = prefillCost
	g := granter.New(s, rand.New(rand.NewPCG(uint64(c.ID), home))) //nolint:gosec // Reproducible.
	l := make([]granter.Target, len(c.Targets))

	for i, t := range c.Targets {
		l[i] = granter.Target{ID: t.ID, Capacity: t.Capacity, Engine: true}
	}

	g.Update(l, loadFactor)
	h.granters[k] = g
	h.sync(w, c.ID, g)

	return g
}

// sync tells a new home of the requests in flight in its cell, as the entries
// do when they find that the home moved.
func (h *homes) sync(w *world, cell uint32, g *granter.Granter) {
	l := make(map[uint64][]granter.Grant)

	for _, f := range w.running {
		if q := f.request; q.cell == cell {
			e := w.routers[q.router].id
			l[e] = append(l[e], granter.Grant{
				ID: granter.ID{Entry: e, Seq: q.seq}, Target: h.ids[q.target.index], Customer: q.chat.customer.id, Work: float64(q.limit),
			})
		}
	}

	for e, x := range l {
		g.Sync(epoch.Add(w.now), e, 0, x)
	}
}

func (h *homes) done(w *world, q *request) {
	c := h.matcher.Cell(q.cell)
	i := h.home(w, w.routers[q.router], c)
	r := wire.Release{Entry: w.routers[q.router].id, Seq: q.seq, Cell: q.cell, Target: h.ids[q.target.index], OK: true, Requests: int32(q.target.report()), Incarnation: 1 << 50} //nolint:gosec,mnd // Small.

	h.granter(w, c, w.routers[i].id).Release(epoch.Add(w.now), granter.ID{Entry: r.Entry, Seq: r.Seq}, r.Target,
		granter.Outcome{OK: true, Requests: q.target.report()})
	h.send(w, q.router, i, &r)
}

// send counts the bytes of a message on both of its ends.
func (h *homes) send(w *world, from, to int, m msgp.Marshaler) {
	if from == to || !w.measuring() {
		return
	}

	const frame = 4 + 4 // The length, and the frame's own fields.

	h.buffer, _ = m.MarshalMsg(h.buffer[:0])
	w.routers[from].bytes += len(h.buffer) + frame
	w.routers[to].bytes += len(h.buffer) + frame
}

// tick follows a cut: homes are found anew on both sides, and after it heals
// the entries' lists of grants clear what the former homes still count.
func (h *homes) tick(w *world) {
	clear(h.homeOf)

	if w.now%(5*time.Second) != 0 { //nolint:mnd // As the routers do.
		return
	}

	for k, g := range h.granters {
		for _, r := range w.routers {
			h.resync(w, k.cell, r, g)
		}
	}
}

// resync sends a home one entry's whole list, where the home counts any of it.
func (h *homes) resync(w *world, cell uint32, r *router, g *granter.Granter) {
	if w.condition == Steady || w.condition == Surge || w.size.Routers > 100 { //nolint:mnd // Only where homes move, and small.
		return
	}

	var l []granter.Grant

	for _, f := range w.running {
		if q := f.request; q.cell == cell && w.routers[q.router] == r {
			l = append(l, granter.Grant{
				ID: granter.ID{Entry: r.id, Seq: q.seq}, Target: h.ids[q.target.index], Customer: q.chat.customer.id, Work: float64(q.limit),
			})
		}
	}

	g.Sync(epoch.Add(w.now), r.id, h.seq, l)
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

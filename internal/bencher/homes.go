package bencher

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/tracker"
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
	// used are the cells that routers have asked.
	used map[usage]bool
	// assigned are the homes on the two sides, until routers change.
	assigned map[bool]map[uint64][]gossiper.Member
}

// usage is a cell that a router has asked for a place.
type usage struct {
	cell   uint32
	router int
}

func newHomes(w *world, tokens bool) *homes {
	h := &homes{
		tokens: tokens, byID: make(map[uint32]*target),
		granters: make(map[granterKey]*granter.Granter), homeOf: make(map[granterKey]int), was: make(map[granterKey]uint64), used: make(map[usage]bool), assigned: make(map[bool]map[uint64][]gossiper.Member),
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
	t := uint32(0)

	if h.tokens {
		t = q.chat.place
	}

	for i, c := range l {
		if c.Region != centreName("region", r.region) {
			break
		}

		if i > 0 && t != 0 && c.Contains(t) {
			copy(l[1:i+1], l[:i])
			l[0] = c
		}
	}

	for i, c := range l[:min(len(l), 4)] { //nolint:mnd // As the routers do.
		v := h.ask(w, r, q, c, t, false)
		if v.Reason == granter.Elsewhere {
			v = h.ask(w, r, q, h.matcher.Cell(v.Cell), t, true)
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
	v := h.granter(c, w.routers[i].id).Reserve(epoch.Add(w.now), granter.Request{
		ID: granter.ID{Entry: r.id, Seq: a.Seq}, Chat: a.Chat, Customer: a.Customer, Weight: 1,
		Prompt: q.prompt, Hint: hint, Waited: q.waited, Forwarded: sent,
		Allowed: func(id uint32) bool { return w.reachable(r, h.byID[id]) },
	})

	h.send(w, q.router, i, wire.KindAsk, 1, &a)
	h.send(w, q.router, i, wire.KindReply, 1, &wire.Verdict{
		Reason: uint8(v.Reason), Target: v.Target | v.Cell, Flags: flags(v), RetryAfterMs: uint32(v.RetryAfter.Milliseconds()), //nolint:gosec // Small.
	})

	q.seq, q.entry, q.cell = a.Seq, r.id, c.ID
	h.used[usage{c.ID, q.router}] = true

	if v.ReportDue {
		t := h.byID[v.Target]
		h.granter(c, w.routers[i].id).Report(epoch.Add(w.now), v.Target, t.report(), tracker.State{})
		h.send(w, q.router, i, wire.KindReport, 0, &wire.Report{Cell: c.ID, Target: v.Target, Requests: int32(t.report())}) //nolint:gosec // Small.
	}

	return v
}

func flags(v granter.Verdict) uint8 {
	if v.ReportDue {
		return wire.FlagTell
	}

	return wire.FlagReturned
}

func (h *homes) done(w *world, q *request) {
	c := h.matcher.Cell(q.cell)
	i := h.home(w, w.routers[q.router], c)

	h.granter(c, w.routers[i].id).Release(epoch.Add(w.now), granter.ID{Entry: q.entry, Seq: q.seq},
		granter.Outcome{OK: true})
	h.send(w, q.router, i, wire.KindRelease, 0, &wire.Release{Seq: q.seq, Cell: q.cell, OK: true})
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

// lose replaces a router by a new process, which knows nothing.
func (h *homes) lose(w *world, i int) {
	o := w.routers[i].id

	for k := range h.granters {
		if k.home == o {
			delete(h.granters, k)
		}
	}

	w.routers[i].id = o + 1<<20 //nolint:mnd // Another process.
	h.look()
}

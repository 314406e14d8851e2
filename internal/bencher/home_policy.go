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

// homePolicy is the policy of the routers: the home (home node) of a cell, which is the
// one instance responsible for it, grants each slot.
type homePolicy struct {
	matcher    *matcher.Matcher
	rules      []*matcher.Rule
	targetByID map[uint32]*target
	targetIDs  []uint32
	// placementTokens means that callers send their last placement back in a token.
	placementTokens bool
	seq             uint32
	granters        map[granterKey]*granter.Granter
	// homeByCell holds the homes of cells, on each side of a network partition, and
	// lastHomes the homes that the routers knew last.
	homeByCell map[granterKey]int
	lastHomes  map[granterKey]uint64
	handOvers  []handOver
	// usedCells holds the cells from which routers have requested a slot.
	usedCells map[cellUse]bool
	// homesBySide caches the homes on the two sides of a network partition until the
	// routers change.
	homesBySide map[bool]map[uint64][]gossiper.Member
}

// cellUse is a cell from which a router has requested a slot.
type cellUse struct {
	cell   uint32
	router int
}

func newHomePolicy(w *world, tokens bool) *homePolicy {
	h := &homePolicy{
		placementTokens: tokens, targetByID: make(map[uint32]*target),
		granters: make(map[granterKey]*granter.Granter), homeByCell: make(map[granterKey]int), lastHomes: make(map[granterKey]uint64), usedCells: make(map[cellUse]bool), homesBySide: make(map[bool]map[uint64][]gossiper.Member),
	}
	d := &parser.Document{
		Targets: make(map[string]parser.Target), Customers: map[string]parser.Customer{}, Rules: make(map[string]parser.Rule),
	}

	for _, t := range w.targets {
		n := fmt.Sprintf("target-%d", t.index)
		d.Targets[n] = parser.Target{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(t.index >> 8), byte(t.index), 1}), 80).String(), //nolint:gosec,mnd // A unique address.
			Kind:    parser.KindEngine, Region: centreName("region", t.region), DataCentre: centreName("dc", t.centre),
			Capacity: t.capacity, Labels: map[string]string{"model": modelName(t.model)},
		}
		h.targetByID[hasher.Name(n)] = t
		h.targetIDs = append(h.targetIDs, hasher.Name(n))
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

func (h *homePolicy) pick(w *world, q *request) (*target, time.Duration) {
	r := w.routers[q.router]
	l := h.matcher.Ranked(h.rules[q.chat.customer.model], centreName("region", r.region), q.chat.key)
	t := uint32(0)

	if h.placementTokens {
		t = q.chat.placement
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

	for i, c := range l[:min(len(l), 4)] { //nolint:mnd // As in the routers.
		v := h.reserve(w, r, q, c, t, false)
		if v.Reason == granter.OtherCell {
			v = h.reserve(w, r, q, h.matcher.Cell(v.Cell), t, true)
		}

		switch v.Reason {
		case granter.Granted:
			q.chat.placement = v.Target

			return h.targetByID[v.Target], 0
		case granter.Wait:
			return nil, v.RetryAfter
		case granter.OverShare:
			if i > 0 {
				return nil, 0
			}
		case granter.Full, granter.NoTargets, granter.OtherCell:
		}
	}

	return nil, 0
}

// reserve requests a slot from a cell's home. forwarded means that another cell's home
// redirected the request.
func (h *homePolicy) reserve(w *world, r *router, q *request, c *matcher.Cell, hint uint32, forwarded bool) granter.Verdict {
	i := h.home(w, r, c)
	if i < 0 {
		return granter.Verdict{Reason: granter.NoTargets}
	}

	h.seq++
	a := wire.SlotRequest{
		Seq: h.seq, Cell: c.ID, Rule: h.rules[q.chat.customer.model].ID, Customer: q.chat.customer.id,
		Chat: q.chat.key, Prompt: uint32(q.promptTokens), Hint: hint, WaitedMs: uint32(q.waited.Milliseconds()), Forwarded: forwarded, //nolint:gosec // Not negative.
	}
	v := h.granter(c, w.routers[i].id).Reserve(epoch.Add(w.now), granter.Request{
		ID: granter.ID{Entry: r.id, Seq: a.Seq}, Chat: a.Chat, Customer: a.Customer, Weight: 1,
		Prompt: q.promptTokens, Hint: hint, Waited: q.waited, Forwarded: forwarded,
		Allowed: func(id uint32) bool { return w.reachable(r, h.targetByID[id]) },
	})

	h.countBytes(w, q.router, i, wire.KindSlotRequest, 1, &a)
	h.countBytes(w, q.router, i, wire.KindReply, 1, &wire.SlotReply{
		Reason: uint8(v.Reason), Target: v.Target | v.Cell, Flags: flags(v), RetryAfterMs: uint32(v.RetryAfter.Milliseconds()), //nolint:gosec // Small.
	})

	q.seq, q.entry, q.cell = a.Seq, r.id, c.ID
	h.usedCells[cellUse{c.ID, q.router}] = true

	if v.ReportDue {
		t := h.targetByID[v.Target]
		h.granter(c, w.routers[i].id).Report(epoch.Add(w.now), v.Target, t.reportedRunning(), tracker.State{})
		h.countBytes(w, q.router, i, wire.KindReport, 0, &wire.Report{Cell: c.ID, Target: v.Target, Requests: int32(t.reportedRunning())}) //nolint:gosec // Small.
	}

	return v
}

func flags(v granter.Verdict) uint8 {
	if v.ReportDue {
		return wire.FlagReportDue
	}

	return wire.FlagAtPlacement
}

func (h *homePolicy) done(w *world, q *request) {
	c := h.matcher.Cell(q.cell)
	i := h.home(w, w.routers[q.router], c)

	h.granter(c, w.routers[i].id).Release(epoch.Add(w.now), granter.ID{Entry: q.entry, Seq: q.seq},
		granter.Outcome{OK: true})
	h.countBytes(w, q.router, i, wire.KindRelease, 0, &wire.Release{Seq: q.seq, Cell: q.cell, OK: true})
}

// countBytes counts the bytes of a message at its sender and receiver. Frames are
// numbered per connection, and the numbers of long-lived connections take two more bytes.
func (h *homePolicy) countBytes(w *world, from, to int, k wire.Kind, id uint32, m msgp.Marshaler) {
	if from == to || !w.measuring() {
		return
	}

	const longNumber = 16

	n := messenger.Size(k, id<<longNumber, m)
	w.routers[from].controlBytes += n
	w.routers[to].controlBytes += n
}

// replaceRouter replaces a router by a new process with empty state.
func (h *homePolicy) replaceRouter(w *world, i int) {
	o := w.routers[i].id

	for k := range h.granters {
		if k.home == o {
			delete(h.granters, k)
		}
	}

	w.routers[i].id = o + 1<<20 //nolint:mnd // The ID of another process.
	h.resetHomes()
}

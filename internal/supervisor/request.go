package supervisor

import (
	"math"
	"time"

	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/placer"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

// Reserve decides on the request of an entry router, the one that received the call, to reserve a slot.
// It fails with ErrUnknownCell.
func (s *Supervisor) Reserve(now time.Time, entry uint64, w wire.SlotRequest) (wire.SlotReply, error) {
	f := s.config()

	h, err := s.cellState(now, f, w.Cell)
	if err != nil {
		return wire.SlotReply{}, err
	}

	r := f.Matcher.Rule(w.Rule)
	if r == nil {
		return wire.SlotReply{}, ErrUnknownCell
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.lastUsed = now
	v := h.granter.Reserve(now, granter.Request{
		ID:        granter.ID{Entry: entry, Seq: w.Seq},
		Chat:      w.Chat,
		Customer:  w.Customer,
		Weight:    f.Matcher.Weight(w.Customer),
		Prompt:    int(w.Prompt),
		Waited:    time.Duration(w.WaitedMs) * time.Millisecond,
		Hint:      w.Hint,
		Allowed:   allowed(f.Matcher, r),
		Excluded:  w.Excluded,
		Forwarded: w.Forwarded,
	})

	return wire.SlotReply{
		Reason: uint8(v.Reason), Target: v.Target | v.Cell, Flags: flags(v),
		RetryAfterMs: uint32(v.RetryAfter.Milliseconds()), //nolint:gosec // A few seconds.
	}, nil
}

// Release releases the slot of a grant and records the outcome of the call.
func (s *Supervisor) Release(now time.Time, entry uint64, w wire.Release) {
	s.withCell(now, w.Cell, func(h *cellState) {
		h.granter.Release(now, granter.ID{Entry: entry, Seq: w.Seq}, granter.Outcome{
			OK: w.OK, NeverSent: w.NeverSent,
		})
	})
}

// Report applies a target's load and state as reported by an entry router.
func (s *Supervisor) Report(now time.Time, w wire.Report) {
	if w.Incarnation != 0 {
		s.Observe(w.Target, tracker.State{Incarnation: w.Incarnation, Leaving: w.Leaving})
	}

	if w.Requests < 0 {
		return
	}

	s.withCell(now, w.Cell, func(h *cellState) {
		h.granter.Report(now, w.Target, int(w.Requests), tracker.State{})
	})
}

// StartBackoff starts the backoff of a target that has requested one from an entry router. The entry router may use
// another revision of the configuration, so the backoff is recorded for the target in all cells and in later revisions.
func (s *Supervisor) StartBackoff(now time.Time, w wire.Backoff) {
	d := time.Duration(w.DurationMs) * time.Millisecond

	s.mu.Lock()
	defer s.mu.Unlock()

	s.backoffs.start(now, w.Target, d)

	for _, h := range s.cells {
		h.mu.Lock()
		h.granter.StartBackoff(now, w.Target, d)
		h.mu.Unlock()
	}
}

// Unavailable returns the targets of a cell that this router knows to accept no calls, as messages to another router: those in
// backoff and those that are leaving.
func (s *Supervisor) Unavailable(now time.Time, x *matcher.Cell) (b []wire.Backoff, l []wire.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, t := range x.Targets {
		if d := s.backoffs.remaining(now, t.ID); d > 0 {
			b = append(b, wire.Backoff{Cell: x.ID, Target: t.ID, DurationMs: uint32(min(d.Milliseconds(), math.MaxUint32))}) //nolint:gosec // Bounded.
		}

		if a := s.states.Get(t.ID); a.Leaving {
			l = append(l, wire.Report{Cell: x.ID, Target: t.ID, Requests: -1, Incarnation: a.Incarnation, Leaving: true})
		}
	}

	return b, l
}

// Sync reconciles the grants of an entry router in a cell with the list that this entry router sent.
func (s *Supervisor) Sync(now time.Time, entry uint64, w wire.Sync) {
	l := make([]granter.Grant, len(w.Grants))
	for i, g := range w.Grants {
		l[i] = granter.Grant{
			ID: granter.ID{Entry: entry, Seq: g.Seq}, Target: g.Target, Customer: g.Customer, Work: 1,
		}
	}

	s.withCell(now, w.Cell, func(h *cellState) {
		h.granter.Sync(now, entry, w.UpTo, l)
	})
}

// ObserveInstance applies a target's state from the platform's registry.
func (s *Supervisor) ObserveInstance(i recorder.Instance) {
	s.Observe(hasher.Name(i.Name), tracker.State{Incarnation: i.Incarnation, Leaving: i.Leaving || i.Gone})
}

// Observe records a target's state and applies it to all cells.
func (s *Supervisor) Observe(target uint32, x tracker.State) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.states.Observe(target, x)

	for _, h := range s.cells {
		h.mu.Lock()
		h.granter.Report(time.Now(), target, -1, x)
		h.mu.Unlock()
	}
}

// ReportCell applies the load report of another cell of the pool.
func (s *Supervisor) ReportCell(now time.Time, w wire.CellLoad) {
	s.withCell(now, w.To, func(h *cellState) {
		h.granter.ReportCell(now, w.From, float64(w.MilliRequests)/unitsPerRequest, float64(w.Weight))
	})
}

// HandOver records placements of a cell. They are sent by the cell's former home when it hands them
// over, or by its present home, so that this router has them if the home fails.
func (s *Supervisor) HandOver(now time.Time, from uint64, w wire.HandOver) {
	s.withCell(now, w.Cell, func(h *cellState) {
		h.holder = from

		for _, p := range w.Placements {
			h.granter.RecordPlacement(now, p.Chat, placer.Placement{Target: p.Target, Tokens: int(p.Tokens)})
		}
	})
}

func flags(v granter.Verdict) uint8 {
	var f uint8

	if v.AtPlacement {
		f |= wire.FlagAtPlacement
	}

	if v.ReportDue {
		f |= wire.FlagReportDue
	}

	return f
}

func allowed(m *matcher.Matcher, r *matcher.Rule) func(uint32) bool {
	return func(t uint32) bool {
		x := m.Target(t)

		return x != nil && r.Selects(x)
	}
}

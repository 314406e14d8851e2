package keeper

import (
	"time"

	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/placer"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

// Ask decides on an entry's request for a place. It fails with ErrUnknownCell.
func (k *Keeper) Ask(now time.Time, entry uint64, w wire.Ask) (wire.Verdict, error) {
	f := k.force()

	h, err := k.home(now, f, w.Cell)
	if err != nil {
		return wire.Verdict{}, err
	}

	r := f.Matcher.Rule(w.Rule)
	if r == nil {
		return wire.Verdict{}, ErrUnknownCell
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.used = now
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
		Forwarded: w.Sent,
	})

	return wire.Verdict{
		Reason: uint8(v.Reason), Target: v.Target | v.Cell, Flags: flags(v),
		RetryAfterMs: uint32(v.RetryAfter.Milliseconds()), //nolint:gosec // A few seconds.
	}, nil
}

// Release ends a grant.
func (k *Keeper) Release(now time.Time, entry uint64, w wire.Release) {
	k.at(now, w.Cell, func(h *home) {
		h.granter.Release(now, granter.ID{Entry: entry, Seq: w.Seq}, granter.Outcome{
			OK: w.OK, NeverSent: w.NeverSent,
		})
	})
}

// Report takes what an entry heard of a target.
func (k *Keeper) Report(now time.Time, w wire.Report) {
	k.at(now, w.Cell, func(h *home) {
		h.granter.Report(now, w.Target, int(w.Requests), tracker.State{Incarnation: w.Incarnation, Leaving: w.Leaving})
	})
}

// Rest takes that a target has asked an entry for rest.
func (k *Keeper) Rest(now time.Time, w wire.Rest) {
	k.at(now, w.Cell, func(h *home) {
		h.granter.BackOff(now, w.Target, time.Duration(w.ForMs)*time.Millisecond)
	})
}

// Sync takes an entry's list of its grants in a cell.
func (k *Keeper) Sync(now time.Time, entry uint64, w wire.Sync) {
	l := make([]granter.Grant, len(w.Grants))
	for i, g := range w.Grants {
		l[i] = granter.Grant{
			ID: granter.ID{Entry: entry, Seq: g.Seq}, Target: g.Target, Customer: g.Customer, Work: 1,
		}
	}

	k.at(now, w.Cell, func(h *home) {
		h.granter.Sync(now, entry, w.UpTo, l)
	})
}

// Seen takes what the platform's list says of a target.
func (k *Keeper) Seen(i recorder.Instance) {
	k.Observe(hasher.Name(i.Name), tracker.State{Incarnation: i.Incarnation, Leaving: i.Leaving || i.Gone})
}

// Observe takes a target's state from a source other than an answer.
func (k *Keeper) Observe(target uint32, s tracker.State) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.states.Observe(target, s)

	for _, h := range k.homes {
		h.mu.Lock()
		h.granter.Report(time.Now(), target, -1, s)
		h.mu.Unlock()
	}
}

// Other takes the load of another cell of a pool.
func (k *Keeper) Other(now time.Time, w wire.CellLoad) {
	k.at(now, w.To, func(h *home) {
		h.granter.ReportCell(now, w.From, float64(w.Milli)/milli, float64(w.Weight))
	})
}

// HandOver takes places of a cell from its former home, or from its home for the
// case that it is lost.
func (k *Keeper) HandOver(now time.Time, from uint64, w wire.HandOver) {
	k.at(now, w.Cell, func(h *home) {
		h.holder = from

		for _, p := range w.Places {
			h.granter.RecordPlacement(now, p.Chat, placer.Placement{Target: p.Target, Tokens: int(p.Tokens)})
		}
	})
}

func flags(v granter.Verdict) uint8 {
	var f uint8

	if v.Returned {
		f |= wire.FlagReturned
	}

	if v.ReportDue {
		f |= wire.FlagTell
	}

	return f
}

func allowed(m *matcher.Matcher, r *matcher.Rule) func(uint32) bool {
	return func(t uint32) bool {
		x := m.Target(t)

		return x != nil && r.Selects(x)
	}
}

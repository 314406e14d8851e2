package supervisor

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/placer"
	"github.com/auburntray/auburntray/internal/wire"
)

// unitsPerRequest is the number by which one request is represented in load reports, so that integers
// can express fractions of requests.
const unitsPerRequest = 1000

// Bounds of the placements that a home sends to other routers in each sweep.
const (
	// maxNewPlacements and maxRepeatedPlacements bound the new placements and the repeated ones
	// that are replicated to the cell's next home.
	maxNewPlacements      = 128
	maxRepeatedPlacements = 16
	// maxHandedPlacements bounds the placements that a former home hands over. A cell of a size in use
	// today is handed over within seconds. A cell of the largest size that the system is designed
	// for takes more sweeps, so that its placements are not sent in one burst.
	maxHandedPlacements = 2048
)

// notifier notifies the homes of cells.
type notifier interface {
	// ReportCellLoad sends a cell's load to the home of another cell.
	ReportCellLoad(to *matcher.Cell, w wire.CellLoad)
	// NotifyHome sends a message to a cell's home, unless that is this router.
	NotifyHome(cell *matcher.Cell, k wire.Kind, m msgp.Marshaler)
	// NotifySuccessor sends a message to the router that becomes a cell's home if this router fails.
	NotifySuccessor(cell *matcher.Cell, k wire.Kind, m msgp.Marshaler)
}

// replicate sends the cell's new placements, and its targets that accept no calls, to the router that becomes its home if this
// one fails. Without this, chats would lose their prompt caches when this router is killed, unless their callers
// return a placement token, and targets would get calls during their backoffs.
func (s *Supervisor) replicate(now time.Time, x *matcher.Cell, h *cellState) {
	s.notifyUnavailable(now, x, s.notifier.NotifySuccessor)

	h.mu.Lock()
	l := h.granter.ChangedPlacements(maxNewPlacements, maxRepeatedPlacements)
	h.mu.Unlock()

	if len(l) > 0 {
		s.notifier.NotifySuccessor(x, wire.KindHandOver, &wire.HandOver{Cell: x.ID, Placements: wirePlacements(l)})
	}
}

// notifyUnavailable sends the targets of a cell that accept no calls, each in one message.
func (s *Supervisor) notifyUnavailable(now time.Time, x *matcher.Cell, send func(*matcher.Cell, wire.Kind, msgp.Marshaler)) {
	b, l := s.Unavailable(now, x)

	for i := range b {
		send(x, wire.KindBackoff, &b[i])
	}

	for i := range l {
		send(x, wire.KindReport, &l[i])
	}
}

// markOwned records that this router is the cell's home.
func (h *cellState) markOwned() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.holder = 0
	h.nextPosition = 0
}

// handOver sends the placements of a cell to the router that has become its home, a part per sweep, and the targets that accept
// no calls.
// When a router joins, it becomes the home of some cells that had other homes; without the handover,
// the chats of these cells would lose their prompt caches at each start of a router. A router also
// hands over placements that were replicated to it, if the cell's home failed and another process
// became the home.
func (s *Supervisor) handOver(now time.Time, x *matcher.Cell, to uint64) {
	s.mu.Lock()
	h, ok := s.cells[x.ID]
	s.mu.Unlock()

	if !ok {
		return
	}

	h.mu.Lock()
	if h.holder == to {
		h.mu.Unlock()

		return
	}

	l, next := h.granter.Placements().Scan(h.nextPosition, maxHandedPlacements)
	h.nextPosition = next

	if next == 0 {
		h.holder = to
	}

	h.mu.Unlock()

	s.notifyUnavailable(now, x, s.notifier.NotifyHome)

	if len(l) > 0 {
		s.notifier.NotifyHome(x, wire.KindHandOver, &wire.HandOver{Cell: x.ID, Placements: wirePlacements(l)})
	}
}

func wirePlacements(l []placer.Chat) []wire.Placement {
	o := make([]wire.Placement, len(l))
	for i, c := range l {
		o[i] = wire.Placement{Chat: c.Chat, Target: c.Target, Tokens: uint32(c.Tokens)} //nolint:gosec // Not negative.
	}

	return o
}

// reportLoad reports a cell's load to the homes of the pool's other cells.
func (s *Supervisor) reportLoad(now time.Time, m *matcher.Matcher, x *matcher.Cell, h *cellState) {
	l := m.Siblings(x)
	if len(l) == 0 {
		return
	}

	h.mu.Lock()
	a, w := h.granter.CellLoad(now)
	h.mu.Unlock()

	for _, y := range l {
		s.notifier.ReportCellLoad(y, wire.CellLoad{From: x.ID, To: y.ID, MilliRequests: uint64(a * unitsPerRequest), Weight: uint32(w)})
	}
}

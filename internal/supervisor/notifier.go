package supervisor

import (
	"time"

	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/placer"
	"github.com/auburntray/auburntray/internal/wire"
)

// unitsPerRequest is the number of units per request in load reports.
const unitsPerRequest = 1000

// Bounds of the placements that a home sends to other routers in each sweep.
const (
	// maxNewPlacements and maxRepeatedPlacements bound the new placements and the repeated ones
	// that are replicated to the cell's next home.
	maxNewPlacements      = 128
	maxRepeatedPlacements = 16
	// maxHandedPlacements bounds the placements that a former home hands over. Cells of current sizes
	// are handed over within seconds, and cells of the design size without a burst.
	maxHandedPlacements = 2048
)

// notifier notifies the homes of cells.
type notifier interface {
	// ReportCellLoad sends a cell's load to the home of another cell.
	ReportCellLoad(to *matcher.Cell, w wire.CellLoad)
	// HandOver sends placements of a cell to its home.
	HandOver(cell *matcher.Cell, w wire.HandOver)
	// Replicate sends placements of a cell to the router that becomes its home if this one fails.
	Replicate(cell *matcher.Cell, w wire.HandOver)
}

// replicate sends the cell's new placements to its next home. Without this, a home that is killed
// would cost its chats their prompt caches where callers return no token.
func (s *Supervisor) replicate(x *matcher.Cell, h *home) {
	h.mu.Lock()
	l := h.granter.ChangedPlacements(maxNewPlacements, maxRepeatedPlacements)
	h.mu.Unlock()

	if len(l) > 0 {
		s.notifier.Replicate(x, wire.HandOver{Cell: x.ID, Placements: wirePlacements(l)})
	}
}

// markOwned records that this router is the cell's home.
func (h *home) markOwned() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.holder = 0
	h.nextPosition = 0
}

// handOver sends the placements of a cell to the router that has become its home, a part per sweep.
// A router that joins becomes the home of some cells of live routers; without the handover, each
// start of a router would cost the chats of these cells their prompt caches. The next home of a
// cell also hands over the placements that were replicated to it, if the cell's home failed and a
// new process became the home instead.
func (s *Supervisor) handOver(x *matcher.Cell, to uint64) {
	s.mu.Lock()
	h, ok := s.homes[x.ID]
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

	if len(l) > 0 {
		s.notifier.HandOver(x, wire.HandOver{Cell: x.ID, Placements: wirePlacements(l)})
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
func (s *Supervisor) reportLoad(now time.Time, m *matcher.Matcher, x *matcher.Cell, h *home) {
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

package supervisor

import (
	"math"

	"github.com/auburntray/auburntray/internal/wire"
)

// PlacementCount returns the number of placements in all cells.
func (s *Supervisor) PlacementCount() int {
	n := 0

	for _, h := range s.snapshot() {
		h.mu.Lock()
		n += h.granter.Placements().Len()
		h.mu.Unlock()
	}

	return n
}

// EachCell calls f with the identifier and the placements of each cell.
func (s *Supervisor) EachCell(f func(cell uint32, l []wire.Placement)) {
	for id, h := range s.snapshot() {
		h.mu.Lock()
		l, _ := h.granter.Placements().Scan(0, math.MaxInt)
		h.mu.Unlock()

		f(id, wirePlacements(l))
	}
}

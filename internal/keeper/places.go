package keeper

import (
	"math"

	"github.com/auburntray/auburntray/internal/wire"
)

// Places returns how many chats all cells remember.
func (k *Keeper) Places() int {
	n := 0

	for _, h := range k.snapshot() {
		h.mu.Lock()
		n += h.granter.Placements().Len()
		h.mu.Unlock()
	}

	return n
}

// Each calls f with each cell's identifier and remembered places.
func (k *Keeper) Each(f func(cell uint32, l []wire.Place)) {
	for id, h := range k.snapshot() {
		h.mu.Lock()
		l, _ := h.granter.Placements().Scan(0, math.MaxInt)
		h.mu.Unlock()

		f(id, places(l))
	}
}

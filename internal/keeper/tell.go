package keeper

import (
	"time"

	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/placer"
	"github.com/auburntray/auburntray/internal/wire"
)

// milli is the unit in which loads are told, in requests.
const milli = 1000

// What a home passes on to its successor each second, at most: new places, and
// others in turn.
const (
	newPlaces   = 128
	otherPlaces = 16
	// handedPlaces is what a former home passes on each second: a cell's chats
	// of today's sizes in seconds, without a burst at the design size.
	handedPlaces = 2048
)

// teller tells other homes.
type teller interface {
	// Tell sends a cell's load to the home of another.
	Tell(to *matcher.Cell, w wire.CellLoad)
	// HandOver sends places of a cell to its home.
	HandOver(cell *matcher.Cell, w wire.HandOver)
	// Replicate sends places of a cell to the home that comes after this one.
	Replicate(cell *matcher.Cell, w wire.HandOver)
}

// replicate sends the cell's new places to its next home, so that a home that
// is killed costs its chats no prompt cache even where callers return no token.
func (k *Keeper) replicate(x *matcher.Cell, h *home) {
	h.mu.Lock()
	l := h.granter.ChangedPlacements(newPlaces, otherPlaces)
	h.mu.Unlock()

	if len(l) > 0 {
		k.teller.Replicate(x, wire.HandOver{Cell: x.ID, Places: places(l)})
	}
}

// own notes that this router is the cell's home.
func (h *home) own() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.holder = 0
	h.handed = 0
}

// handOver passes the places of a cell on to the router that has become its
// home, a part each second. A router that joins takes the homes of some cells
// over from routers that live on; without this, each start of a router would
// cost these cells' chats their prompt caches. The successor of a home that was
// lost does the same when a new process is the home before it ever was.
func (k *Keeper) handOver(x *matcher.Cell, to uint64) {
	k.mu.Lock()
	h, ok := k.homes[x.ID]
	k.mu.Unlock()

	if !ok {
		return
	}

	h.mu.Lock()
	if h.holder == to {
		h.mu.Unlock()

		return
	}

	l, next := h.granter.Placements().Scan(h.handed, handedPlaces)
	h.handed = next

	if next == 0 {
		h.holder = to
	}

	h.mu.Unlock()

	if len(l) > 0 {
		k.teller.HandOver(x, wire.HandOver{Cell: x.ID, Places: places(l)})
	}
}

func places(l []placer.Chat) []wire.Place {
	o := make([]wire.Place, len(l))
	for i, c := range l {
		o[i] = wire.Place{Chat: c.Chat, Target: c.Target, Tokens: uint32(c.Tokens)} //nolint:gosec // Not negative.
	}

	return o
}

// tell sends a cell's load to the homes of the pool's other cells.
func (k *Keeper) tell(now time.Time, m *matcher.Matcher, x *matcher.Cell, h *home) {
	l := m.Siblings(x)
	if len(l) == 0 {
		return
	}

	h.mu.Lock()
	a, w := h.granter.CellLoad(now)
	h.mu.Unlock()

	for _, y := range l {
		k.teller.Tell(y, wire.CellLoad{From: x.ID, To: y.ID, Milli: uint64(a * milli), Weight: uint32(w)})
	}
}

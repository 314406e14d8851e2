// Package asker asks the homes of cells for places, on behalf of the requests
// that came in at this router.
package asker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// syncEvery is the time between two lists of all grants to their homes.
	syncEvery   = 5 * time.Second
	sendTimeout = time.Second
)

// peers talks to peers.
type peers interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// members says which routers are live.
type members interface {
	Home(key uint64, centres []string) (gossiper.Member, bool)
	Suspect(id uint64)
	Self() gossiper.Member
}

// keeper decides for the cells that this router is home to.
type keeper interface {
	Reserve(now time.Time, entry uint64, w wire.Ask) (wire.Verdict, error)
	Release(now time.Time, entry uint64, w wire.Release)
	Report(now time.Time, w wire.Report)
	BackOff(now time.Time, w wire.Rest)
	Sync(now time.Time, entry uint64, w wire.Sync)
}

// pauses knows when this process stood still.
type pauses interface {
	Stalled(since time.Time) bool
}

// Asker keeps the list of this router's grants. It is safe for concurrent use.
type Asker struct {
	peers   peers
	members members
	keeper  keeper
	counter *counter.Counter
	pauses  pauses
	timeout time.Duration

	mu     sync.Mutex
	seq    uint32
	asking map[uint32]bool
	cells  map[uint32]*cell
	// told is what the homes were told of targets, and when.
	told map[uint32]telling
}

// cell holds this router's grants in one cell, and the home that knows them.
type cell struct {
	cell   *matcher.Cell
	home   uint64
	grants map[uint32]wire.Grant
}

// New returns an Asker without grants. The timeout bounds one ask.
func New(m peers, l members, k keeper, n *counter.Counter, p pauses, timeout time.Duration) *Asker {
	return &Asker{
		peers: m, members: l, keeper: k, counter: n, pauses: p, timeout: timeout,
		asking: make(map[uint32]bool), cells: make(map[uint32]*cell), told: make(map[uint32]telling),
	}
}

// Run sends each cell's home the list of this router's grants from time to
// time, until the context ends.
func (a *Asker) Run(c context.Context) {
	t := time.NewTicker(syncEvery)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			a.SyncAll(c)
		case <-c.Done():
			return
		}
	}
}

// away returns the home of a cell when it is another router.
func (a *Asker) away(x *matcher.Cell) (gossiper.Member, bool) {
	h, ok := a.members.Home(uint64(x.ID), x.DataCentres)

	return h, ok && h.ID != a.members.Self().ID
}

func (a *Asker) entry(x *matcher.Cell) *cell {
	e, ok := a.cells[x.ID]
	if !ok {
		e = &cell{grants: make(map[uint32]wire.Grant)}
		a.cells[x.ID] = e
	}

	e.cell = x

	return e
}

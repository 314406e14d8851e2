// Package requester requests slots at targets from the homes of cells, for the calls that
// arrived at this router.
package requester

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// syncInterval is the interval at which each home is sent the list of this router's grants, and
	// the interval between two reports of a target whose state is unchanged.
	syncInterval = 5 * time.Second
	sendTimeout  = time.Second
	// informedHomes is the number of routers that are notified of a target that accepts no calls: the home of its cell
	// and the one that succeeds it.
	informedHomes = 2
)

// peers sends messages to other routers.
type peers interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// members determines homes among the live routers. Homes returns the home and the routers that succeed it.
type members interface {
	Home(key uint64, centres []string) (gossiper.Member, bool)
	Homes(key uint64, centres []string, number int) []gossiper.Member
	Suspect(id uint64)
	Self() gossiper.Member
}

// supervisor decides for the cells whose home is this router.
type supervisor interface {
	Reserve(now time.Time, entry uint64, w wire.SlotRequest) (wire.SlotReply, error)
	Release(now time.Time, entry uint64, w wire.Release)
	Report(now time.Time, w wire.Report)
	StartBackoff(now time.Time, w wire.Backoff)
	Sync(now time.Time, entry uint64, w wire.Sync)
	Observe(target uint32, s tracker.State)
	Unavailable(now time.Time, x *matcher.Cell) ([]wire.Backoff, []wire.Report)
}

// stallMonitor reports whether this process was stalled since a time.
type stallMonitor interface {
	Stalled(since time.Time) bool
}

// Requester requests slots and tracks this router's grants. It is safe for concurrent use.
type Requester struct {
	peers        peers
	members      members
	supervisor   supervisor
	counter      *counter.Counter
	stallMonitor stallMonitor
	timeout      time.Duration

	mu  sync.Mutex
	seq uint32
	// pending contains the sequence numbers of unanswered requests.
	pending map[uint32]bool
	cells   map[uint32]*cell
	// reported is the last state of each target that was reported to its home.
	reported map[uint32]stateReport
}

// cell contains this router's grants in one cell, and the ID of the home that granted them or
// received a list of them. The home is zero before the first request.
type cell struct {
	cell   *matcher.Cell
	home   uint64
	grants map[uint32]wire.Grant
}

// New returns a Requester without grants. The timeout bounds one request to a home.
func New(m peers, l members, s supervisor, n *counter.Counter, d stallMonitor, timeout time.Duration) *Requester {
	return &Requester{
		peers: m, members: l, supervisor: s, counter: n, stallMonitor: d, timeout: timeout,
		pending: make(map[uint32]bool), cells: make(map[uint32]*cell), reported: make(map[uint32]stateReport),
	}
}

// Run sends each cell's home the list of this router's grants periodically, until the
// context ends.
func (r *Requester) Run(c context.Context) {
	t := time.NewTicker(syncInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			r.SyncAll(c)
		case <-c.Done():
			return
		}
	}
}

// remoteHome returns the home of a cell, or false if it is this router or there is none.
func (r *Requester) remoteHome(x *matcher.Cell) (gossiper.Member, bool) {
	h, ok := r.members.Home(uint64(x.ID), x.DataCentres)

	return h, ok && h.ID != r.members.Self().ID
}

// entry returns the state of a cell and creates it if there is none.
func (r *Requester) entry(x *matcher.Cell) *cell {
	e, ok := r.cells[x.ID]
	if !ok {
		e = &cell{grants: make(map[uint32]wire.Grant)}
		r.cells[x.ID] = e
	}

	e.cell = x

	return e
}

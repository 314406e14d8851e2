// Package supervisor runs the Granters of the cells whose home is this router. The home (home node) of
// a cell is the one router responsible for reserving slots at the cell's targets.
package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/tracker"
)

const (
	sweepInterval = time.Second
	// cellTimeout is how long the state of a cell without requests is retained.
	cellTimeout = 2 * time.Minute
)

var (
	// ErrMessage marks a message that can't be decoded.
	ErrMessage = errors.New("invalid cell message")
	// ErrUnknownCell means that the configuration in force at this router has no such cell or
	// rule. The requester's configuration may be newer or older.
	ErrUnknownCell = errors.New("no such cell or rule")
)

// Supervisor reserves slots for requests of all routers, this one included, and maintains one Granter per cell. It does
// not check that this router is the cell's home. The router that sent the request considers it the
// home, and a refusal would leave the call without a slot while routers disagree on which routers are
// live. It is safe for concurrent use.
type Supervisor struct {
	settings     granter.Settings
	self         uint64
	config       func() *follower.Config
	prober       prober
	notifier     notifier
	stallMonitor stallMonitor

	mu    sync.Mutex
	cells map[uint32]*cellState
	// states holds the target states from the platform's registry and from entry routers, and backoffs the backoffs of
	// targets. They are applied to a cell when this router becomes its home or the cell's targets change.
	states   *tracker.Tracker
	backoffs backoffs
}

// New returns a supervisor without cells. Self is the identifier of this router, and config returns the
// configuration in force.
func New(s granter.Settings, self uint64, config func() *follower.Config, p prober, t notifier, x stallMonitor) *Supervisor {
	return &Supervisor{
		settings: s, self: self, config: config, prober: p, notifier: t, stallMonitor: x, cells: make(map[uint32]*cellState), states: tracker.New(), backoffs: make(backoffs),
	}
}

// Run sweeps the cells periodically until the context ends. The function home returns the identifier
// of a cell's home.
func (s *Supervisor) Run(c context.Context, home func(*matcher.Cell) uint64) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			s.sweep(c, home)
		case <-c.Done():
			return
		}
	}
}

// sweep probes targets without recent reports, reports the load and replicates placements of the
// cells that this router is the home of, hands over the placements of others, expires grants and
// drops unused cells.
func (s *Supervisor) sweep(c context.Context, home func(*matcher.Cell) uint64) {
	n := time.Now()
	f := s.config()

	for _, x := range f.Matcher.Cells() {
		if y := home(x); y != s.self {
			s.handOver(n, x, y)

			continue
		}

		if h, err := s.cellState(n, f, x.ID); err == nil {
			h.markOwned()
			s.probe(c, n, f.Matcher, h)
			s.reportLoad(n, f.Matcher, x, h)
			s.replicate(n, x, h)
		}
	}

	for id, h := range s.snapshot() {
		h.mu.Lock()
		h.granter.Expire(n)
		u := n.Sub(h.lastUsed) > cellTimeout && h.granter.Len() == 0
		h.mu.Unlock()

		if x := f.Matcher.Cell(id); u && (x == nil || home(x) != s.self) {
			s.mu.Lock()
			delete(s.cells, id)
			s.mu.Unlock()
		}
	}
}

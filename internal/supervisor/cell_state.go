package supervisor

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
)

// cellState is the state of one cell at this router, which is its home, was its home, or received its
// placements as the next home. Each cell has its own lock, so requests for different
// cells don't wait for each other.
type cellState struct {
	mu       sync.Mutex
	granter  *granter.Granter
	lastUsed time.Time
	// configured reports whether the targets of the cell are set. They are not if messages for the cell arrived before
	// its configuration.
	configured atomic.Bool
	// holder is the router known to have this cell's placements, either because they were handed over
	// to it or because it sent them to this router. Zero means none.
	holder uint64
	// nextPosition is where the scan of the placements continues during a handover.
	nextPosition int
}

// Update applies a new configuration to all cells, and drops the cells that are no longer in it.
func (s *Supervisor) Update(f *follower.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for id, h := range s.cells {
		x := f.Matcher.Cell(id)
		if x == nil {
			if h.configured.Load() {
				delete(s.cells, id)
			}

			continue
		}

		h.mu.Lock()
		s.update(h, f, x)
		h.mu.Unlock()
	}
}

// update applies a configuration to one cell, with the states and backoffs of its targets: these may have been reported
// while a target was not in the cell. The caller holds both locks.
func (s *Supervisor) update(h *cellState, f *follower.Config, x *matcher.Cell) {
	h.granter.Update(targets(x), limits(f.Matcher))
	h.configured.Store(true)

	n := time.Now()

	for _, t := range x.Targets {
		h.granter.Report(n, t.ID, -1, s.states.Get(t.ID))

		if d := s.backoffs.remaining(n, t.ID); d > 0 {
			h.granter.StartBackoff(n, t.ID, d)
		}
	}
}

func (s *Supervisor) snapshot() map[uint32]*cellState {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := make(map[uint32]*cellState, len(s.cells))
	for id, h := range s.cells {
		o[id] = h
	}

	return o
}

// withCell calls f with a cell under its lock. If the cell is not in the configuration in force, the sender may have a newer
// one, and sends most messages only once: the cell has no targets then until its configuration arrives.
func (s *Supervisor) withCell(now time.Time, cell uint32, f func(h *cellState)) {
	h, err := s.cellState(now, s.config(), cell)
	if err != nil {
		s.mu.Lock()
		h = s.createCell(now, cell)
		s.mu.Unlock()
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	f(h)
}

// cellState returns the state of a cell of a configuration. It creates the state on first use. It fails with
// ErrUnknownCell.
func (s *Supervisor) cellState(now time.Time, f *follower.Config, cell uint32) (*cellState, error) {
	x := f.Matcher.Cell(cell)
	if x == nil {
		return nil, ErrUnknownCell
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	h := s.createCell(now, cell)

	if !h.configured.Load() {
		h.mu.Lock()
		s.update(h, f, x)
		h.mu.Unlock()
	}

	return h, nil
}

// createCell returns the state of a cell, and creates it without targets if there is none. The caller holds the lock.
func (s *Supervisor) createCell(now time.Time, cell uint32) *cellState {
	h, ok := s.cells[cell]
	if !ok {
		r := rand.New(rand.NewPCG(rand.Uint64(), uint64(cell))) //nolint:gosec // Used only for jitter.
		h = &cellState{granter: granter.New(s.settings, r), lastUsed: now}
		s.cells[cell] = h
	}

	return h
}

func targets(c *matcher.Cell) []granter.Target {
	o := make([]granter.Target, 0, len(c.Targets))

	for _, t := range c.Targets {
		if !t.Drain {
			o = append(o, granter.Target{ID: t.ID, Capacity: t.Capacity, Engine: t.Kind == parser.KindEngine})
		}
	}

	return o
}

func limits(m *matcher.Matcher) granter.Limits {
	l := m.Limits()

	return granter.Limits{LoadFactor: l.LoadFactor(), Slack: float64(l.Slack())}
}

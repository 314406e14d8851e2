package supervisor

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
)

// home is the state of one cell at its home. Each cell has its own lock, so requests for different
// cells don't wait for each other.
type home struct {
	mu       sync.Mutex
	granter  *granter.Granter
	lastUsed time.Time
	// holder is the router that has the placements of this cell already: the home that they were
	// handed over to or that replicated them to this router. Zero means none. nextPosition is the
	// position of the scan while they are handed over to a new home.
	holder       uint64
	nextPosition int
}

// Update applies a new configuration to all cells, and drops those that are not in it.
func (s *Supervisor) Update(f *follower.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for id, h := range s.homes {
		x := f.Matcher.Cell(id)
		if x == nil {
			delete(s.homes, id)

			continue
		}

		h.mu.Lock()
		s.update(h, f, x)
		h.mu.Unlock()
	}
}

// update applies a configuration to one cell. It also applies the states from the platform's
// registry, which may have changed while a target was not in the cell. The caller holds both locks.
func (s *Supervisor) update(h *home, f *follower.Config, x *matcher.Cell) {
	h.granter.Update(targets(x), limits(f.Matcher))

	for _, t := range x.Targets {
		h.granter.Report(time.Now(), t.ID, -1, s.states.Get(t.ID))
	}
}

func (s *Supervisor) snapshot() map[uint32]*home {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := make(map[uint32]*home, len(s.homes))
	for id, h := range s.homes {
		o[id] = h
	}

	return o
}

// withCell calls f with a cell under its lock. Messages for a cell that is not in the configuration in
// force are dropped, since their sender uses another revision.
func (s *Supervisor) withCell(now time.Time, cell uint32, f func(h *home)) {
	h, err := s.home(now, s.force(), cell)
	if err != nil {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	f(h)
}

// home returns the state of a cell, which it creates on first use. It fails with ErrUnknownCell.
func (s *Supervisor) home(now time.Time, f *follower.Config, cell uint32) (*home, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if h, ok := s.homes[cell]; ok {
		return h, nil
	}

	x := f.Matcher.Cell(cell)
	if x == nil {
		return nil, ErrUnknownCell
	}

	r := rand.New(rand.NewPCG(rand.Uint64(), uint64(cell))) //nolint:gosec // Jitter.
	h := &home{granter: granter.New(s.settings, r), lastUsed: now}
	s.update(h, f, x)
	s.homes[cell] = h

	return h, nil
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

package keeper

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
)

// home is one cell's Granter. Requests for different cells don't wait for each
// other.
type home struct {
	mu      sync.Mutex
	granter *granter.Granter
	used    time.Time
	// holder is the router that has the places held here: the home that they
	// were handed over to, or that replicated them. Zero is none. While they are
	// handed over to a new home, handed is how far.
	holder uint64
	handed int
}

// Update brings a new configuration to all cells.
func (k *Keeper) Update(f *follower.Config) {
	k.mu.Lock()
	defer k.mu.Unlock()

	for id, h := range k.homes {
		x := f.Matcher.Cell(id)
		if x == nil {
			delete(k.homes, id)

			continue
		}

		h.mu.Lock()
		k.update(h, f, x)
		h.mu.Unlock()
	}
}

// update brings a configuration to one cell, and what the platform's list said
// of its targets while they were not in it. The caller holds both locks.
func (k *Keeper) update(h *home, f *follower.Config, x *matcher.Cell) {
	h.granter.Update(targets(x), limits(f.Matcher))

	for _, t := range x.Targets {
		h.granter.Report(time.Now(), t.ID, -1, k.states.Get(t.ID))
	}
}

func (k *Keeper) snapshot() map[uint32]*home {
	k.mu.Lock()
	defer k.mu.Unlock()

	o := make(map[uint32]*home, len(k.homes))
	for id, h := range k.homes {
		o[id] = h
	}

	return o
}

// at calls f with a cell under its lock. What comes for a cell that is not in the
// configuration in force here is dropped: its sender follows another revision.
func (k *Keeper) at(now time.Time, cell uint32, f func(h *home)) {
	h, err := k.home(now, k.force(), cell)
	if err != nil {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	f(h)
}

// home returns the Granter of a cell, making it when a first ask comes.
func (k *Keeper) home(now time.Time, f *follower.Config, cell uint32) (*home, error) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if h, ok := k.homes[cell]; ok {
		return h, nil
	}

	x := f.Matcher.Cell(cell)
	if x == nil {
		return nil, ErrUnknownCell
	}

	r := rand.New(rand.NewPCG(rand.Uint64(), uint64(cell))) //nolint:gosec // Jitter.
	h := &home{granter: granter.New(k.settings, r), used: now}
	k.update(h, f, x)
	k.homes[cell] = h

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

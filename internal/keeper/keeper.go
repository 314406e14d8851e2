// Package keeper runs the Granters of the cells that this router is home to.
package keeper

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/placer"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	sweepEvery = time.Second
	// idleAfter is how long a cell that nobody asks for is kept.
	idleAfter = 2 * time.Minute
)

var (
	// ErrMessage marks a message that can't be read.
	ErrMessage = errors.New("the message is not valid")
	// ErrUnknownCell means that the configuration in force here has no such
	// cell or rule; the asker's may be newer or older.
	ErrUnknownCell = errors.New("no such cell or rule")
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

// Keeper answers asks for the cells that come to it. It does not check that it
// is a cell's home: whoever asks believes so, and refusing would leave the
// request without a place while routers disagree.
type Keeper struct {
	settings granter.Settings
	self     uint64
	force    func() *follower.Force
	prober   prober
	teller   teller
	pauses   pauses

	mu    sync.Mutex
	homes map[uint32]*home
	// states keeps what the platform's list said of targets, for cells that
	// this router becomes the home of later.
	states *tracker.Tracker
}

// New returns a Keeper without cells. Self names this router.
func New(s granter.Settings, self uint64, force func() *follower.Force, p prober, t teller, x pauses) *Keeper {
	return &Keeper{
		settings: s, self: self, force: force, prober: p, teller: t, pauses: x, homes: make(map[uint32]*home), states: tracker.New(),
	}
}

// Run sweeps the cells until the context ends. The function says which router is
// a cell's home.
func (k *Keeper) Run(c context.Context, home func(*matcher.Cell) uint64) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			k.sweep(c, home)
		case <-c.Done():
			return
		}
	}
}

// Update brings a new configuration to all cells.
func (k *Keeper) Update(f *follower.Force) {
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
func (k *Keeper) update(h *home, f *follower.Force, x *matcher.Cell) {
	h.granter.Update(targets(x), limits(f.Matcher))

	for _, t := range x.Targets {
		h.granter.Report(time.Now(), t.ID, -1, k.states.Get(t.ID))
	}
}

// Ask decides on an entry's request for a place. It fails with ErrUnknownCell.
func (k *Keeper) Ask(now time.Time, entry uint64, w wire.Ask) (wire.Verdict, error) {
	f := k.force()

	h, err := k.home(now, f, w.Cell)
	if err != nil {
		return wire.Verdict{}, err
	}

	r := f.Matcher.Rule(w.Rule)
	if r == nil {
		return wire.Verdict{}, ErrUnknownCell
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.used = now
	v := h.granter.Ask(now, granter.Ask{
		ID:       granter.ID{Entry: entry, Seq: w.Seq},
		Chat:     w.Chat,
		Customer: w.Customer,
		Weight:   f.Matcher.Weight(w.Customer),
		Prompt:   int(w.Prompt),
		Waited:   time.Duration(w.WaitedMs) * time.Millisecond,
		Hint:     w.Hint,
		Allowed:  allowed(f.Matcher, r),
		Excluded: w.Excluded,
		Sent:     w.Sent,
	})

	return wire.Verdict{
		Reason: uint8(v.Reason), Target: v.Target | v.Cell, Flags: flags(v),
		RetryAfterMs: uint32(v.RetryAfter.Milliseconds()), //nolint:gosec // A few seconds.
	}, nil
}

// Release ends a grant.
func (k *Keeper) Release(now time.Time, entry uint64, w wire.Release) {
	k.at(now, w.Cell, func(h *home) {
		h.granter.Release(now, granter.ID{Entry: entry, Seq: w.Seq}, granter.Outcome{
			OK: w.OK, NeverSent: w.NeverSent,
		})
	})
}

// Report takes what an entry heard of a target.
func (k *Keeper) Report(now time.Time, w wire.Report) {
	k.at(now, w.Cell, func(h *home) {
		h.granter.Report(now, w.Target, int(w.Requests), tracker.State{Incarnation: w.Incarnation, Leaving: w.Leaving})
	})
}

// Sync takes an entry's list of its grants in a cell.
func (k *Keeper) Sync(now time.Time, entry uint64, w wire.Sync) {
	l := make([]granter.Grant, len(w.Grants))
	for i, g := range w.Grants {
		l[i] = granter.Grant{
			ID: granter.ID{Entry: entry, Seq: g.Seq}, Target: g.Target, Customer: g.Customer, Work: 1,
		}
	}

	k.at(now, w.Cell, func(h *home) {
		h.granter.Sync(now, entry, w.UpTo, l)
	})
}

// Seen takes what the platform's list says of a target.
func (k *Keeper) Seen(i recorder.Instance) {
	k.Observe(hasher.Name(i.Name), tracker.State{Incarnation: i.Incarnation, Leaving: i.Leaving || i.Gone})
}

// Observe takes a target's state from a source other than an answer.
func (k *Keeper) Observe(target uint32, s tracker.State) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.states.Observe(target, s)

	for _, h := range k.homes {
		h.mu.Lock()
		h.granter.Report(time.Now(), target, -1, s)
		h.mu.Unlock()
	}
}

// Other takes the load of another cell of a pool.
func (k *Keeper) Other(now time.Time, w wire.CellLoad) {
	k.at(now, w.To, func(h *home) {
		h.granter.Other(now, w.From, float64(w.Milli)/milli, float64(w.Weight))
	})
}

// HandOver takes places of a cell from its former home, or from its home for the
// case that it is lost.
func (k *Keeper) HandOver(now time.Time, from uint64, w wire.HandOver) {
	k.at(now, w.Cell, func(h *home) {
		h.holder = from

		for _, p := range w.Places {
			h.granter.Remember(now, p.Chat, placer.Place{Target: p.Target, Tokens: int(p.Tokens)})
		}
	})
}

// Places returns how many chats all cells remember.
func (k *Keeper) Places() int {
	n := 0

	for _, h := range k.snapshot() {
		h.mu.Lock()
		n += h.granter.Places().Len()
		h.mu.Unlock()
	}

	return n
}

// Each calls f with each cell's identifier and remembered places.
func (k *Keeper) Each(f func(cell uint32, l []wire.Place)) {
	for id, h := range k.snapshot() {
		h.mu.Lock()
		l, _ := h.granter.Places().Scan(0, math.MaxInt)
		h.mu.Unlock()

		f(id, places(l))
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
func (k *Keeper) home(now time.Time, f *follower.Force, cell uint32) (*home, error) {
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

// sweep expires grants, drops unused cells and probes quiet targets of the own
// cells.
func (k *Keeper) sweep(c context.Context, home func(*matcher.Cell) uint64) {
	n := time.Now()
	f := k.force()

	for _, x := range f.Matcher.Cells() {
		if y := home(x); y != k.self {
			k.handOver(x, y)

			continue
		}

		if h, err := k.home(n, f, x.ID); err == nil {
			h.own()
			k.probe(c, n, f.Matcher, h)
			k.tell(n, f.Matcher, x, h)
			k.replicate(x, h)
		}
	}

	for id, h := range k.snapshot() {
		h.mu.Lock()
		h.granter.Expire(n)
		u := n.Sub(h.used) > idleAfter && h.granter.Len() == 0
		h.mu.Unlock()

		if x := f.Matcher.Cell(id); u && (x == nil || home(x) != k.self) {
			k.mu.Lock()
			delete(k.homes, id)
			k.mu.Unlock()
		}
	}
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

func flags(v granter.Verdict) uint8 {
	var f uint8

	if v.Returned {
		f |= wire.FlagReturned
	}

	if v.Tell {
		f |= wire.FlagTell
	}

	return f
}

func limits(m *matcher.Matcher) granter.Limits {
	l := m.Limits()

	return granter.Limits{LoadFactor: l.LoadFactor(), Slack: float64(l.Slack())}
}

func allowed(m *matcher.Matcher, r *matcher.Rule) func(uint32) bool {
	return func(t uint32) bool {
		x := m.Target(t)

		return x != nil && r.Selects(x)
	}
}

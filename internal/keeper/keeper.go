// Package keeper runs the Granters of the cells that this router is home to.
package keeper

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

// Keeper answers asks for the cells that come to it. It does not check that it
// is a cell's home: whoever asks believes so, and refusing would leave the
// request without a place while routers disagree.
type Keeper struct {
	settings granter.Settings
	self     uint64
	force    func() *follower.Config
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
func New(s granter.Settings, self uint64, force func() *follower.Config, p prober, t teller, x pauses) *Keeper {
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

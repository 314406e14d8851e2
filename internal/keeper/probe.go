package keeper

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/tracker"
)

const (
	// quietAfter is how long a target may say nothing before it is probed.
	// Answers carry the same report, so busy targets are never probed. A
	// target's own word that it leaves is in force after at most this, one
	// sweep and one probe.
	quietAfter   = time.Second
	probeTimeout = 500 * time.Millisecond
)

// Health is what a target says of itself.
type Health struct {
	// Requests is its load; negative when it reports none.
	Requests int
	State    tracker.State
	// Rest is for how long it wants no requests; zero when it does not say.
	Rest time.Duration
}

// prober asks a target for its health.
type prober interface {
	Probe(c context.Context, a netip.AddrPort) (Health, error)
}

// pauses knows when this process stood still.
type pauses interface {
	Stalled(since time.Time) bool
}

// probe asks the cell's quiet targets for their health, each in the background.
func (k *Keeper) probe(c context.Context, now time.Time, m *matcher.Matcher, h *home) {
	h.mu.Lock()
	l := h.granter.Unreported(now, now.Add(-quietAfter))
	h.mu.Unlock()

	for _, id := range l {
		if t := m.Target(id); t != nil {
			go k.probeOne(c, h, t)
		}
	}
}

func (k *Keeper) probeOne(c context.Context, h *home, t *matcher.Target) {
	x, stop := context.WithTimeout(c, probeTimeout)
	defer stop()

	b := time.Now()

	r, err := k.prober.Probe(x, t.Address)
	if c.Err() != nil {
		return
	}

	// A process that stands still finds on waking that the times of its probes have
	// run out, though the targets answered, and after three such pauses it leaves
	// targets alone that are well. That says nothing of them; the next probe does.
	if detector.TimedOut(err) && k.pauses.Stalled(b) {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	n := time.Now()
	h.granter.RecordProbe(n, t.ID, err == nil)

	if err == nil {
		h.granter.Report(n, t.ID, r.Requests, r.State)
	}
}

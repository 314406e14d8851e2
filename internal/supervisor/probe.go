package supervisor

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/tracker"
)

const (
	// probeAfter is the time without a report after which a target is probed. Answers contain the
	// same report, so busy targets are not probed. That a target is leaving is known after at most
	// this time, one sweep interval and one probe.
	probeAfter   = time.Second
	probeTimeout = 500 * time.Millisecond
)

// Health is what a target reports of itself, in its response to a probe or in the header of any
// other answer.
type Health struct {
	// Requests is the number of requests at the target; negative when it reports none.
	Requests int
	State    tracker.State
	// Backoff is the backoff that the target requests; zero means none.
	Backoff time.Duration
}

// prober requests the health of a target.
type prober interface {
	Probe(c context.Context, a netip.AddrPort) (Health, error)
}

// stallMonitor reports whether this process was stalled at some point since a time.
type stallMonitor interface {
	Stalled(since time.Time) bool
}

// probe probes the cell's targets without recent reports, each in the background.
func (s *Supervisor) probe(c context.Context, now time.Time, m *matcher.Matcher, h *cellState) {
	h.mu.Lock()
	l := h.granter.TargetsWithoutReport(now, now.Add(-probeAfter))
	h.mu.Unlock()

	for _, id := range l {
		if t := m.Target(id); t != nil {
			go s.probeOne(c, h, t)
		}
	}
}

func (s *Supervisor) probeOne(c context.Context, h *cellState, t *matcher.Target) {
	x, stop := context.WithTimeout(c, probeTimeout)
	defer stop()

	b := time.Now()

	r, err := s.prober.Probe(x, t.Address)
	if c.Err() != nil {
		return
	}

	// A probe that timed out while this process was stalled is no evidence against the target,
	// which may have answered. Three such stalls would exclude healthy targets, so this
	// probe is ignored; the next one decides.
	if detector.TimedOut(err) && s.stallMonitor.Stalled(b) {
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

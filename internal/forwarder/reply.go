package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

// handleReply processes what a target reports about itself in the headers of an answer,
// regardless of the outcome of the call.
func (f *Forwarder) handleReply(x *exchange, t *discoverer.Target, p Reply) {
	// The reply comes from another process, which now has the target's address.
	if p.Misdirected {
		return
	}

	x.reply = p
	f.reportLoad(x, t, p)

	if p.Leaving {
		f.handleLeaving(t)
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	switch n := time.Now(); {
	case p.Backoff > 0:
		f.selector.StartBackoff(n, t, p.Backoff)
	case !p.NotRun:
		f.selector.RecordAnswer(n, t)
	}
}

// accepts reports whether a target still accepts calls. While a slot was requested from the target's
// home node, the target may have announced its shutdown or requested a backoff, or its data centre may have
// been evacuated.
func (f *Forwarder) accepts(t *discoverer.Target) bool {
	if !f.state.Registry().AcceptsCalls(t) {
		return false
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	return !f.selector.InBackoff(time.Now(), t)
}

// remainingBackoff returns the time until the first backoff ends if all targets that could serve a
// call have requested one, and zero otherwise.
func (f *Forwarder) remainingBackoff(x *exchange, r *discoverer.Registry) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()

	if d, ok := f.selector.GroupBackoff(time.Now(), r, x.group, x.query(f.settings, selector.Direct)); ok {
		return d
	}

	return 0
}

// handleLeaving records that a target announced its shutdown, and notifies other instances.
//
// The other instances would otherwise learn it from the list of targets, which lags and may be unavailable for
// longer than the target keeps running.
func (f *Forwarder) handleLeaving(t *discoverer.Target) {
	if x := f.state.Registry().Processes[t.Key()]; x != nil && x.Leaving {
		return
	}

	if p := t.Process(); f.state.MarkLeaving(p) {
		f.logLeaving(p, selector.Own)
		f.notifyLeaving(p)
	}
}

// logLeaving logs and counts that a target is excluded because its process announced its shutdown.
func (f *Forwarder) logLeaving(p discoverer.Process, s selector.Source) {
	f.meter.HealthChange("targetLeaves", true)
	logrus.WithFields(logrus.Fields{"event": "targetLeaves", "target": p.ID, "source": s}).Info()
}

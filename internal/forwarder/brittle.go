package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/selector"
)

// OnRefusal sets the function that is called when a brittle target has refused a call. It must be called before
// the first call is served.
func (f *Forwarder) OnRefusal(g func(r selector.Refusal)) {
	f.notifyRefusal = g
}

// ApplyRefusal applies a notification from another instance that a brittle target has refused a call.
func (f *Forwarder) ApplyRefusal(r selector.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.selector.ReportRefusal(time.Now(), f.state.Registry(), r)
}

// handleBrittle processes what an answer says about the brittleness of its target. All instances are notified at once of
// a refusal: the others would send calls to the target until it has refused one of theirs, and it would crash.
func (f *Forwarder) handleBrittle(x *exchange, t selector.Choice, p Reply) {
	n, calls := time.Now(), p.Running+p.Waiting

	switch {
	case p.Misdirected || !p.NotRun && !p.Sealed: // Not the answer of the target.
	case !p.Brittle:
		f.mu.Lock()
		f.selector.ReportSound(n, t.Target)
		f.mu.Unlock()
	case !p.NotRun:
		if t.Explores {
			calls = max(calls, t.MaxCalls)
		}

		f.mu.Lock()
		f.selector.ReportBrittle(n, t.Target, p.MaxRefusals, calls)
		f.mu.Unlock()
	default:
		if p.Slots == 0 {
			calls = int(t.Load)
		}

		x.reservation.hold = refusedHold
		r := selector.Refusal{Process: t.Target.Process(), Calls: calls, MaxRefusals: p.MaxRefusals}

		f.mu.Lock()
		f.selector.ReportRefusal(n, f.state.Registry(), r)
		f.mu.Unlock()

		logrus.WithFields(logrus.Fields{
			"event": "brittleTargetRefused", "id": x.call.ID, "target": t.Target.ID, "calls": calls, "maxRefusals": p.MaxRefusals,
		}).Info()
		f.notifyRefusal(r)
	}
}

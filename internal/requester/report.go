package requester

import (
	"context"
	"math"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

// stateReport is a state of a target with the time at which it was reported.
type stateReport struct {
	state tracker.State
	at    time.Time
}

// Release releases a slot, with the outcome of its attempt.
func (r *Requester) Release(p Reservation, o granter.Outcome) {
	self := r.members.Self().ID
	local := p.local

	r.mu.Lock()
	if x, ok := r.cells[p.cell.ID]; ok {
		delete(x.grants, p.seq)

		local = local || x.home == self
	}
	r.mu.Unlock()

	w := wire.Release{Seq: p.seq, Cell: p.cell.ID, OK: o.OK, NeverSent: o.NeverSent}

	// The home does not know a slot that this router granted because the home could not, unless it has received the list
	// of grants since.
	h, ok := r.remoteHome(p.cell)
	if !ok || local {
		r.supervisor.Release(time.Now(), self, w)
	}

	// If this message is lost, the home releases the slot when it receives the next list of grants,
	// which does not contain this one.
	if ok {
		r.send(h, wire.KindRelease, &w)
	}
}

// Report forwards to the home the load and state that a target reported at the start of its
// answer, if the home requested a load report or a report of the target's state is due. It
// must be called before the answer is complete, since a target that is shutting down gets new
// calls until the home knows that.
func (r *Requester) Report(p Reservation, requests int, s tracker.State) {
	n := r.stateDue(p.Target, s)
	if !p.reportDue && !n {
		return
	}

	w := wire.Report{Cell: p.cell.ID, Target: p.Target, Requests: int32(min(requests, math.MaxInt32))} //nolint:gosec // Bounded.
	if n {
		w.Incarnation = s.Incarnation
		w.Leaving = s.Leaving
	}

	if n && s.Leaving {
		r.supervisor.Observe(p.Target, s)
		r.notifySuccessor(p.cell, wire.KindReport, &w)
	}

	h, ok := r.remoteHome(p.cell)
	if !ok {
		r.supervisor.Report(time.Now(), w)

		return
	}

	if !r.send(h, wire.KindReport, &w) && n {
		r.forgetReported(p.Target)
	}
}

// StartBackoff notifies the home and its successor that a target requested a backoff of the given duration. This router
// records it too, since it decides itself if no home can.
func (r *Requester) StartBackoff(p Reservation, d time.Duration) {
	w := wire.Backoff{Cell: p.cell.ID, Target: p.Target, DurationMs: uint32(min(d.Milliseconds(), math.MaxUint32))} //nolint:gosec // Bounded.

	r.supervisor.StartBackoff(time.Now(), w)
	r.notifySuccessor(p.cell, wire.KindBackoff, &w)

	if h, ok := r.remoteHome(p.cell); ok {
		r.send(h, wire.KindBackoff, &w)
	}
}

// notifySuccessor sends a message in the background to the router that succeeds a cell's home.
func (r *Requester) notifySuccessor(x *matcher.Cell, k wire.Kind, m msgp.Marshaler) {
	l := r.members.Homes(uint64(x.ID), x.DataCentres, informedHomes)
	if len(l) == informedHomes && l[1].ID != r.members.Self().ID {
		go r.send(l[1], k, m)
	}
}

// send sends a message to a home and reports whether it was sent. It suspects the home on failure.
func (r *Requester) send(h gossiper.Member, k wire.Kind, m msgp.Marshaler) bool {
	c, stop := context.WithTimeout(context.Background(), sendTimeout)
	defer stop()

	b := time.Now()

	err := r.peers.Send(c, h.Address, k, m)
	if err != nil {
		r.suspect(h, b, err)
	}

	return err == nil
}

// suspect excludes a home after a message to it failed, unless the message timed out
// because this process was stalled since start.
//
// After a stall, all pending requests time out. If their homes were excluded, this router
// would decide locally for seconds, while the healthy homes continue to grant slots of
// the same targets.
func (r *Requester) suspect(h gossiper.Member, start time.Time, err error) {
	if detector.TimedOut(err) && r.stallMonitor.Stalled(start) {
		return
	}

	r.members.Suspect(h.ID)
}

// stateDue returns whether a target's state must be reported to the home now, and if so, records
// the state as reported. A changed state is due at once, and an unchanged state every
// syncInterval, in case the home has changed. A state without an incarnation is never due.
func (r *Requester) stateDue(target uint32, s tracker.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	o := r.reported[target]
	if s.Incarnation == 0 || (o.state == s && time.Since(o.at) < syncInterval) {
		return false
	}

	r.reported[target] = stateReport{state: s, at: time.Now()}

	return true
}

// forgetReported makes a target's state due again, since its report was not sent.
func (r *Requester) forgetReported(target uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.reported, target)
}

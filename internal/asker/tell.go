package asker

import (
	"context"
	"math"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

type telling struct {
	state tracker.State
	at    time.Time
}

// Release gives a place back.
func (a *Asker) Release(p Place, o granter.Outcome) {
	a.mu.Lock()
	if x, ok := a.cells[p.cell.ID]; ok {
		delete(x.grants, p.seq)
	}
	a.mu.Unlock()

	w := wire.Release{Seq: p.seq, Cell: p.cell.ID, OK: o.OK, NeverSent: o.NeverSent}

	h, ok := a.away(p.cell)
	if !ok {
		a.keeper.Release(time.Now(), a.members.Self().ID, w)

		return
	}

	// A lost release is made good by the next list of grants.
	a.send(h, wire.KindRelease, &w)
}

// Report tells the home what a target said of itself as its answer began, when
// the home wants to know or it is news. It must not wait for the answer's end: a
// target that says that it leaves would get new work until then.
func (a *Asker) Report(p Place, requests int, s tracker.State) {
	n := a.news(p.Target, s)
	if !p.tell && !n {
		return
	}

	w := wire.Report{Cell: p.cell.ID, Target: p.Target, Requests: int32(min(requests, math.MaxInt32))} //nolint:gosec // Bounded.
	if n {
		w.Incarnation = s.Incarnation
		w.Leaving = s.Leaving
	}

	h, ok := a.away(p.cell)
	if !ok {
		a.keeper.Report(time.Now(), w)

		return
	}

	a.send(h, wire.KindReport, &w)
}

// Rest tells the home that a target wants no requests for a time.
func (a *Asker) Rest(p Place, d time.Duration) {
	w := wire.Rest{Cell: p.cell.ID, Target: p.Target, ForMs: uint32(min(d.Milliseconds(), math.MaxUint32))} //nolint:gosec // Bounded.

	h, ok := a.away(p.cell)
	if !ok {
		a.keeper.BackOff(time.Now(), w)

		return
	}

	a.send(h, wire.KindRest, &w)
}

func (a *Asker) send(h gossiper.Member, k wire.Kind, m msgp.Marshaler) {
	c, stop := context.WithTimeout(context.Background(), sendTimeout)
	defer stop()

	b := time.Now()

	if err := a.peers.Send(c, h.Address, k, m); err != nil {
		a.suspect(h, b, err)
	}
}

// suspect passes a home over to which a message failed that was begun at a time.
//
// A process that stands still finds on waking that its asks have run out of time. Each
// of their homes would be passed over for seconds, and meanwhile this router would
// decide in their place by what it knows itself, beside homes that are well.
func (a *Asker) suspect(h gossiper.Member, begun time.Time, err error) {
	if detector.TimedOut(err) && a.pauses.Stalled(begun) {
		return
	}

	a.members.Suspect(h.ID)
}

// news says that a target's state is to be told to its home: when it changed,
// and from time to time, for a home that is new.
func (a *Asker) news(target uint32, s tracker.State) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	o := a.told[target]
	if s.Incarnation == 0 || (o.state == s && time.Since(o.at) < syncEvery) {
		return false
	}

	a.told[target] = telling{state: s, at: time.Now()}

	return true
}

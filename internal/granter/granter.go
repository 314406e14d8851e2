// Package granter assigns the requests for one cell of targets to targets. One router at a time, the
// home of the cell (as in home node), runs the cell's Granter, so that its load counts are exact and no
// slot is granted twice.
package granter

import (
	"math/rand/v2"
	"time"

	"github.com/auburntray/auburntray/internal/allocator"
	"github.com/auburntray/auburntray/internal/ejector"
	"github.com/auburntray/auburntray/internal/picker"
	"github.com/auburntray/auburntray/internal/placer"
	"github.com/auburntray/auburntray/internal/suppressor"
	"github.com/auburntray/auburntray/internal/tracker"
)

type target struct {
	Target

	work     float64
	requests int
	// peak and previousPeak are the highest numbers of own grants in the current and the previous
	// window. Load reports, which lag, are compared with them.
	peak, previousPeak int
	// reported is the load in the last report; negative if there was none.
	reported   int
	reportedAt time.Time
	// reportRequestedAt is when an entry router was last requested to report the target's load.
	reportRequestedAt time.Time
}

// Granter holds the grants and the placements of one cell. It is not safe for concurrent use.
type Granter struct {
	settings Settings
	random   *rand.Rand
	targets  []*target
	ids      []uint32
	byID     map[uint32]*target
	grants   map[ID]Grant
	// lastSeen is the time of the last message of each entry router.
	lastSeen    map[uint64]time.Time
	placements  *placer.Placer
	allocator   *allocator.Allocator
	ejector     *ejector.Ejector[uint32]
	tracker     *tracker.Tracker
	suppressor  *suppressor.Suppressor[uint32]
	windowStart time.Time
	otherCells  []cellLoad
	// changedChats are the chats with a new placement; scanOffset is the position of the cyclic
	// scan over the table of placements.
	changedChats []uint64
	scanOffset   int
	scratch      []picker.Candidate
}

// New returns a Granter without targets. The random source adds jitter to the delays after which
// refused callers retry.
func New(s Settings, r *rand.Rand) *Granter {
	return &Granter{
		settings:   s,
		random:     r,
		byID:       make(map[uint32]*target),
		grants:     make(map[ID]Grant),
		lastSeen:   make(map[uint64]time.Time),
		placements: placer.New(s.PlacementBytes),
		allocator:  allocator.New(),
		ejector:    ejector.New[uint32](s.Ejector),
		tracker:    tracker.New(),
		suppressor: suppressor.New[uint32](),
	}
}

// Update sets the targets of the cell and the limits in force. The incarnations of removed targets
// remain recorded: a target that announced its shutdown and is removed and listed again must not be
// assigned new work before it has restarted.
func (g *Granter) Update(t []Target, l Limits) {
	k := make(map[uint32]*target, len(t))
	n := make([]*target, 0, len(t))
	g.ids = make([]uint32, 0, len(t))

	for _, x := range t {
		o, ok := g.byID[x.ID]
		if !ok {
			o = &target{reported: -1}
		}

		o.Target = x
		k[x.ID] = o
		n = append(n, o)
		g.ids = append(g.ids, x.ID)
	}

	for id := range g.byID {
		if _, ok := k[id]; !ok {
			g.ejector.Forget(id)
		}
	}

	g.countAdded(k)
	g.byID = k
	g.targets = n
	g.settings.Picker.LoadFactor = l.LoadFactor
	g.settings.Picker.Slack = l.Slack
}

// countAdded counts the present grants at the targets that are new in an update: entry routers with a newer
// configuration may have sent lists of grants there already.
func (g *Granter) countAdded(updated map[uint32]*target) {
	for _, x := range g.grants {
		if _, ok := g.byID[x.Target]; ok {
			continue
		}

		if t, ok := updated[x.Target]; ok {
			t.add(x.Work)
		}
	}
}

// Reserve decides on a request for a slot. A grant counts until Release, or until the grants of its
// entry router are removed. A repeated request with the ID of a grant returns the target of that grant.
func (g *Granter) Reserve(now time.Time, a Request) Verdict {
	if o, ok := g.grants[a.ID]; ok {
		return Verdict{Target: o.Target}
	}

	g.rotatePeaks(now)
	g.lastSeen[a.ID.Entry] = now

	c, n := g.candidates(now, a)
	if n == 0 {
		return g.refuseNoTargets(now, a)
	}

	p, h := g.placement(a)
	x, y := g.otherCellsLoad(now, a)

	if v, ok := g.forward(now, a, c, p, x, y); ok {
		return v
	}

	w := g.work(a.Prompt)
	r := picker.Request{
		Chat:          a.Chat,
		Customer:      a.Customer,
		Share:         g.allocator.Share(a.Customer),
		Placement:     p,
		Work:          w,
		PlacementWork: g.work(max(a.Prompt-h, 0)),
		OtherLoad:     x, OtherWeight: y,
	}

	i := picker.Pick(g.settings.Picker, r, c)
	if i == picker.NoTarget {
		return g.refuse(Full)
	}

	if i != p && p != picker.NoTarget && !c[p].Ineligible && g.worthWaiting(a, h) {
		return Verdict{Reason: Wait, RetryAfter: retryInterval}
	}

	if u, m := g.capacity(c); !g.allocator.Admit(now, a.Customer, a.Weight, 1, u, m) {
		return g.refuse(OverShare)
	}

	if i == p {
		w = r.PlacementWork
	}

	g.grant(now, a, g.targets[i], w)

	return Verdict{Target: g.targets[i].ID, AtPlacement: i == p, ReportDue: g.targets[i].reportDue(now)}
}

// reportDue reports whether the entry router is to report the target's load, and records the time if
// so. One report per reportInterval is sufficient and costs much less than one with each request.
func (t *target) reportDue(now time.Time) bool {
	if now.Sub(t.reportedAt) < reportInterval || now.Sub(t.reportRequestedAt) < reportInterval {
		return false
	}

	t.reportRequestedAt = now

	return true
}

// Release ends a grant. It does nothing if the grant is unknown or was released before.
func (g *Granter) Release(now time.Time, id ID, o Outcome) {
	g.rotatePeaks(now)
	g.lastSeen[id.Entry] = now

	x, ok := g.grants[id]
	if !ok {
		return
	}

	g.remove(id)

	if _, ok := g.byID[x.Target]; !ok {
		return
	}

	if o.NeverSent {
		g.suppressor.Withdraw(x.Target)

		return
	}

	g.ejector.RecordResult(now, x.Target, o.OK)

	if o.OK {
		g.suppressor.RecordAnswer(now, x.Target)
	}
}

// StartBackoff starts a backoff of duration d for a target that refused a request and requested no
// calls for that time. The target then gets no requests from any entry router, since all of them
// request their slots here. Unknown targets are ignored.
func (g *Granter) StartBackoff(now time.Time, t uint32, d time.Duration) {
	if _, ok := g.byID[t]; ok {
		g.suppressor.StartBackoff(now, t, d)
	}
}

// Report records the load and the state that a target reported at the beginning of an answer or in a
// health check. Values from the end of a long answer are stale and must not be passed. A negative
// number of requests means that the load is unknown, and a zero incarnation that the state is unknown.
// Unknown targets are ignored.
func (g *Granter) Report(now time.Time, t uint32, requests int, s tracker.State) {
	x, ok := g.byID[t]
	if !ok {
		return
	}

	if requests >= 0 {
		x.reported = requests
		x.reportedAt = now
	}

	if s.Incarnation != 0 {
		g.tracker.Observe(t, s)
	}
}

// RecordProbe records the result of an active health check, which no request was waiting for.
func (g *Granter) RecordProbe(now time.Time, t uint32, ok bool) {
	g.ejector.RecordResult(now, t, ok)
}

// RecordPlacement records a placement received from the cell's former home. A placement that this Granter
// may have made itself is newer and remains.
func (g *Granter) RecordPlacement(now time.Time, chat uint64, p placer.Placement) {
	if len(g.grants) > 0 {
		if _, ok := g.placements.Get(chat); ok {
			return
		}
	}

	g.placements.Put(now, chat, p)
}

// ChangedPlacements returns placements to send to the cell's next home: up to n that are new since the
// last call, and up to others more from a cyclic scan over all placements. The scan resends placements
// that the next home missed, for example because it had only just started.
func (g *Granter) ChangedPlacements(n, others int) []placer.Chat {
	var o []placer.Chat

	k := min(n, len(g.changedChats))

	for _, c := range g.changedChats[:k] {
		if p, ok := g.placements.Get(c); ok {
			o = append(o, placer.Chat{Chat: c, Placement: p})
		}
	}

	g.changedChats = append(g.changedChats[:0], g.changedChats[k:]...)

	x, next := g.placements.Scan(g.scanOffset, others)
	g.scanOffset = next

	return append(o, x...)
}

// Placements returns the table of placements, for the handover to the next home.
func (g *Granter) Placements() *placer.Placer {
	return g.placements
}

// Load returns the work and the number of requests granted at a target; zero if it is unknown.
func (g *Granter) Load(t uint32) (work float64, requests int) {
	x, ok := g.byID[t]
	if !ok {
		return 0, 0
	}

	return x.work, x.requests
}

// Len returns the number of grants in progress.
func (g *Granter) Len() int {
	return len(g.grants)
}

// TargetsWithoutReport returns the targets without a load report since the given time, except for those in
// backoff.
func (g *Granter) TargetsWithoutReport(now, since time.Time) []uint32 {
	var o []uint32

	for _, t := range g.targets {
		if t.reportedAt.Before(since) && !g.suppressor.InBackoff(now, t.ID) {
			o = append(o, t.ID)
		}
	}

	return o
}

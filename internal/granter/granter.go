// Package granter decides, for one cell of targets, which target each request
// goes to. One instance at a time, the cell's home, holds the cell's Granter,
// so that the loads it decides on are exact and a place is granted once.
package granter

import (
	"math/rand/v2"
	"time"

	"github.com/auburntray/auburntray/internal/ejector"
	"github.com/auburntray/auburntray/internal/picker"
	"github.com/auburntray/auburntray/internal/placer"
	"github.com/auburntray/auburntray/internal/sharer"
	"github.com/auburntray/auburntray/internal/suppressor"
	"github.com/auburntray/auburntray/internal/tracker"
)

type target struct {
	Target

	work     float64
	requests int
	// peak and before are the highest own counts of the present and the last
	// window; a lagging report is compared with them.
	peak, before int
	reported     int
	reportedAt   time.Time
	// askedAt is when an entry was last asked to report.
	askedAt time.Time
}

// Granter holds the cell's counts. It is not safe for concurrent use.
type Granter struct {
	settings Settings
	random   *rand.Rand
	targets  []*target
	ids      []uint32
	byID     map[uint32]*target
	grants   map[ID]Grant
	entries  map[uint64]time.Time
	places   *placer.Placer
	sharer   *sharer.Sharer
	ejector  *ejector.Ejector[uint32]
	tracker  *tracker.Tracker
	sparer   *suppressor.Suppressor[uint32]
	window   time.Time
	others   []other
	// changed are the chats whose place is new, and scanned how far the table
	// was passed on in turn.
	changed []uint64
	scanned int
	scratch []picker.Candidate
}

// New returns a Granter without targets. The random source spreads the times
// at which refused callers come back.
func New(s Settings, r *rand.Rand) *Granter {
	return &Granter{
		settings: s,
		random:   r,
		byID:     make(map[uint32]*target),
		grants:   make(map[ID]Grant),
		entries:  make(map[uint64]time.Time),
		places:   placer.New(s.PlaceBytes),
		sharer:   sharer.New(),
		ejector:  ejector.New[uint32](s.Ejector),
		tracker:  tracker.New(),
		sparer:   suppressor.New[uint32](),
	}
}

// Update sets the targets of the cell and the limits that are in force. What is
// known of the incarnations of removed targets stays: one that leaves, is
// drained and put back must not get new work.
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

	g.byID = k
	g.targets = n
	g.settings.Picker.LoadFactor = l.LoadFactor
	g.settings.Picker.Slack = l.Slack
}

// Ask decides on a request for a place. A grant counts until Release, or until
// its entry instance is forgotten. Asking twice with one ID returns the same
// grant.
func (g *Granter) Ask(now time.Time, a Ask) Verdict {
	if o, ok := g.grants[a.ID]; ok {
		return Verdict{Target: o.Target}
	}

	g.roll(now)
	g.entries[a.ID.Entry] = now

	c, n := g.candidates(now, a)
	if n == 0 {
		return g.refuseUnserved(now, a)
	}

	p, h := g.place(a)
	x, y := g.outside(now, a)

	if v, ok := g.send(now, a, c, p, x, y); ok {
		return v
	}

	w := g.work(a.Prompt)
	r := picker.Request{
		Chat:      a.Chat,
		Customer:  a.Customer,
		Share:     g.sharer.Share(a.Customer),
		Place:     p,
		Work:      w,
		PlaceWork: g.work(max(a.Prompt-h, 0)),
		OtherLoad: x, OtherWeight: y,
	}

	i := picker.Pick(g.settings.Picker, r, c)
	if i == picker.NoTarget {
		return g.refuse(Full)
	}

	if i != p && p != picker.NoTarget && !c[p].Gone && g.worthWaiting(a, h) {
		return Verdict{Reason: Wait, RetryAfter: waitStep}
	}

	if u, m := g.capacity(c); !g.sharer.Admit(now, a.Customer, a.Weight, 1, u, m) {
		return g.refuse(OverShare)
	}

	if i == p {
		w = r.PlaceWork
	}

	g.grant(now, a, g.targets[i], w)

	return Verdict{Target: g.targets[i].ID, Returned: i == p, Tell: g.targets[i].tell(now)}
}

// tell says whether a report of the target is due. One a second is enough, and
// costs much less than one with each request.
func (t *target) tell(now time.Time) bool {
	if now.Sub(t.reportedAt) < reportEvery || now.Sub(t.askedAt) < reportEvery {
		return false
	}

	t.askedAt = now

	return true
}

// Release ends a grant. Releasing a grant that is not known, or twice, does
// nothing.
func (g *Granter) Release(now time.Time, id ID, o Outcome) {
	g.roll(now)
	g.entries[id.Entry] = now

	x, ok := g.grants[id]
	if !ok {
		return
	}

	g.drop(id)

	if _, ok := g.byID[x.Target]; !ok {
		return
	}

	if o.NeverSent {
		g.sparer.Withdraw(x.Target)

		return
	}

	g.ejector.Result(now, x.Target, o.OK)

	if o.OK {
		g.sparer.Answered(now, x.Target)
	}
}

// Rest takes that a target, which turned a request away, wants none for a time. It gets none from any
// entry, as all of them ask here.
func (g *Granter) Rest(now time.Time, t uint32, d time.Duration) {
	if _, ok := g.byID[t]; ok {
		g.sparer.StartBackoff(now, t, d)
	}
}

// Report takes what a target says of itself at present: the beginning of an answer
// or a health check, not the end of an answer that began long ago. A negative
// number of requests is no report of load; a zero State none of its incarnation.
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

// Probed takes the result of a health check that no request was waiting for.
func (g *Granter) Probed(now time.Time, t uint32, ok bool) {
	g.ejector.Result(now, t, ok)
}

// Remember notes a chat's place, as the home before this one told it. What this
// Granter granted itself since is newer and stays.
func (g *Granter) Remember(now time.Time, chat uint64, p placer.Place) {
	if len(g.grants) > 0 {
		if _, ok := g.places.Get(chat); ok {
			return
		}
	}

	g.places.Put(now, chat, p)
}

// Changed returns up to n places that are new since the last call, and some of
// the others in turn, for the home that comes after this one. The others make
// good what a successor missed that was new itself.
func (g *Granter) Changed(n, others int) []placer.Chat {
	var o []placer.Chat

	k := min(n, len(g.changed))

	for _, c := range g.changed[:k] {
		if p, ok := g.places.Get(c); ok {
			o = append(o, placer.Chat{Chat: c, Place: p})
		}
	}

	g.changed = append(g.changed[:0], g.changed[k:]...)

	x, next := g.places.Scan(g.scanned, others)
	g.scanned = next

	return append(o, x...)
}

// Places returns the table of places, for handing it over.
func (g *Granter) Places() *placer.Placer {
	return g.places
}

// Load returns the work and the requests counted on a target.
func (g *Granter) Load(t uint32) (work float64, requests int) {
	x, ok := g.byID[t]
	if !ok {
		return 0, 0
	}

	return x.work, x.requests
}

// Len returns the number of grants that count.
func (g *Granter) Len() int {
	return len(g.grants)
}

// Idle lists the targets that have not reported since a time.
func (g *Granter) Idle(now, since time.Time) []uint32 {
	var o []uint32

	for _, t := range g.targets {
		if t.reportedAt.Before(since) && !g.sparer.InBackoff(now, t.ID) {
			o = append(o, t.ID)
		}
	}

	return o
}

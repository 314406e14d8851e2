package granter

import (
	"math"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/picker"
	"github.com/auburntray/auburntray/internal/placer"
)

const (
	// reportWindow covers the lag of load reports: a report is compared with
	// the highest own count of the last one to two windows.
	reportWindow = 2 * time.Second
	// reportEvery is how often an entry is asked to report a target.
	reportEvery = time.Second
	// reportTimeout is how long a report counts.
	reportTimeout = 6 * time.Second
	// The times at which refused callers are told to come back.
	retryAtLeast = time.Second
	retrySpread  = 2 * time.Second
	// waitStep is after how long a request that waits for its place asks again.
	waitStep = 80 * time.Millisecond
)

// candidates fills the picker's view of the cell and counts the usable ones.
func (g *Granter) candidates(now time.Time, a Ask) ([]picker.Candidate, int) {
	c := g.scratch[:0]
	n := 0
	p := g.ejector.Panic(now, g.ids)

	for _, t := range g.targets {
		l, r := g.load(now, t)
		s := a.Allowed == nil || a.Allowed(t.ID)
		o := !s || g.tracker.Get(t.ID).Leaving || slices.Contains(a.Excluded, t.ID) || (!p && g.ejector.Out(now, t.ID)) || g.sparer.Wait(now, t.ID) > 0

		if !o {
			n++
		}

		c = append(c, picker.Candidate{
			ID:      t.ID,
			Weight:  float64(t.Capacity),
			Load:    l,
			Counted: !o,
			Gone:    o,
			Out:     o || r >= t.Capacity,
		})
	}

	g.scratch = c

	return c, n
}

// load returns the work and requests on a target: what this home granted, and
// what others must have sent. Two routers that both believe to be the home each
// see the other's part only in the target's reports; without it they would
// bury the target together.
func (g *Granter) load(now time.Time, t *target) (work float64, requests int) {
	if t.reported < 0 || now.Sub(t.reportedAt) > reportTimeout {
		return t.work, t.requests
	}

	f := t.reported - max(t.peak, t.before)
	if f <= 0 {
		return t.work, t.requests
	}

	return t.work + float64(f)*g.meanWork(), t.requests + f
}

// meanWork is the work of an average grant.
func (g *Granter) meanWork() float64 {
	var w float64

	n := 0

	for _, t := range g.targets {
		w += t.work
		n += t.requests
	}

	if n == 0 {
		return 1
	}

	return w / float64(n)
}

// place returns the index of the target that holds the chat's prefix and the
// length held there, or picker.NoTarget.
func (g *Granter) place(a Ask) (index, tokens int) {
	if a.Chat == 0 {
		return picker.NoTarget, 0
	}

	p, ok := g.places.Get(a.Chat)
	if !ok {
		// The caller's token rebuilds what a lost home knew. The length is not
		// known then, so the work is counted in full.
		p = placer.Place{Target: a.Hint}
	}

	for i, t := range g.targets {
		if t.ID == p.Target {
			return i, p.Tokens
		}
	}

	return picker.NoTarget, 0
}

// workParts is into how many parts a request's work is rounded. Sums of such
// parts are exact, so a load is the same in whatever order grants come and go.
const workParts = 1024

// work is what a request with so many uncached prompt tokens counts for.
func (g *Granter) work(uncached int) float64 {
	return 1 + math.Round(float64(uncached)*g.settings.PrefillCost*workParts)/workParts
}

// worthWaiting says that a request should wait on for its place: computing the
// cached prefix again elsewhere would take longer than it has waited, and would
// take that engine's time from others.
func (g *Granter) worthWaiting(a Ask, cached int) bool {
	s := time.Duration(min(cached, a.Prompt)) * g.settings.PrefillTime

	return a.Waited+waitStep <= min(s, g.settings.MaxWait)
}

// capacity sums the requests on the usable candidates, and how many they run at
// once.
func (g *Granter) capacity(c []picker.Candidate) (used, capacity float64) {
	for i, x := range c {
		if x.Counted {
			used += float64(g.targets[i].requests)
			capacity += x.Weight
		}
	}

	return used, capacity
}

func (g *Granter) grant(now time.Time, a Ask, t *target, w float64) {
	g.ejector.Probe(now, t.ID)
	g.sparer.Sent(now, t.ID)
	g.start(now, Grant{ID: a.ID, Target: t.ID, Customer: a.Customer, Work: w}, a.Weight)

	if a.Chat != 0 && t.Engine {
		g.remember(now, a.Chat, placer.Place{Target: t.ID, Tokens: a.Prompt})
	}
}

// maxChanged bounds the list of new places; what is dropped from it is passed
// on with the others in turn.
const maxChanged = 8192

func (g *Granter) remember(now time.Time, chat uint64, p placer.Place) {
	o, ok := g.places.Get(chat)
	g.places.Put(now, chat, p)

	if (!ok || o.Target != p.Target) && len(g.changed) < maxChanged {
		g.changed = append(g.changed, chat)
	}
}

func (g *Granter) start(now time.Time, x Grant, weight float64) {
	g.grants[x.ID] = x
	g.sharer.Start(now, x.Customer, weight, 1)

	t, ok := g.byID[x.Target]
	if !ok {
		return
	}

	t.work += x.Work
	t.requests++
	t.peak = max(t.peak, t.requests)
}

func (g *Granter) drop(id ID) {
	x, ok := g.grants[id]
	if !ok {
		return
	}

	delete(g.grants, id)
	g.sharer.Finish(x.Customer, 1)

	t, ok := g.byID[x.Target]
	if !ok {
		return
	}

	t.work = max(t.work-x.Work, 0)
	t.requests--
}

// roll starts a new window of peaks when the present one is over.
func (g *Granter) roll(now time.Time) {
	if now.Sub(g.window) < reportWindow {
		return
	}

	g.window = now

	for _, t := range g.targets {
		t.before = t.peak
		t.peak = t.requests
	}
}

// refuseUnserved refuses a request that no target may get. Where the first of them does so after a
// rest, that is when to come back at the earliest.
func (g *Granter) refuseUnserved(now time.Time, a Ask) Verdict {
	var rest time.Duration

	for _, t := range g.targets {
		if a.Allowed != nil && !a.Allowed(t.ID) || g.tracker.Get(t.ID).Leaving {
			continue
		}

		w := g.sparer.Wait(now, t.ID)
		if w == 0 {
			return g.refuse(NoTargets)
		}

		if rest == 0 || w < rest {
			rest = w
		}
	}

	v := g.refuse(NoTargets)
	v.RetryAfter = max(v.RetryAfter, rest+time.Duration(g.random.Int64N(int64(retrySpread))))

	return v
}

func (g *Granter) refuse(r Reason) Verdict {
	return Verdict{Reason: r, RetryAfter: retryAtLeast + time.Duration(g.random.Int64N(int64(retrySpread)))}
}

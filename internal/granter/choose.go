package granter

import (
	"math"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/picker"
	"github.com/auburntray/auburntray/internal/placer"
)

const (
	// reportWindow covers the lag of load reports: a report is compared with the highest number of own
	// grants in the current and the previous window.
	reportWindow = 2 * time.Second
	// reportInterval is the least time between two requests for a load report of one target.
	reportInterval = time.Second
	// reportTimeout is how long a load report is used.
	reportTimeout = 6 * time.Second
	// minRetryAfter and retryJitter bound the delay that refused callers are given before a retry.
	minRetryAfter = time.Second
	retryJitter   = 2 * time.Second
	// retryInterval is the time between two attempts of a request that waits for the target of its
	// placement.
	retryInterval = 80 * time.Millisecond
)

// candidates returns the targets of the cell as candidates for the picker, and the number of usable
// ones. The slice is valid until the next call.
func (g *Granter) candidates(now time.Time, a Request) ([]picker.Candidate, int) {
	c := g.scratch[:0]
	n := 0
	p := g.ejector.PanicMode(now, g.ids)

	for _, t := range g.targets {
		l, r := g.load(now, t)
		s := a.Allowed == nil || a.Allowed(t.ID)
		o := !s || g.tracker.Get(t.ID).Leaving || slices.Contains(a.Excluded, t.ID) || (!p && g.ejector.Excluded(now, t.ID)) || g.suppressor.Wait(now, t.ID) > 0

		if !o {
			n++
		}

		c = append(c, picker.Candidate{
			ID:          t.ID,
			Weight:      float64(t.Capacity),
			Load:        l,
			Counted:     !o,
			Ineligible:  o,
			Unavailable: o || r >= t.Capacity,
		})
	}

	g.scratch = c

	return c, n
}

// load returns the work and the number of requests at a target: those granted here, and those that
// other routers must have sent according to the target's load report. While two routers both consider
// themselves the cell's home, the report is the only sign of the other's grants; without it, they would
// overload the target together.
func (g *Granter) load(now time.Time, t *target) (work float64, requests int) {
	if t.reported < 0 || now.Sub(t.reportedAt) > reportTimeout {
		return t.work, t.requests
	}

	f := t.reported - max(t.peak, t.previousPeak)
	if f <= 0 {
		return t.work, t.requests
	}

	return t.work + float64(f)*g.meanWork(), t.requests + f
}

// meanWork returns the mean work of a grant, or 1 if there are no grants.
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

// placement returns the index of the target that holds the chat's prefix and the number of tokens
// cached there, or picker.NoTarget.
func (g *Granter) placement(a Request) (index, tokens int) {
	if a.Chat == 0 {
		return picker.NoTarget, 0
	}

	p, ok := g.placements.Get(a.Chat)
	if !ok {
		// The hint replaces placements lost with a former home. A hint has no prefix length, so
		// the prompt counts as uncached.
		p = placer.Placement{Target: a.Hint}
	}

	for i, t := range g.targets {
		if t.ID == p.Target {
			return i, p.Tokens
		}
	}

	return picker.NoTarget, 0
}

// workResolution is the inverse of the unit to which work is rounded. Sums of such values are exact in
// floating point, so that a load does not depend on the order in which grants start and end.
const workResolution = 1024

// work returns the work of a request with the given number of uncached prompt tokens. Its unit is the
// work of a request without such tokens.
func (g *Granter) work(uncached int) float64 {
	return 1 + math.Round(float64(uncached)*g.settings.PrefillCost*workResolution)/workResolution
}

// worthWaiting reports whether a request should keep waiting for the target of its placement: computing
// the cached prefix again at another engine would take longer than the request has waited, and would
// delay the other requests of that engine.
func (g *Granter) worthWaiting(a Request, cached int) bool {
	s := time.Duration(min(cached, a.Prompt)) * g.settings.PrefillTime

	return a.Waited+retryInterval <= min(s, g.settings.MaxWait)
}

// capacity returns the number of requests at the usable candidates and the number that these can run
// concurrently.
func (g *Granter) capacity(c []picker.Candidate) (used, capacity float64) {
	for i, x := range c {
		if x.Counted {
			used += float64(g.targets[i].requests)
			capacity += x.Weight
		}
	}

	return used, capacity
}

func (g *Granter) grant(now time.Time, a Request, t *target, w float64) {
	g.ejector.StartProbe(now, t.ID)
	g.suppressor.RecordSent(now, t.ID)
	g.start(now, Grant{ID: a.ID, Target: t.ID, Customer: a.Customer, Work: w}, a.Weight)

	if a.Chat != 0 && t.Engine {
		g.storePlacement(now, a.Chat, placer.Placement{Target: t.ID, Tokens: a.Prompt})
	}
}

// maxChangedChats bounds the list of chats with a new placement. Chats beyond it reach the successor
// through the scan of all placements, see Granter.ChangedPlacements.
const maxChangedChats = 8192

func (g *Granter) storePlacement(now time.Time, chat uint64, p placer.Placement) {
	o, ok := g.placements.Get(chat)
	g.placements.Put(now, chat, p)

	if (!ok || o.Target != p.Target) && len(g.changedChats) < maxChangedChats {
		g.changedChats = append(g.changedChats, chat)
	}
}

func (g *Granter) start(now time.Time, x Grant, weight float64) {
	g.grants[x.ID] = x
	g.allocator.Start(now, x.Customer, weight, 1)

	if t, ok := g.byID[x.Target]; ok {
		t.add(x.Work)
	}
}

// add counts a grant.
func (t *target) add(work float64) {
	t.work += work
	t.requests++
	t.peak = max(t.peak, t.requests)
}

func (g *Granter) remove(id ID) {
	x, ok := g.grants[id]
	if !ok {
		return
	}

	delete(g.grants, id)
	g.allocator.Finish(x.Customer, 1)

	t, ok := g.byID[x.Target]
	if !ok {
		return
	}

	t.work = max(t.work-x.Work, 0)
	t.requests--
}

// rotatePeaks starts a new window for the peak counts once the current one is over.
func (g *Granter) rotatePeaks(now time.Time) {
	if now.Sub(g.windowStart) < reportWindow {
		return
	}

	g.windowStart = now

	for _, t := range g.targets {
		t.previousPeak = t.peak
		t.peak = t.requests
	}
}

// refuseNoTargets refuses a request that no target can accept. If all targets that the routing rule
// selects and that are not leaving are in backoff, the reply requests a retry no earlier than the end
// of the shortest backoff.
func (g *Granter) refuseNoTargets(now time.Time, a Request) Verdict {
	var backoff time.Duration

	for _, t := range g.targets {
		if a.Allowed != nil && !a.Allowed(t.ID) || g.tracker.Get(t.ID).Leaving {
			continue
		}

		w := g.suppressor.Wait(now, t.ID)
		if w == 0 {
			return g.refuse(NoTargets)
		}

		if backoff == 0 || w < backoff {
			backoff = w
		}
	}

	v := g.refuse(NoTargets)
	v.RetryAfter = max(v.RetryAfter, backoff+time.Duration(g.random.Int64N(int64(retryJitter))))

	return v
}

func (g *Granter) refuse(r Reason) Verdict {
	return Verdict{Reason: r, RetryAfter: minRetryAfter + time.Duration(g.random.Int64N(int64(retryJitter)))}
}

package forwarder

import (
	"context"
	"time"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/reserver"
	"github.com/auburntray/auburntray/internal/searcher"
	"github.com/auburntray/auburntray/internal/selector"
)

// maxCountDrift is by how many calls the load that a target reports may exceed its home node's
// count before the load is reported to the home node. The count changes by about that many while a
// call begins.
const maxCountDrift = 2

// refusedHold is how long the slot of a call that a brittle target refused stays reserved: the time until all instances know of
// the refusal, also while they are busy. Until then the others request slots up to a bound that the target no longer accepts, and the home
// would grant the slot again at once, for another refusal.
const refusedHold = 200 * time.Millisecond

// SlotReserver reserves slots for calls at targets. The home node of a target, the one instance
// responsible for it, counts the calls of all instances. It is implemented by reserver.Reserver.
type SlotReserver interface {
	// Reserve requests a slot for one call and returns the function that releases it.
	Reserve(c context.Context, t *discoverer.Target, q aggregator.Request) (aggregator.Verdict, reserver.Release)
	// Report informs the home node of a target of the number of calls that the target reported.
	Report(t *discoverer.Target, calls int)
}

// SetReserver sets the reserver of slots. It must be called before the first call is served.
func (f *Forwarder) SetReserver(h SlotReserver) {
	f.reserver = h
}

// reservation is the slot reserved for a call. The zero value is no reservation.
type reservation struct {
	verdict aggregator.Verdict
	release reserver.Release
	// latency is the time until the answer began, as a fraction of the latency objective; zero until
	// it has begun.
	latency float64
	// hold is how long the slot stays reserved after the end of the call.
	hold time.Duration
}

// end releases the slot with the outcome of the call, after the hold if there is one. Further calls do nothing.
func (r *reservation) end(o selector.Outcome) {
	f, l := r.release, r.latency
	r.release = nil

	switch {
	case f == nil:
	case r.hold > 0:
		time.AfterFunc(r.hold, func() { f(resultOf(o), l) })
	default:
		f(resultOf(o), l)
	}
}

// resultOf returns the result that is reported to the home node of a target for an outcome.
func resultOf(o selector.Outcome) aggregator.Result {
	switch o {
	case selector.Answered, selector.Shed:
		return aggregator.Answered
	case selector.Failed:
		return aggregator.Failed
	case selector.Unreachable, selector.Crashed:
		return aggregator.Unreachable
	case selector.Gone, selector.Inconclusive:
		return aggregator.NoResult
	default:
		return aggregator.NoResult
	}
}

// choose selects the next target, counts the call there and reserves a slot at the target's home
// node. It returns false if there is no target or none with a free slot.
//
// The local state of a target may be a second old. If its home node reports that the target is full
// or excluded, choose records this and another target is selected.
func (f *Forwarder) choose(c context.Context, x *exchange) (selector.Choice, bool) {
	s := searcher.Searcher{Prompt: len(x.sharedPrefixes) > 0}
	b := time.Now()

	for {
		t, ok := f.pick(c, x, s.FullCount())

		switch {
		case !ok && f.awaitPlace(c, x, b):
			continue
		case !ok:
			return t, false
		}

		// A brittle target must not get more calls than it accepts, also if it has the prompt cached.
		s.Prompt = s.Prompt && t.MaxCalls == 0
		s.Bounded = t.Narrowed

		f.reserve(c, x, t, &s)

		uncounted := t.NeedsCount && x.reservation.verdict.Outcome == aggregator.Unanswered
		x.uncounted = x.uncounted || uncounted

		if uncounted || !f.accepts(t.Target) {
			f.withdraw(x, t)

			continue
		}

		n := s.Next(x.reservation.verdict.Outcome)
		if n == searcher.Send {
			return t, true
		}

		f.decline(x, t, x.reservation.verdict)

		if n == searcher.Refuse {
			if x.crowdedTargets = t.Usable; !t.Narrowed {
				x.targetsFull = true
			}

			return t, false
		}
	}
}

// chooseTarget selects a target. A stream that was begun at a target in vain is begun again at one of the same software version, if
// there is any: others may have been told of that version, and not yet of another.
func (f *Forwarder) chooseTarget(now time.Time, r *discoverer.Registry, x *exchange, q selector.Query) (selector.Choice, bool) {
	if q.Version == 0 && x.begunAt != 0 {
		s := q
		s.Version, s.Avoid = x.begunAt, nil

		if t, ok := f.selector.Choose(now, r, x.group, s); ok {
			t.Narrowed = false // Others may run it too.

			return t, true
		}
	}

	if len(q.Avoid) > 0 {
		if t, ok := f.selector.Choose(now, r, x.group, q); ok {
			return t, true
		}

		q.Avoid = nil
	}

	return f.selector.Choose(now, r, x.group, q)
}

// pickOn selects a target on a route by local state and counts the call there. The parameter declined is the number
// of targets so far whose home nodes reported them as full.
func (f *Forwarder) pickOn(r selector.Route, x *exchange, declined int) (selector.Choice, bool) {
	joining := f.joiningVersions(x)

	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()

	l := f.state.Registry()
	x.sharded = f.updateSharding(n, x.group, len(l.Groups[x.group]))

	q := x.query(f.settings, r)
	q.Declined, q.Sharded, q.Uncounted = declined, x.sharded, x.uncounted
	q.Avoid = joining

	// The targets of versions whose calls were refused are left to these.
	if x.version == 0 {
		q.Leave = f.narrow.Wanted(n, x.group)
	}

	t, ok := f.chooseTarget(n, l, x, q)
	if x.noPlace = !f.takePlace(n, x, t); x.noPlace {
		t, ok = selector.Choice{Narrowed: true, Crowded: t.Usable, Cold: t.Cold, BackingOff: t.BackingOff}, false
	}

	x.coldTargets, x.backingOff, x.fullTargets, x.crowdedTargets = t.Cold, t.BackingOff, t.Full, t.Crowded

	if ok {
		f.selector.StartChoice(n, t)
	}

	return t, ok
}

// reserve requests a slot from the home node of a target.
func (f *Forwarder) reserve(c context.Context, x *exchange, t selector.Choice, s *searcher.Searcher) {
	n := s.MaxCalls(t.Bound)
	if t.MaxCalls > 0 {
		n = min(n, t.MaxCalls)
	}

	f.requestSlot(c, x, t, aggregator.Request{MaxCalls: n, AllowExcluded: s.AllowExcluded(), Exact: t.MaxCalls > 0 || t.Narrowed})
}

// reserveExactly requests a slot in which the target runs the call at once.
func (f *Forwarder) reserveExactly(c context.Context, x *exchange, t selector.Choice) {
	n := t.Target.Slots
	if t.MaxCalls > 0 {
		n = min(n, t.MaxCalls)
	}

	f.requestSlot(c, x, t, aggregator.Request{MaxCalls: n, Exact: true})
}

// requestSlot requests a slot from the home node of a target, with the bound and the conditions of a request. No slot is needed at a target
// that does not report its number of slots, since the home node has no bound to enforce.
func (f *Forwarder) requestSlot(c context.Context, x *exchange, t selector.Choice, q aggregator.Request) {
	x.reservation = reservation{}

	if f.reserver == nil || t.Target.Slots == 0 {
		return
	}

	q.Deadline, q.MedianLatency = x.deadline, t.MedianLatency
	x.reservation.verdict, x.reservation.release = f.reserver.Reserve(c, t.Target, q)
	f.meter.Reservation(x.group, x.reservation.verdict.Outcome.String())

	// In a small fleet the home counts only the calls with slots, until it is told of the others.
	if q.Exact && t.MaxCalls == 0 {
		f.correctHome(x, t.Target, int(t.Load))
	}

	if p := x.reservation.verdict.Latency; p > 0 {
		f.mu.Lock()
		f.selector.ReportLatency(t.Target, p)
		f.mu.Unlock()
	}
}

// withdraw undoes the selection of a target that no longer accepts calls.
func (f *Forwarder) withdraw(x *exchange, t selector.Choice) {
	x.reservation.end(selector.Inconclusive)

	f.mu.Lock()
	defer f.mu.Unlock()

	f.selector.Withdraw(time.Now(), t)
	x.place.Cancel(time.Now())
}

// decline records that the home node of a target reported it as full or excluded.
func (f *Forwarder) decline(x *exchange, t selector.Choice, v aggregator.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()
	x.place.Cancel(n)

	if v.Outcome == aggregator.Excluded {
		f.selector.DeclineUnhealthy(n, t)
	} else {
		f.selector.Decline(n, t, v.Calls)
	}
}

// reportLoad records the load that a target reported, and reports it to the target's home node if
// that counts too few calls.
func (f *Forwarder) reportLoad(x *exchange, t *discoverer.Target, p Reply) {
	f.mu.Lock()
	f.selector.ReportLoad(time.Now(), t, selector.Load{Running: p.Running, Waiting: p.Waiting, Slots: p.Slots})
	f.mu.Unlock()

	f.correctHome(x, t, p.Running+p.Waiting)
}

// correctHome reports the number of calls at a target to its home node if that has granted a slot and counts too few.
func (f *Forwarder) correctHome(x *exchange, t *discoverer.Target, calls int) {
	if x.reservation.verdict.Outcome == aggregator.Granted && calls > x.reservation.verdict.Calls+maxCountDrift {
		f.reserver.Report(t, calls)
	}
}

// Package selector selects the target for a call: one that has the prompt prefix cached, unless the load of
// that target exceeds its bound.
package selector

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/limiter"
	"github.com/auburntray/auburntray/internal/sharder"
	"github.com/auburntray/auburntray/internal/suppressor"
	"github.com/auburntray/auburntray/internal/throttler"
)

// Settings bounds the load of a target.
type Settings struct {
	// Factor is the multiple of the mean load up to which a target is assigned calls whose prompts it has
	// cached.
	Factor float64
	// Slack is how many calls a target may have beyond that multiple, so that chats do not move between
	// targets at low load.
	Slack float64
	// RemotePenalty is added to the load per slot of targets in other data centres when a call without a
	// prompt is assigned, so that such calls prefer the data centre of this instance.
	RemotePenalty float64
}

// DefaultSettings returns the settings of a gateway.
func DefaultSettings() Settings {
	return Settings{Factor: fillFraction * defaultMaxFactor, Slack: 3, RemotePenalty: 0.5}
}

const (
	// defaultMaxFactor is the multiple of the mean load that a target may have if none is configured.
	defaultMaxFactor = 2
	// fillFraction is the fraction of the permitted multiple up to which targets are filled. It leaves a
	// margin because load reports are slightly out of date.
	fillFraction = 0.85
	// minFactor is the smallest multiple of the mean load to which targets are filled. Without headroom above the
	// mean, calls would be declined by one target after another.
	minFactor = 1.1
)

// WithMaxFactor returns the settings for targets that may have the given multiple of the mean load. Zero leaves the
// settings unchanged.
func (s Settings) WithMaxFactor(factor float64) Settings {
	if factor > 0 {
		s.Factor = max(fillFraction*factor, minFactor)
	}

	return s
}

// Prefix is a prefix of a prompt: the hash of its parts and its length in tokens.
type Prefix struct {
	Key    uint64
	Tokens int
}

// Route is how a call gets to its target.
type Route int

const (
	// Direct uses the links of this instance. Targets that may be reachable again get probe calls, and if none is
	// reachable, one call at a time tries them.
	Direct Route = iota
	// Proven uses the links of this instance, unless they are known to be lost: the group then has no target until
	// one is found to be reachable again.
	Proven
	// Delegated sends the call through another instance, whatever this instance reaches.
	Delegated
)

// Query describes a call.
type Query struct {
	// Route is how the call gets to its target.
	Route Route
	// Prefixes are the prefixes of the prompt that other calls share, the longest first. It is empty for calls
	// without a prompt.
	Prefixes []Prefix
	// DataCentre is the data centre of this instance.
	DataCentre string
	// Tried are the IDs of the targets at which the call was already tried.
	Tried []string
	// Declined is how many targets were found full since the call was last sent to one.
	Declined int
	// Draw is a number derived from the call. It spreads calls over targets that are equally suitable.
	Draw uint64
	// Customer is the hash of the call's customer.
	Customer uint64
	// Uncounted is set when no home has answered a request for a slot, so that nobody counts the calls of all instances.
	Uncounted bool
	// Sharded applies shuffle sharding: the call is only sent to targets in the customer's shard.
	Sharded bool
	// Centres are the data centres that the call may be sent to; nil permits all.
	Centres map[string]bool
	// Version is the software version of the targets that the call may be sent to; zero permits all.
	Version discoverer.Version
	// Avoid are the versions whose targets are ignored, unless the group has no others.
	Avoid []discoverer.Version
	// Leave are the versions whose targets are left to the calls that are bound to them, while other targets have room.
	Leave []discoverer.Version
	// ColdRate is how many calls a second a cold target of the group can serve; zero means no bound. ColdFor
	// is how long a target is cold after its start.
	ColdRate float64
	ColdFor  time.Duration
}

// SetThrottle replaces the settings of the bound on calls to cold targets. The calls counted so far and the source
// of the state of all instances remain.
func (s *Selector) SetThrottle(t throttler.Settings) {
	s.throttler.Set(t)
}

// allows reports whether the call may be sent to the data centre of a target.
func (q *Query) allows(t *discoverer.Target) bool {
	return q.Centres == nil || q.Centres[t.DataCentre]
}

// ofVersion returns the targets of the software version that the call requires.
func (q *Query) ofVersion(l []*discoverer.Target) []*discoverer.Target {
	if q.Version == 0 {
		return l
	}

	return slices.DeleteFunc(slices.Clone(l), func(t *discoverer.Target) bool { return t.SoftwareVersion() != q.Version })
}

// withoutAvoided returns the targets of a group without those that are ignored.
func (q *Query) withoutAvoided(l []*discoverer.Target) []*discoverer.Target {
	if len(q.Avoid) == 0 {
		return l
	}

	o := slices.DeleteFunc(slices.Clone(l), func(t *discoverer.Target) bool { return slices.Contains(q.Avoid, t.SoftwareVersion()) })
	if len(o) == 0 {
		return l
	}

	return o
}

// Choice is the target selected for a call.
type Choice struct {
	Target *discoverer.Target
	// Route is that of the query.
	Route Route
	// FetchFrom is the target from which Target may fetch the prompt, or its longest prefix cached anywhere. FetchFrom
	// is nil if Target has the prefix cached itself, or if there is no such target.
	FetchFrom *discoverer.Target
	// Load is the estimated number of calls at Target; Bound is the number of calls that Target may have; Usable
	// is the number of targets that Target was selected from.
	Load, Bound float64
	Usable      int
	// Cached reports whether Target was known to have the prompt cached.
	Cached bool
	// Cold is the number of targets that were skipped because they are cold. Throttled reports whether Target
	// is cold too; its response time then does not indicate how it performs once warm.
	Cold      int
	Throttled bool
	// BackingOff is the number of targets that were skipped because they are in a backoff.
	BackingOff int
	// Narrowed reports that the call may be sent to some targets of the group only. The other targets can't take what exceeds
	// Bound there, so it must not be exceeded.
	Narrowed bool
	// Crowded is the number of targets at which the call would exceed Bound, if there is no Target for that reason.
	Crowded int
	// Unreached reports, if there is no Target, that this instance reaches none of the group. The call may be served
	// through another instance.
	Unreached bool
	// Full is the number of brittle targets without room for the call, if there is no Target.
	Full int
	// MaxCalls is how many calls Target may have, including this one, if it is brittle; zero otherwise. Explores reports
	// that Target is not known to accept that many.
	MaxCalls int
	Explores bool
	// NeedsCount reports that Target accepts the call only if its home, which counts the calls of all instances, finds that
	// it has room.
	NeedsCount bool
	// MedianLatency is the median latency of the targets of the group: the time until an answer begins, as a
	// fraction of the latency objective (see evaluator.Evaluator). Zero if unknown.
	MedianLatency float64

	// prefixes are the prefixes of the prompt; fresh holds the keys of the prefixes that Target was not known to
	// have cached.
	prefixes []Prefix
	fresh    []uint64
}

// Load is the load that a target reported with its answer to a call.
type Load struct {
	// Running and Waiting count the calls of all instances. Slots is zero if the target does not report its
	// number of slots.
	Running, Waiting, Slots int
}

// Selector selects targets and counts the calls of this instance at each of them. It is not safe for concurrent
// use.
type Selector struct {
	settings Settings
	// processes has an entry for each process of which more than a placement is known.
	processes map[discoverer.Key]*processLoad
	// listed are the processes in the registry at its last change; nil before the first.
	listed map[discoverer.Key]*discoverer.Target
	// departed are the processes that were recently removed from the registry.
	departed     departures
	pendingLoads []TargetLoad
	health       *health
	placements   *placements
	// suppressor tracks the targets that requested a backoff from this instance.
	suppressor *suppressor.Suppressor[discoverer.Key]
	// throttler bounds the calls to cold targets. fleet returns the state of all instances.
	throttler *throttler.Throttler
	fleet     func() throttler.Fleet
	// limiter bounds the calls to brittle targets.
	limiter *limiter.Limiter
}

// New returns a selector without calls. Until the source of the state of all instances is set, it assumes that this
// instance is the only one.
func New(s Settings) *Selector {
	o := &Selector{settings: s, processes: make(map[discoverer.Key]*processLoad), departed: make(departures), health: newHealth(), placements: newPlacements(), suppressor: suppressor.New[discoverer.Key](), limiter: limiter.New()}
	o.ConfigureThrottling(throttler.DefaultSettings(), func() throttler.Fleet {
		return throttler.Fleet{Live: []uint64{0}, MaxInstances: 1, Settled: true}
	})

	return o
}

// ConfigureThrottling sets the bound on the calls to cold targets and the source of the state of all instances. It
// resets the counts of calls to cold targets.
func (s *Selector) ConfigureThrottling(t throttler.Settings, fleet func() throttler.Fleet) {
	s.throttler, s.fleet = throttler.New(t), fleet
}

// Choose selects a target of a group for a call and counts the call at throttled or recovering targets. It
// returns false if the group has no target that may be used.
func (s *Selector) Choose(now time.Time, r *discoverer.Registry, group string, q Query) (Choice, bool) {
	targets := q.withoutAvoided(r.Groups[group])
	v := q.ofVersion(targets)
	g := v

	if q.Sharded {
		g = sharder.Shard(q.Customer, g)
	}

	all := s.candidates(now, r, g, &q)
	ready, _ := s.withoutBackoff(now, all)
	open := s.admissible(now, ready, &q)
	o := Choice{Route: q.Route, BackingOff: len(all) - len(ready), Cold: len(ready) - len(open)}

	if q.Route == Proven && s.health.groupUnreached(now, group, r.Groups[group]) {
		o.Unreached = true

		return o, false
	}

	l, u, median := s.health.usable(now, group, open, q.Route)
	u = filterOrAll(u, func(x candidate) bool { return !x.shed })
	o.MedianLatency = median

	if len(u) == 0 {
		o.Unreached = q.Route == Proven && len(open) > 0

		return o, false
	}

	n := len(u)
	if u = s.withRoom(now, group, u, &q); len(u) == 0 {
		o.Full = n

		return o, false
	}

	o.Narrowed = (len(q.Prefixes) > 0 || q.Version != 0) && q.narrows(v, targets)

	switch {
	case o.Narrowed:
		l = s.loadBaseline(now, l, s.candidates(now, r, targets, &Query{}), &q)
	case len(open) < len(all):
		l = s.loadBaseline(now, l, all, &q)
	}

	o.Bound = s.settings.bound(l, s.candidates(now, r, r.Evacuated[group], &Query{}))

	if o.Narrowed {
		n, o.Bound = len(u), narrowBound(o.Bound, l, u)

		if u = filter(u, func(x candidate) bool { return x.load+1 <= o.Bound }); len(u) == 0 {
			o.Crowded = n

			return o, false
		}
	}

	s.pick(now, r, q.withoutLeft(u, o.Bound), &q, &o)

	return o, true
}

// pick selects one of the usable candidates for a call, completes the choice and records the call where it has to be counted.
func (s *Selector) pick(now time.Time, r *discoverer.Registry, usable []candidate, q *Query, o *Choice) {
	var (
		x candidate
		h []discoverer.Key
	)

	if len(q.Prefixes) == 0 {
		x = pickLeastLoaded(usable, q.DataCentre, s.settings.RemotePenalty, q.Draw)

		if !o.Narrowed {
			o.Bound = float64(x.target.Slots)
		}
	} else {
		h = s.placements.holders(now, q.Prefixes[0].Key)
		x = pickForPrompt(usable, o.Bound, h, *q)
	}

	o.Target, o.Load, o.Usable, o.Throttled = x.target, x.load, len(usable), x.cold
	o.MaxCalls, o.Explores, o.NeedsCount = x.maxCalls, x.explores, x.needsCount
	s.recordSent(now, x)

	if len(q.Prefixes) == 0 {
		return
	}

	n := x.target.Key()
	o.FetchFrom, o.Cached, o.prefixes = s.fetchSource(now, r, usable, n, h, q), slices.Contains(h, n), q.Prefixes

	for _, p := range q.Prefixes {
		if s.placements.recordUse(now, p.Key, n) {
			o.fresh = append(o.fresh, p.Key)
		}
	}
}

// fetchSource returns a target from which the selected one may fetch the prompt, or its longest prefix cached
// anywhere; nil if there is none. If no target is known to have the prompt cached, it is the first target in
// the rendezvous order of the prompt.
//
// After the loss of all instances the placements are unknown, while the engines still have the prompts cached
// and all callers return at once. The first target in the order served the prompt before; calls beyond its
// bound are assigned to the next ones, each of which would otherwise compute the prompt again.
func (s *Selector) fetchSource(
	now time.Time, r *discoverer.Registry, usable []candidate, target discoverer.Key, holders []discoverer.Key, q *Query,
) *discoverer.Target {
	l := q.Prefixes
	if len(holders) == 0 && l[0].Tokens >= minFetchTokens {
		if f := firstRanked(usable, l[0].Key); f.Key() != target {
			return f
		}
	}

	return s.knownSource(now, r, target, q)
}

// minFetchTokens is the minimum prefix length for a fetch from another target. Computing a shorter prefix
// takes no longer than fetching it.
const minFetchTokens = 200

// knownSource returns a target from which the selected one may fetch the longest prefix of the prompt that is
// cached anywhere; nil if the selected target has the same prefix cached itself.
func (s *Selector) knownSource(now time.Time, r *discoverer.Registry, target discoverer.Key, q *Query) *discoverer.Target {
	for _, p := range q.Prefixes {
		if p.Tokens < minFetchTokens {
			return nil
		}

		h := s.placements.holders(now, p.Key)
		if slices.Contains(h, target) {
			return nil
		}

		for _, n := range h {
			if t, ok := r.Processes[n]; ok && q.allows(t) && s.health.healthy(now, t, q.Route) {
				return t
			}
		}

		for _, n := range h {
			if t, ok := s.departed.source(now, n); ok && q.allows(t) {
				return t
			}
		}
	}

	return nil
}

// Fullness returns the number of calls per slot at the targets of a group. Above one, calls wait. It is zero
// if the targets do not report their slots.
func (s *Selector) Fullness(now time.Time, r *discoverer.Registry, group string) float64 {
	n, m := 0.0, 0

	for _, t := range r.Groups[group] {
		n += s.load(now, t)
		m += t.Slots
	}

	if m == 0 {
		return 0
	}

	return n / float64(m)
}

func (s *Selector) load(now time.Time, t *discoverer.Target) float64 {
	if p, ok := s.processes[t.Key()]; ok {
		return p.load(now)
	}

	return 0
}

// process returns the load state of a target's process, which is created if necessary.
func (s *Selector) process(t *discoverer.Target) *processLoad {
	p, ok := s.processes[t.Key()]
	if !ok {
		p = &processLoad{target: t, unlisted: s.listed != nil && s.listed[t.Key()] == nil}
		s.processes[t.Key()] = p
	}

	return p
}

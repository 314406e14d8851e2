// Package chooser decides which target a call goes to: where its prompt prefix
// is cached, unless that target has more than its share of the load.
package chooser

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/confiner"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/sparer"
	"github.com/auburntray/auburntray/internal/throttler"
)

// Settings bounds the load of a target.
type Settings struct {
	// Factor is the multiple of the mean load up to which a target is given the
	// calls that have their prompts cached there.
	Factor float64
	// Slack is how many calls more it may have, so that quiet hours do not move
	// chats about.
	Slack float64
	// Near is the load per slot below which calls without a prompt stay in the
	// data centre of this instance.
	Near float64
}

// DefaultSettings returns the settings of a gateway.
func DefaultSettings() Settings {
	return Settings{Factor: keptPart * defaultMost, Slack: 3, Near: 0.5}
}

const (
	// defaultMost is the multiple of the mean that a target may have where nobody says.
	defaultMost = 2
	// keptPart is the part of that multiple up to which targets are filled: what is known of loads is
	// a little old.
	keptPart = 0.85
	// factorLeast leaves room above the mean, without which calls go round.
	factorLeast = 1.1
)

// Within returns the settings for targets that may have so many times the mean; zero says nothing.
func (s Settings) Within(most float64) Settings {
	if most > 0 {
		s.Factor = max(keptPart*most, factorLeast)
	}

	return s
}

// Prefix is the beginning of a prompt: the hash of its parts and their length.
type Prefix struct {
	Key    uint64
	Tokens int
}

// Query is what is known of a call.
type Query struct {
	// Prefixes are the beginnings of the prompt that other calls share, the
	// longest first. Calls without a prompt have none.
	Prefixes []Prefix
	// DataCentre is where this instance is.
	DataCentre string
	// Excluded are the IDs of targets that the call was sent to before.
	Excluded []string
	// Declined is how many targets turned out to be full since the last one that the call
	// was sent to.
	Declined int
	// Draw is a number of the call's own, by which calls are spread among equal targets.
	Draw uint64
	// Customer is who sends the call. With Confined it only goes to the customer's part of the
	// targets.
	Customer uint64
	Confined bool
	// Centres are the data centres that it may go to; nil means all.
	Centres map[string]bool
	// ColdRate is how many calls a second a cold target of the group bears, zero without a bound,
	// and ColdFor how long one is cold after its start.
	ColdRate float64
	ColdFor  time.Duration
}

// SetThrottle replaces the bound on the calls at cold targets.
func (c *Chooser) SetThrottle(s throttler.Settings) {
	c.throttler.Set(s)
}

// allows says that a call may go to a target's data centre.
func (q *Query) allows(t *enroller.Target) bool {
	return q.Centres == nil || q.Centres[t.DataCentre]
}

// Choice is where a call goes.
type Choice struct {
	Target *enroller.Target
	// Source holds the call's prompt where Target does not; nil when it does, or
	// none is known.
	Source *enroller.Target
	// Load is the estimate of the calls at Target, Bound what it may have, and
	// Usable how many targets there were to choose from. Held says that Target was
	// known to hold the prompt.
	Load, Bound float64
	Usable      int
	Held        bool
	// Cold is how many targets it could not go to since they are cold. Throttled says that Target
	// is cold too, and how it answers says nothing of how it answers later.
	Cold      int
	Throttled bool
	// Resting is how many targets it could not go to since they have asked for rest.
	Resting int
	// Usual is how long targets of the group take to begin an answer, as a part of the time
	// within which it is of full use; zero when that is not known.
	Usual float64

	// prefixes are the beginnings of the prompt, and fresh those that Target was not known to
	// hold.
	prefixes []Prefix
	fresh    []uint64
}

// Report is what a target said of its load as it answered a call.
type Report struct {
	// Running and Waiting count the calls of all instances. Slots is zero when the
	// target does not say.
	Running, Waiting, Slots int
}

// Chooser counts this instance's calls at the targets. It is not safe for
// concurrent use.
type Chooser struct {
	settings Settings
	// states has an entry for each process of which anything but a place is believed.
	states map[enroller.Key]*state
	// listed are the processes on the list at its last change; nil before the first.
	listed map[enroller.Key]*enroller.Target
	// left are the processes that left the list lately.
	left   leavers
	loads  []Load
	health *health
	places *places
	// sparer knows which targets have asked this instance for rest.
	sparer *sparer.Sparer[enroller.Key]
	// throttler bounds the calls at cold targets, and fleet is what is known of all instances.
	throttler *throttler.Throttler
	fleet     func() throttler.Fleet
}

// New returns a Chooser that knows of no call.
func New(s Settings) *Chooser {
	c := &Chooser{settings: s, states: make(map[enroller.Key]*state), left: make(leavers), health: newHealth(), places: newPlaces(), sparer: sparer.New[enroller.Key]()}
	c.Throttle(throttler.DefaultSettings(), func() throttler.Fleet {
		return throttler.Fleet{Live: []uint64{0}, Most: 1, Settled: true}
	})

	return c
}

// Throttle sets the bound on the calls at cold targets, and what tells of all instances. Without
// it, this instance takes itself for the only one.
func (c *Chooser) Throttle(s throttler.Settings, fleet func() throttler.Fleet) {
	c.throttler, c.fleet = throttler.New(s), fleet
}

// Choose returns where a call goes among the targets of its group, and false when
// there is none, or none that can be reached.
func (c *Chooser) Choose(now time.Time, r *enroller.Roster, group string, q Query) (Choice, bool) {
	g := r.Groups[group]
	if q.Confined {
		g = confiner.Part(q.Customer, g)
	}

	all := c.candidates(now, r, g, &q)
	rested, _ := c.rested(now, all)
	open := c.open(now, rested, &q)
	resting, cold := len(all)-len(rested), len(rested)-len(open)

	l, u, usual := c.health.usable(now, group, open)
	u = filter(u, func(x candidate) bool { return !x.shed })

	if len(u) == 0 {
		return Choice{Cold: cold, Resting: resting}, false
	}

	if len(open) < len(all) {
		l = c.counted(now, l, all)
	}

	if len(q.Prefixes) == 0 {
		x := least(u, q.DataCentre, c.settings.Near, q.Draw)
		c.sent(now, x)

		return Choice{
			Target: x.target, Load: x.load, Bound: float64(x.target.Slots), Usable: len(u), Usual: usual,
			Cold: cold, Throttled: x.cold, Resting: resting,
		}, true
	}

	h := c.places.holders(now, q.Prefixes[0].Key)
	most := c.settings.bound(l, c.candidates(now, r, r.Closed[group], &Query{}))
	x := prompted(u, most, h, q)
	n := x.target.Key()
	c.sent(now, x)

	o := Choice{
		Target: x.target, Source: c.fetchFrom(now, r, u, n, h, &q),
		Load: x.load, Bound: most, Usable: len(u), Held: slices.Contains(h, n), Usual: usual, Cold: cold, Throttled: x.cold,
		Resting: resting, prefixes: q.Prefixes,
	}

	for _, p := range q.Prefixes {
		if c.places.use(now, p.Key, n) {
			o.fresh = append(o.fresh, p.Key)
		}
	}

	return o, true
}

// fetchFrom returns the target from which another may fetch a prompt, or the longest beginning of it
// that is held anywhere; nil when there is none. Where nobody is known to hold the prompt, it is the
// first in the prompt's own order.
//
// After all instances were lost nobody knows where prompts are, though the engines still hold
// them, and all callers come back at once. What is too much for the first in the order, which
// had the prompt before, goes to the next ones. Each would read it anew.
func (c *Chooser) fetchFrom(
	now time.Time, r *enroller.Roster, usable []candidate, target enroller.Key, holders []enroller.Key, q *Query,
) *enroller.Target {
	l := q.Prefixes
	if len(holders) == 0 && l[0].Tokens >= minFetch {
		if f := foremost(usable, l[0].Key); f.Key() != target {
			return f
		}
	}

	return c.source(now, r, target, q)
}

// minFetch is the least number of tokens for which a target asks another. Reading
// so few itself takes no longer than asking.
const minFetch = 200

// source returns a target from which another may fetch the longest beginning of a
// prompt that is held anywhere; nil when it holds as much itself.
func (c *Chooser) source(now time.Time, r *enroller.Roster, target enroller.Key, q *Query) *enroller.Target {
	for _, p := range q.Prefixes {
		if p.Tokens < minFetch {
			return nil
		}

		h := c.places.holders(now, p.Key)
		if slices.Contains(h, target) {
			return nil
		}

		for _, n := range h {
			if t, ok := r.Processes[n]; ok && q.allows(t) && c.health.well(now, t) {
				return t
			}
		}

		for _, n := range h {
			if t, ok := c.left.source(now, n); ok && q.allows(t) {
				return t
			}
		}
	}

	return nil
}

// Fullness returns the calls at the targets of a group for each that they run at a
// time. Above one, calls wait. It is zero when the targets do not say how many.
func (c *Chooser) Fullness(now time.Time, r *enroller.Roster, group string) float64 {
	n, s := 0.0, 0

	for _, t := range r.Groups[group] {
		n += c.load(now, t)
		s += t.Slots
	}

	if s == 0 {
		return 0
	}

	return n / float64(s)
}

func (c *Chooser) load(now time.Time, t *enroller.Target) float64 {
	if s, ok := c.states[t.Key()]; ok {
		return s.load(now)
	}

	return 0
}

// state returns what is known of the load on a target's process.
func (c *Chooser) state(t *enroller.Target) *state {
	s, ok := c.states[t.Key()]
	if !ok {
		s = &state{target: t, unlisted: c.listed != nil && c.listed[t.Key()] == nil}
		c.states[t.Key()] = s
	}

	return s
}

// Package chooser decides which target a call goes to: where its prompt prefix
// is cached, unless that target has more than its share of the load.
package chooser

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/hasher"
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
	return Settings{Factor: 1.7, Slack: 3, Near: 0.5}
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
	loads  []Load
	health *health
	places *places
}

// New returns a Chooser that knows of no call.
func New(s Settings) *Chooser {
	return &Chooser{settings: s, states: make(map[enroller.Key]*state), health: newHealth(), places: newPlaces()}
}

// Choose returns where a call goes among the targets of its group, and false when
// there is none, or none that can be reached.
func (c *Chooser) Choose(now time.Time, r *enroller.Roster, group string, q Query) (Choice, bool) {
	l, u := c.usable(now, group, r.Groups[group], q.Excluded)
	if len(u) == 0 {
		return Choice{}, false
	}

	if len(q.Prefixes) == 0 {
		t := c.least(now, u, q)

		return Choice{Target: t, Load: c.load(now, t), Bound: float64(t.Slots), Usable: len(u)}, true
	}

	h := c.places.holders(now, q.Prefixes[0].Key)
	most := c.bound(now, l)
	t := c.bounded(now, u, most, q, h)
	n := t.Key()
	o := Choice{
		Target: t, Source: c.source(now, r, n, q.Prefixes),
		Load: c.load(now, t), Bound: most, Usable: len(u), Held: slices.Contains(h, n),
	}

	for _, p := range q.Prefixes {
		c.places.use(now, p.Key, n)
	}

	return o, true
}

// minFetch is the least number of tokens for which a target asks another. Reading
// so few itself takes no longer than asking.
const minFetch = 200

// source returns a target from which another may fetch the longest beginning of a
// prompt that is held anywhere; nil when it holds as much itself.
func (c *Chooser) source(now time.Time, r *enroller.Roster, target enroller.Key, l []Prefix) *enroller.Target {
	for _, p := range l {
		if p.Tokens < minFetch {
			return nil
		}

		h := c.places.holders(now, p.Key)
		if slices.Contains(h, target) {
			return nil
		}

		for _, n := range h {
			if t, ok := r.Processes[n]; ok && c.health.well(now, t) {
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

// usable returns the targets that can be reached, and those of them that may be
// chosen.
func (c *Chooser) usable(now time.Time, group string, l []*enroller.Target, excluded []string) (reached, usable []*enroller.Target) {
	var all []*enroller.Target

	for _, t := range l {
		if !slices.Contains(excluded, t.ID) {
			all = append(all, t)
		}
	}

	reached, u := c.health.usable(now, group, all)

	o := slices.DeleteFunc(slices.Clone(u), func(t *enroller.Target) bool {
		s, ok := c.states[t.Key()]

		return ok && now.Sub(s.shed) < shedFor
	})
	if len(o) == 0 {
		return reached, u
	}

	return reached, o
}

// bound returns how many calls a target of a group may have, from the mean of those
// that can be reached. Those that are left alone for another reason count: without
// them the others would be filled to a multiple of what they have to carry, and not
// of what the group has.
func (c *Chooser) bound(now time.Time, l []*enroller.Target) float64 {
	n := 0.0
	for _, t := range l {
		n += c.load(now, t)
	}

	return c.settings.Factor*(n+1)/float64(len(l)) + c.settings.Slack
}

// bounded returns the first target in the key's own order whose load is within the
// bound: first among those that hold the prompt, then among all. The order is the
// same at every instance, so that the calls which one target can't take find the
// next one warm. When none is, it returns the least loaded.
func (c *Chooser) bounded(now time.Time, u []*enroller.Target, most float64, q Query, holders []enroller.Key) *enroller.Target {
	l := make([]float64, len(u))
	for i, t := range u {
		l[i] = c.load(now, t)
	}

	r := hasher.Rank(q.Prefixes[0].Key, len(u), func(i int) uint64 { return u[i].Rank() }, func(int) float64 { return 1 })

	for _, i := range r {
		if l[i]+1 <= most && slices.Contains(holders, u[i].Key()) {
			return u[i]
		}
	}

	b := r[0]

	for _, i := range r {
		if l[i]+1 <= most {
			return u[i]
		}

		if l[i] < l[b] {
			b = i
		}
	}

	return u[b]
}

// least returns the target with the least load for its size, one in the own data
// centre while it has room.
func (c *Chooser) least(now time.Time, u []*enroller.Target, q Query) *enroller.Target {
	var o *enroller.Target

	b := 0.0

	for _, t := range u {
		w := c.load(now, t) / float64(max(t.Slots, 1))
		if t.DataCentre != q.DataCentre {
			w += c.settings.Near
		}

		if o == nil || w < b {
			o, b = t, w
		}
	}

	return o
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
		s = &state{target: t}
		c.states[t.Key()] = s
	}

	return s
}

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
	// Instances is how many instances send calls.
	Instances int
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
	states   map[string]*state
	health   *health
	places   *places
}

// New returns a Chooser that knows of no call.
func New(s Settings) *Chooser {
	return &Chooser{settings: s, states: make(map[string]*state), health: newHealth(), places: newPlaces()}
}

// Choose returns where a call goes among the targets of its group, and false when
// there is none.
func (c *Chooser) Choose(now time.Time, r *enroller.Roster, group string, q Query) (Choice, bool) {
	u := c.usable(now, r.Groups[group], q.Excluded)
	if len(u) == 0 {
		return Choice{}, false
	}

	if len(q.Prefixes) == 0 {
		return Choice{Target: c.least(now, u, q)}, true
	}

	h := c.places.holders(now, q.Prefixes[0].Key)
	t := c.bounded(now, u, q, h)
	n := hasher.Name(t.ID)
	o := Choice{Target: t, Source: c.source(now, r, n, q.Prefixes)}

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
func (c *Chooser) source(now time.Time, r *enroller.Roster, target uint32, l []Prefix) *enroller.Target {
	for _, p := range l {
		if p.Tokens < minFetch {
			return nil
		}

		h := c.places.holders(now, p.Key)
		if slices.Contains(h, target) {
			return nil
		}

		for _, n := range h {
			if t, ok := r.Names[n]; ok && c.health.well(now, t) {
				return t
			}
		}
	}

	return nil
}

// usable returns the targets that may be chosen.
func (c *Chooser) usable(now time.Time, l []*enroller.Target, excluded []string) []*enroller.Target {
	var all []*enroller.Target

	for _, t := range l {
		if !slices.Contains(excluded, t.ID) {
			all = append(all, t)
		}
	}

	u := c.health.usable(now, all)

	o := slices.DeleteFunc(slices.Clone(u), func(t *enroller.Target) bool {
		s, ok := c.states[t.ID]

		return ok && now.Sub(s.shed) < shedFor
	})
	if len(o) == 0 {
		return u
	}

	return o
}

// bounded returns the first target in the key's own order whose load is within
// the bound: first among those that hold the prompt, then among all. The order is
// the same at every instance, so that the calls which one target can't take find
// the next one warm.
func (c *Chooser) bounded(now time.Time, u []*enroller.Target, q Query, holders []uint32) *enroller.Target {
	n := 0.0
	l := make([]float64, len(u))

	for i, t := range u {
		l[i] = c.load(now, t.ID, q.Instances)
		n += l[i]
	}

	most := c.settings.Factor*(n+1)/float64(len(u)) + c.settings.Slack
	r := hasher.Rank(q.Prefixes[0].Key, len(u), func(i int) uint64 { return uint64(hasher.Name(u[i].ID)) }, func(int) float64 { return 1 })

	for _, i := range r {
		if l[i]+1 <= most && slices.Contains(holders, hasher.Name(u[i].ID)) {
			return u[i]
		}
	}

	for _, i := range r {
		if l[i]+1 <= most {
			return u[i]
		}
	}

	return u[r[0]]
}

// least returns the target with the least load for its size, one in the own data
// centre while it has room.
func (c *Chooser) least(now time.Time, u []*enroller.Target, q Query) *enroller.Target {
	var o *enroller.Target

	b := 0.0

	for _, t := range u {
		w := c.load(now, t.ID, q.Instances) / float64(max(t.Slots, 1))
		if t.DataCentre != q.DataCentre {
			w += c.settings.Near
		}

		if o == nil || w < b {
			o, b = t, w
		}
	}

	return o
}

// Start counts a call at a target.
func (c *Chooser) Start(now time.Time, t *enroller.Target) {
	s, ok := c.states[t.ID]
	if !ok {
		s = &state{}
		c.states[t.ID] = s
	}

	s.running++
	c.health.start(now, t)
}

// Report takes what a target said of its load.
func (c *Chooser) Report(now time.Time, id string, r Report) {
	s, ok := c.states[id]
	if !ok || r.Slots == 0 {
		return
	}

	s.reported, s.base, s.at = r.Running+r.Waiting, s.running, now
}

// Begun takes how long a target took until its answer began, as a part of the
// time within which it is of full use.
func (c *Chooser) Begun(now time.Time, t *enroller.Target, part float64) {
	c.health.begun(now, t, part)
}

// Finish counts a call out again, with how it ended.
func (c *Chooser) Finish(now time.Time, t *enroller.Target, o Outcome) {
	s, ok := c.states[t.ID]
	if !ok {
		return
	}

	s.running--

	if o == Shed {
		s.shed = now
	}

	c.health.finish(now, t, o)
}

// Learn takes what another instance told of the places of prompts.
func (c *Chooser) Learn(now time.Time, l []Place) {
	for _, p := range l {
		c.places.learn(now, p)
	}
}

// News returns the places that other instances should be told of.
func (c *Chooser) News() []Place {
	return c.places.take()
}

// Forget drops what is known of the targets that are no longer listed and have
// no call.
func (c *Chooser) Forget(known map[string]*enroller.Target) {
	for id, s := range c.states {
		if _, ok := known[id]; !ok && s.running <= 0 {
			delete(c.states, id)
			c.health.forget(id)
		}
	}
}

func (c *Chooser) load(now time.Time, id string, instances int) float64 {
	if s, ok := c.states[id]; ok {
		return s.load(now, instances)
	}

	return 0
}

// Package chooser decides which target a call goes to: where its prompt prefix
// is cached, unless that target has more than its share of the load.
package chooser

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/ejector"
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
	// Ejector takes failing targets out.
	Ejector ejector.Settings
}

// DefaultSettings returns the settings of a gateway.
func DefaultSettings() Settings {
	return Settings{Factor: 1.5, Slack: 2, Near: 0.5, Ejector: ejector.DefaultSettings()}
}

// Query is what is known of a call.
type Query struct {
	// Key is the hash of the prompt's last shared part; zero says that there is
	// none.
	Key uint64
	// DataCentre is where this instance is.
	DataCentre string
	// Excluded are the IDs of targets that the call was sent to before.
	Excluded []string
}

// Outcome is how a call at a target ended.
type Outcome int

// The outcomes.
const (
	// Good is an answer.
	Good Outcome = iota
	// Bad is a failure of the target's.
	Bad
	// Shed is the target's word that it took no more.
	Shed
	// Neither says nothing about the target: the caller left, say.
	Neither
)

type state struct {
	running int
	shed    time.Time
}

// shedFor is how long a target that turned a call away is passed over. It is
// about the time in which a full one runs a few calls to their end.
const shedFor = 100 * time.Millisecond

// Chooser counts this instance's calls at the targets. It is not safe for
// concurrent use.
type Chooser struct {
	settings Settings
	states   map[string]*state
	ejector  *ejector.Ejector
}

// New returns a Chooser that knows of no call.
func New(s Settings) *Chooser {
	return &Chooser{settings: s, states: make(map[string]*state), ejector: ejector.New(s.Ejector)}
}

// Choose returns the target for a call among those of its group, and false when
// there is none.
func (c *Chooser) Choose(now time.Time, l []*enroller.Target, q Query) (*enroller.Target, bool) {
	u := c.usable(now, l, q.Excluded)
	if len(u) == 0 {
		return nil, false
	}

	if q.Key == 0 {
		return c.least(u, q), true
	}

	return c.bounded(u, q), true
}

// usable returns the targets that may be chosen. When most are out, the fault is
// more likely here than there, and all are used.
func (c *Chooser) usable(now time.Time, l []*enroller.Target, excluded []string) []*enroller.Target {
	var all, u []*enroller.Target

	n := make([]uint32, 0, len(l))
	for _, t := range l {
		n = append(n, hasher.Name(t.ID))
	}

	p := c.ejector.Panic(now, n)

	for i, t := range l {
		if slices.Contains(excluded, t.ID) {
			continue
		}

		all = append(all, t)

		if !p && c.ejector.Out(now, n[i]) {
			continue
		}

		if s, ok := c.states[t.ID]; ok && now.Sub(s.shed) < shedFor {
			continue
		}

		u = append(u, t)
	}

	if len(u) == 0 {
		return all
	}

	return u
}

// bounded returns the first target in the key's own order whose load is within
// the bound. The order is the same at every instance, so that the calls which one
// target can't take find the next one warm.
func (c *Chooser) bounded(u []*enroller.Target, q Query) *enroller.Target {
	n := 0
	for _, t := range u {
		n += c.running(t.ID)
	}

	most := c.settings.Factor*float64(n+1)/float64(len(u)) + c.settings.Slack
	r := hasher.Rank(q.Key, len(u), func(i int) uint64 { return hasher.Key(u[i].ID) }, func(int) float64 { return 1 })

	for _, i := range r {
		if float64(c.running(u[i].ID)+1) <= most {
			return u[i]
		}
	}

	return u[r[0]]
}

// least returns the target with the least load for its size, one in the own data
// centre while it has room.
func (c *Chooser) least(u []*enroller.Target, q Query) *enroller.Target {
	var o *enroller.Target

	b := 0.0

	for _, t := range u {
		w := float64(c.running(t.ID)) / float64(max(t.Slots, 1))
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
func (c *Chooser) Start(now time.Time, id string) {
	s, ok := c.states[id]
	if !ok {
		s = &state{}
		c.states[id] = s
	}

	s.running++
	c.ejector.Probe(now, hasher.Name(id))
}

// Finish counts it out again, with how it ended.
func (c *Chooser) Finish(now time.Time, id string, o Outcome) {
	s, ok := c.states[id]
	if !ok {
		return
	}

	s.running--

	switch o {
	case Good:
		c.ejector.Result(now, hasher.Name(id), true)
	case Bad:
		c.ejector.Result(now, hasher.Name(id), false)
	case Shed:
		s.shed = now
	case Neither:
	}
}

// Forget drops what is known of the targets that are no longer listed and have
// no call.
func (c *Chooser) Forget(known map[string]*enroller.Target) {
	for id, s := range c.states {
		if _, ok := known[id]; !ok && s.running <= 0 {
			delete(c.states, id)
			c.ejector.Forget(hasher.Name(id))
		}
	}
}

func (c *Chooser) running(id string) int {
	if s, ok := c.states[id]; ok {
		return s.running
	}

	return 0
}

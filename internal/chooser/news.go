package chooser

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
)

// News is what instances tell each other.
type News struct {
	Places []Place
	Loads  []Load
}

// Learn takes what another instance told of the processes on a roster. Word of others, and of
// names that two of them share, is not taken: it may be of the process before, which the
// other instance does not know to be gone.
func (c *Chooser) Learn(now time.Time, r *enroller.Roster, n News) {
	for _, p := range n.Places {
		if t, ok := r.Names[p.Target]; ok {
			c.places.learn(now, p.Key, t.Key())
		}
	}

	for _, l := range n.Loads {
		if t, ok := r.Names[l.Target]; ok {
			c.state(t).report(l.At, l.Calls)
		}
	}
}

// LearnGone takes another instance's word that a process is gone. It says nothing of another
// process under the same ID.
func (c *Chooser) LearnGone(now time.Time, r *enroller.Roster, p enroller.Process) {
	if t, ok := r.Processes[p.Key()]; ok && !c.state(t).unlisted {
		c.health.learnGone(now, t)
	}
}

// News returns what other instances should be told: the places of prompts that they
// may not know, and the last word of each target on its load.
func (c *Chooser) News() News {
	n := News{Places: c.places.take()}
	k := make(map[enroller.Name]bool, len(c.loads))

	for _, l := range slices.Backward(c.loads) {
		if !k[l.Target] {
			k[l.Target] = true
			n.Loads = append(n.Loads, l)
		}
	}

	c.loads = nil

	return n
}

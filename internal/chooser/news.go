package chooser

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
)

// oldWord is the age from which the call that brought a target's word is taken to be over. A
// call lasts some hundred milliseconds.
const oldWord = 500 * time.Millisecond

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
			c.state(t).report(l.At, l.since(now))
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

// since returns how many calls a target has by its word on its load, seen some time later.
//
// The word comes with the answer to a call and counts that too. Among hundreds of instances it
// is a second old when it arrives, and the call is over: taken as it is, the mean would seem one
// too high, and all targets might have two more than they may.
func (l Load) since(now time.Time) int {
	if now.Sub(l.At) < oldWord {
		return l.Calls
	}

	return max(l.Calls-1, 0)
}

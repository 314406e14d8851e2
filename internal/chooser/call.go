package chooser

import (
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
)

// Start counts a call at a target.
func (c *Chooser) Start(now time.Time, t *enroller.Target) {
	s := c.state(t)
	s.running++

	if s.judged(t) {
		c.health.start(now, t)
	}
}

// Decline takes back that a call goes to a target, where it was not sent since the target has
// as many calls as it may have. What the choice noted of prompts there is not so.
func (c *Chooser) Decline(now time.Time, x Choice, calls int) {
	c.takeBack(now, x)
	c.Report(now, x.Target, Report{Running: calls, Slots: x.Target.Slots})
}

// Leave is Decline where the target is to be left alone, by the word of those who have seen
// more of it.
func (c *Chooser) Leave(now time.Time, x Choice) {
	c.takeBack(now, x)
	c.health.learnLeft(now, x.Target)
}

// Withdraw takes back that a call goes to a target, where it was not sent since the target takes
// calls no more.
func (c *Chooser) Withdraw(now time.Time, x Choice) {
	c.takeBack(now, x)
}

func (c *Chooser) takeBack(now time.Time, x Choice) {
	c.Finish(now, x.Target, Neither)
	c.sparer.Withdraw(x.Target.Key())
	c.Unread(x)
}

// Unread takes back what a choice noted of prompts at its target, where the call failed before
// its answer began. The target has hardly read the prompt; taken for one that holds it, the
// target that the call goes to next would ask it in vain, and read again what others hold.
func (c *Chooser) Unread(x Choice) {
	for _, k := range x.fresh {
		c.places.withdraw(k, x.Target.Key())
	}
}

// Report takes what a target said of its load.
func (c *Chooser) Report(now time.Time, t *enroller.Target, r Report) {
	if r.Slots == 0 {
		return
	}

	l := Load{Target: t.Key().Name(), Calls: r.Running + r.Waiting, At: now}
	if c.state(t).report(now, l.Calls) {
		c.loads = append(c.loads, l)
	}
}

// Read takes that the answer to a call has begun: its target has read the prompt. Only then are
// others told. They would have targets ask it for the prompt, which gets them nothing while it
// reads that itself, or when it broke off before.
func (c *Chooser) Read(now time.Time, x Choice) {
	if s, ok := c.states[x.Target.Key()]; !ok || s.unlisted {
		return
	}

	for _, p := range x.prefixes {
		c.places.tell(now, p.Key, x.Target.Key())
	}
}

// Begun takes how long a target took until its answer began, as a part of the
// time within which it is of full use.
func (c *Chooser) Begun(now time.Time, t *enroller.Target, part float64) {
	if c.state(t).judged(t) {
		c.health.begun(now, t, part)
	}
}

// LearnPace takes how long a target takes until its answers begin, by the word of those who
// have seen more of it.
func (c *Chooser) LearnPace(t *enroller.Target, part float64) {
	if c.state(t).judged(t) {
		c.health.paces.Learn(t.Key(), part)
	}
}

// Finish counts a call out again, with how it ended. It is counted at the process that it
// was sent to; when that is no longer listed, or has moved since, how it ended says nothing.
func (c *Chooser) Finish(now time.Time, t *enroller.Target, o Outcome) {
	s, ok := c.states[t.Key()]
	if !ok {
		return
	}

	s.running = max(s.running-1, 0)

	if !s.judged(t) {
		c.clear(t.Key(), s)

		return
	}

	if o == Shed {
		s.shed = now
	}

	c.health.finish(now, t, o)
}

// Forget takes a list that has changed, and drops at once what is believed of processes that
// are not on it. A target that started again under its ID is another process, of which nothing
// is believed.
//
// It is the one place where beliefs end with their process. Were one left out, a target that
// started again would be given calls for prompts that it lost, or be left alone for a failure
// that was not its own. What comes later from calls that still run at the earlier process,
// or begin there, finds that it is not listed.
//
// A process that has moved to another address or group keeps its load and its prompts, and
// is judged anew: it failed, or was not reached, at the other address.
func (c *Chooser) Forget(now time.Time, r *enroller.Roster) {
	c.listed = r.Processes
	c.left.forget(now, r)

	for k, s := range c.states {
		t, ok := r.Processes[k]
		if !ok {
			if !s.unlisted && c.health.well(now, s.target) {
				c.left.add(now, r, s.target, s.word.At)
			}

			c.health.forget(k)
			c.throttler.Forget(k)
			s.unlist()
			c.clear(k, s)

			continue
		}

		if t.Moved(s.target) {
			c.health.forget(k)
		}

		s.target, s.unlisted = t, false
	}
}

// clear drops the state of a process that is not listed and has no call.
func (c *Chooser) clear(k enroller.Key, s *state) {
	if s.unlisted && s.running == 0 {
		delete(c.states, k)
	}
}

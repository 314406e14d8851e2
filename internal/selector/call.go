package selector

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// Start counts a call that is sent to a target.
func (c *Selector) Start(now time.Time, t *discoverer.Target) {
	s := c.state(t)
	s.running++

	if s.isCurrent(t) {
		c.health.start(now, t)
	}
}

// Decline reverts a choice whose target turned out to be full, with the number of calls there. The call was
// not sent; the placements recorded for it are removed.
func (c *Selector) Decline(now time.Time, x Choice, calls int) {
	c.revert(now, x)
	c.ReportLoad(now, x.Target, LoadReport{Running: calls, Slots: x.Target.Slots})
}

// DeclineUnhealthy reverts a choice whose target the home instance of that target, which sees the calls of all instances,
// considers unhealthy. The target is excluded for a short time.
func (c *Selector) DeclineUnhealthy(now time.Time, x Choice) {
	c.revert(now, x)
	c.health.reportUnhealthy(now, x.Target)
}

// Withdraw reverts a choice whose call was not sent because the target no longer accepts calls.
func (c *Selector) Withdraw(now time.Time, x Choice) {
	c.revert(now, x)
}

func (c *Selector) revert(now time.Time, x Choice) {
	c.Finish(now, x.Target, Inconclusive)
	c.suppressor.Withdraw(x.Target.Key())
	c.RevertPlacements(x)
}

// RevertPlacements removes the placements recorded for a choice after the call failed before its answer began. The
// target has most likely not processed the prompt. If it were still considered a holder, the next target would
// try to fetch the prompt from it in vain and then compute what others have cached.
func (c *Selector) RevertPlacements(x Choice) {
	for _, k := range x.fresh {
		c.placements.remove(k, x.Target.Key())
	}
}

// ReportLoad records the load that a target reported. Reports without slots are ignored.
func (c *Selector) ReportLoad(now time.Time, t *discoverer.Target, r LoadReport) {
	if r.Slots == 0 {
		return
	}

	l := TargetLoad{Target: t.Key().Name(), Calls: r.Running + r.Waiting, At: now}
	if c.state(t).report(now, l.Calls) {
		c.loads = append(c.loads, l)
	}
}

// ConfirmPlacements records that the answer to a call has begun, which shows that its target has processed the prompt.
// Other instances are notified only then: a fetch from a target that is still processing the prompt, or that
// failed before, would return nothing.
func (c *Selector) ConfirmPlacements(now time.Time, x Choice) {
	if s, ok := c.states[x.Target.Key()]; !ok || s.unlisted {
		return
	}

	for _, p := range x.prefixes {
		c.placements.notify(now, p.Key, x.Target.Key())
	}
}

// ObservePace records the time until a target's answer began, as a fraction of the time within which it is fully
// useful.
func (c *Selector) ObservePace(now time.Time, t *discoverer.Target, fraction float64) {
	if c.state(t).isCurrent(t) {
		c.health.observePace(now, t, fraction)
	}
}

// ReportPace applies the pace of a target that its home instance measured over the calls of all instances.
func (c *Selector) ReportPace(t *discoverer.Target, fraction float64) {
	if c.state(t).isCurrent(t) {
		c.health.paces.SetLatency(t.Key(), fraction)
	}
}

// Finish removes a call from the count of the process that it was sent to and records its outcome. The outcome
// is ignored if the process is no longer listed or has since moved to another address or group.
func (c *Selector) Finish(now time.Time, t *discoverer.Target, o Outcome) {
	s, ok := c.states[t.Key()]
	if !ok {
		return
	}

	s.running = max(s.running-1, 0)

	if !s.isCurrent(t) {
		c.dropIfIdle(t.Key(), s)

		return
	}

	if o == Shed {
		s.shedAt = now
	}

	c.health.finish(now, t, o)
}

// ApplyRegistry applies a registry that has changed: it drops the state of all processes that are no longer listed. A
// target that restarted under its ID is a new process without state.
//
// This is the only place where state ends with its process. Any state that remained would make a restarted
// target receive calls for prompts that it lost, or be excluded for a failure of its predecessor. Later
// outcomes of calls at the earlier process are ignored because it is not listed.
//
// A process that moved to another address or group keeps its load and its placements but not its health
// status, since it failed or was unreachable at the other address.
func (c *Selector) ApplyRegistry(now time.Time, r *discoverer.Registry) {
	c.listed = r.Processes
	c.departed.expire(now, r)

	for k, s := range c.states {
		t, ok := r.Processes[k]
		if !ok {
			if !s.unlisted && c.health.healthy(now, s.target) {
				c.departed.add(now, r, s.target, s.lastReport.At)
			}

			c.health.forget(k)
			c.throttler.Forget(k)
			s.markUnlisted()
			c.dropIfIdle(k, s)

			continue
		}

		if t.Moved(s.target) {
			c.health.forget(k)
		}

		s.target, s.unlisted = t, false
	}
}

// dropIfIdle drops the state of a process that is not listed and has no calls.
func (c *Selector) dropIfIdle(k discoverer.Key, s *state) {
	if s.unlisted && s.running == 0 {
		delete(c.states, k)
	}
}

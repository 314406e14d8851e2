package selector

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// Start counts a call that is sent to a target.
func (s *Selector) Start(now time.Time, t *discoverer.Target) {
	p := s.process(t)
	p.running++

	if p.isCurrent(t) {
		s.health.start(now, t)
	}
}

// Decline reverts a choice whose target turned out to be full, and records the number of calls at the target. The
// call was not sent; the placements recorded for it are removed.
func (s *Selector) Decline(now time.Time, x Choice, calls int) {
	s.revert(now, x)
	s.ReportLoad(now, x.Target, Load{Running: calls, Slots: x.Target.Slots})
}

// DeclineUnhealthy reverts a choice whose target was reported as unhealthy by its home (home node), which sees the
// calls of all instances. The target is excluded for reportedExclusion.
func (s *Selector) DeclineUnhealthy(now time.Time, x Choice) {
	s.revert(now, x)
	s.health.recordUnhealthyReport(now, x.Target)
}

// Withdraw reverts a choice whose call was not sent because the target no longer accepts calls.
func (s *Selector) Withdraw(now time.Time, x Choice) {
	s.revert(now, x)
}

func (s *Selector) revert(now time.Time, x Choice) {
	s.FinishChoice(now, x, Inconclusive)
	s.suppressor.Withdraw(x.Target.Key())
	s.RevertPlacements(x)
}

// RevertPlacements removes the placements recorded for a choice after the call failed before its answer began. The
// target has most likely not processed the prompt. If it were still considered a holder, the next target would try
// to fetch the prompt from it, fail, and then compute the prompt although other targets have it cached.
func (s *Selector) RevertPlacements(x Choice) {
	for _, k := range x.fresh {
		s.placements.remove(k, x.Target.Key())
	}
}

// ReportLoad records the load that a target reported. Reports without slots are ignored.
func (s *Selector) ReportLoad(now time.Time, t *discoverer.Target, r Load) {
	if r.Slots == 0 {
		return
	}

	l := TargetLoad{Target: t.Key().Name(), Calls: r.Running + r.Waiting, At: now}
	if s.process(t).report(now, l.Calls) {
		s.pendingLoads = append(s.pendingLoads, l)
	}
}

// ConfirmPlacements records that the answer to a call has begun, which shows that its target has processed the
// prompt. Other instances are not notified earlier: a fetch from a target that is still processing the prompt, or
// that failed before, would return nothing.
func (s *Selector) ConfirmPlacements(now time.Time, x Choice) {
	if p, ok := s.processes[x.Target.Key()]; !ok || p.unlisted {
		return
	}

	for _, p := range x.prefixes {
		s.placements.notify(now, p.Key, x.Target.Key())
	}
}

// ObserveLatency records the time until a target's answer began, as a fraction of the latency objective: the time
// within which an answer must begin to be of full use to the caller.
func (s *Selector) ObserveLatency(now time.Time, t *discoverer.Target, fraction float64) {
	if s.process(t).isCurrent(t) {
		s.health.observeLatency(now, t, fraction)
	}
}

// ReportLatency applies the latency of a target that the target's home measured over the calls of all
// instances, as a fraction of the latency objective.
func (s *Selector) ReportLatency(t *discoverer.Target, fraction float64) {
	if s.process(t).isCurrent(t) {
		s.health.latencies.SetLatency(t.Key(), fraction)
	}
}

// Finish removes a call from the count of the process that it was sent to and records its outcome. The outcome
// is ignored if the process is no longer listed or has since moved to another address or group.
func (s *Selector) Finish(now time.Time, t *discoverer.Target, o Outcome) {
	if _, ok := s.endCall(now, t, o); ok {
		s.health.finish(now, t, o)
	}
}

// endCall removes a call from the count of the process that it was sent to. It returns false if the outcome of the call is
// to be ignored.
func (s *Selector) endCall(now time.Time, t *discoverer.Target, o Outcome) (*processLoad, bool) {
	p, ok := s.processes[t.Key()]
	if !ok {
		return nil, false
	}

	p.running = max(p.running-1, 0)

	if !p.isCurrent(t) {
		s.dropIfIdle(t.Key(), p)

		return nil, false
	}

	if o == Shed {
		p.shedAt = now
	}

	return p, true
}

// ApplyRegistry applies a registry that has changed: it drops the state of all processes that are no longer listed. A
// target that restarted under its ID is a new process without state.
//
// This is the only place where the state of an ended process is dropped. Any state that remained would make a
// restarted target receive calls for prompts that it lost, or be excluded for a failure of the earlier process.
// Outcomes of calls at the earlier process that arrive later are ignored because that process is not listed.
//
// A process that moved to another address or group keeps its load and its placements but not its health status,
// which was observed at the earlier address and relative to the earlier group.
func (s *Selector) ApplyRegistry(now time.Time, r *discoverer.Registry) {
	s.listed = r.Processes
	s.departed.expire(now, r)

	for k, p := range s.processes {
		t, ok := r.Processes[k]
		if !ok {
			if !p.unlisted && s.health.healthy(now, p.target, Direct) {
				s.departed.add(now, r, p.target, p.lastReport.At)
			}

			s.health.forget(k)
			s.throttler.Forget(k)
			s.limiter.Forget(k)
			p.markUnlisted()
			s.dropIfIdle(k, p)

			continue
		}

		if t.Moved(p.target) {
			s.health.forget(k)
		}

		p.target, p.unlisted = t, false
	}
}

// dropIfIdle drops the state of a process that is not listed and has no calls.
func (s *Selector) dropIfIdle(k discoverer.Key, p *processLoad) {
	if p.unlisted && p.running == 0 {
		delete(s.processes, k)
	}
}

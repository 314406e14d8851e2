package selector

import (
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/limiter"
)

// withRoom returns the candidates of a brittle group that are known to have room for a call or, if there are none, those
// at which this instance may find out. It returns all candidates of other groups.
func (s *Selector) withRoom(now time.Time, group string, l []candidate, q *Query) []candidate {
	if !s.limiter.Brittle(now, group) {
		return l
	}

	var free, explored []candidate

	f := sync.OnceValue(s.fleet)

	for _, x := range l {
		x.maxCalls = s.limiter.Capacity(x.target)

		switch s.limiter.Admit(now, x.target, x.load, s.process(x.target).running, f) {
		case limiter.Free:
			free = append(free, x)
		case limiter.Counted:
			if !q.Uncounted {
				x.needsCount = true
				free = append(free, x)
			}
		case limiter.Explore:
			x.maxCalls = max(x.maxCalls, int(x.load)+1)
			x.explores = true
			explored = append(explored, x)
		case limiter.Blocked:
		}
	}

	if len(free) > 0 {
		return free
	}

	return explored
}

// ReportBrittle records that a target has answered and said that it is brittle: it crashes when it refuses more than
// maxRefusals calls in a second. The number of calls that it has is zero if unknown.
func (s *Selector) ReportBrittle(now time.Time, t *discoverer.Target, maxRefusals, calls int) {
	s.limiter.RecordBrittle(now, t.Group, maxRefusals)
	s.limiter.RecordAccepted(t, calls)
}

// ReportSound records that a target has answered and did not say that it is brittle.
func (s *Selector) ReportSound(now time.Time, t *discoverer.Target) {
	s.limiter.RecordSound(now, t.Group)
}

// Refusal is the refusal of a call by a brittle target, as instances notify each other of it.
type Refusal struct {
	Process discoverer.Process
	// Calls is the number of calls that the target had, and MaxRefusals how many calls it may refuse in a second
	// before it crashes.
	Calls, MaxRefusals int
}

// ReportRefusal records a refusal of a call of this instance or another. Processes that are not listed are ignored.
func (s *Selector) ReportRefusal(now time.Time, r *discoverer.Registry, x Refusal) {
	t, ok := r.Processes[x.Process.Key()]
	if !ok {
		return
	}

	s.limiter.RecordBrittle(now, t.Group, x.MaxRefusals)
	s.limiter.RecordRefused(now, t, x.Calls)
}

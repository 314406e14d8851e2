package forwarder

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/admitter"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/hasher"
)

const (
	// abandonFactor is the multiple of the latency objective after which callers abandon a call
	// that has not begun to answer.
	abandonFactor = 4
	// minLaneLoad is the load per slot of a group below which calls are not divided into lanes. No
	// target has more than twice the mean load, so below this value no call waits at any target,
	// and a late answer has another cause, such as a prompt that is processed for the first time.
	minLaneLoad = 0.5
	// saturatedLoad is the load per slot of a group from which calls wait at the average target.
	// Below this value no call is refused.
	saturatedLoad = 1.0
)

// admit decides whether a call is sent ahead of the calls that can no longer begin within their
// latency objective, sent behind the other calls, or refused. A lane holds the calls of one priority class, with
// those that are expected to be late in a lane of their own. Only streams are admitted by lane,
// since only their targets order waiting calls by priority; targets refuse other calls when they
// are full.
func (f *Forwarder) admit(x *exchange) error {
	if x.rule.Kind != cataloger.Stream || x.rule.Latency <= 0 {
		return nil
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()
	l := admitter.Lane{Group: x.group, Priority: x.priority}

	u := f.selector.Fullness(n, f.state.Registry(), x.group)
	if u < minLaneLoad {
		return nil
	}

	if x.ticket = f.enterLane(n, l, x, u, x.rule.Latency); x.ticket != nil {
		return nil
	}

	x.late = true
	l.Late = true

	x.ticket = f.enterLane(n, l, x, u, abandonFactor*x.rule.Latency)
	if x.ticket == nil && u >= saturatedLoad {
		return refuse(http.StatusServiceUnavailable, Overload, overloadWait, "the targets have %.1f calls for each that they run", u)
	}

	return nil
}

// enterLane admits a call to a lane and logs when the lane starts or stops refusing calls. It
// returns nil if the call is not admitted. Requires f.mu to be held.
func (f *Forwarder) enterLane(now time.Time, l admitter.Lane, x *exchange, fullness float64, within time.Duration) *admitter.Ticket {
	b := f.admitter.Share(l)
	t := f.admitter.Admit(now, l, hasher.Name(x.customer), within)

	if s := f.admitter.Share(l); (b < 1) != (s < 1) {
		logrus.WithFields(logrus.Fields{
			"event": "laneChanged", "group": l.Group, "priority": l.Priority, "late": l.Late, "share": s, "id": x.call.ID,
			"fullness": fullness,
		}).Info()
	}

	return t
}

// releaseTicket informs the admitter that a call is over.
func (f *Forwarder) releaseTicket(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.admitter.RecordEnd(x.ticket)
}

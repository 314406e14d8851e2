package quarantiner

import (
	"time"

	"github.com/auburntray/auburntray/internal/digester"
)

// trialTimeout is how long a trial is considered running if its end is not reported: the instance that
// sent the call may be gone. A call that crashes targets does so within a second.
const trialTimeout = 5 * time.Second

// Trials permits one attempt at a time of each suspected subject in the whole fleet. Otherwise a call that
// arrives at many instances at once, or many calls with a part in common, would crash a target for each of
// them, before any has notified the others. Trials are kept at the subject's home (home node), the one
// instance responsible for it. The zero value is empty. Trials is not safe for concurrent use.
type Trials struct {
	running map[digester.Digest]time.Time
}

// Begin reports whether a call with a subject may be sent now, and if so records a trial unless the subject is free.
func (t *Trials) Begin(now time.Time, v Verdict, d digester.Digest) bool {
	switch {
	case v.Status == Free:
		return true
	case v.Status == Quarantined && !v.TrialDue:
		return false
	}

	if b, ok := t.running[d]; ok && now.Sub(b) < trialTimeout {
		return false
	}

	if t.running == nil {
		t.running = make(map[digester.Digest]time.Time)
	}

	t.running[d] = now

	return true
}

// End records that a trial is over.
func (t *Trials) End(d digester.Digest) {
	delete(t.running, d)
}

// Expire removes the trials whose end was not reported in time.
func (t *Trials) Expire(now time.Time) {
	for d, b := range t.running {
		if now.Sub(b) >= trialTimeout {
			delete(t.running, d)
		}
	}
}

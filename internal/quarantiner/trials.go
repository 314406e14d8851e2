package quarantiner

import (
	"time"

	"github.com/auburntray/auburntray/internal/digester"
)

// trialMost is how long a trial counts whose end nobody told: the instance that made it may be
// gone. A call that ends targets does so within a second.
const trialMost = 5 * time.Second

// Trials lets one sending at a time go to a target of each call that is suspected, in the whole
// fleet: sent through many instances at once, before any of them has told the others, it would
// end a target for each. They are kept at the call's home. The zero value has none. It is not
// safe for concurrent use.
type Trials struct {
	running map[digester.Digest]time.Time
}

// Begin says whether a call may be sent now, and notes that it is.
func (t *Trials) Begin(now time.Time, v Verdict, d digester.Digest) bool {
	switch {
	case v.Standing == Free:
		return true
	case v.Standing == Held && !v.Due:
		return false
	}

	if b, ok := t.running[d]; ok && now.Sub(b) < trialMost {
		return false
	}

	if t.running == nil {
		t.running = make(map[digester.Digest]time.Time)
	}

	t.running[d] = now

	return true
}

// End notes that a trial is over.
func (t *Trials) End(d digester.Digest) {
	delete(t.running, d)
}

// Forget drops the trials whose end nobody told.
func (t *Trials) Forget(now time.Time) {
	for d, b := range t.running {
		if now.Sub(b) >= trialMost {
			delete(t.running, d)
		}
	}
}

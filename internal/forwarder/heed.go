package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/selector"
)

// heed takes what a target says of itself with the head of an answer, whatever becomes of the call.
func (f *Forwarder) heed(x *exchange, t *enroller.Target, p Reply) {
	// It is the word of another target, which has the address now.
	if p.Misdirected {
		return
	}

	x.reply = p
	f.report(x, t, p)

	if p.Leaving {
		f.heedLeaving(t)
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	switch n := time.Now(); {
	case p.Rest > 0:
		f.chooser.StartBackoff(n, t, p.Rest)
	case !p.NotRun:
		f.chooser.Answered(n, t)
	}
}

// takes says that a target still takes calls. While its home was asked it may have begun to leave, or
// have asked for rest, or its data centre may have been evacuated.
func (f *Forwarder) takes(t *enroller.Target) bool {
	if !f.facts.Roster().Takes(t) {
		return false
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	return !f.chooser.InBackoff(time.Now(), t)
}

// rest returns when the first target takes calls again where all that might serve a call have asked
// for rest, and zero where one has not.
func (f *Forwarder) rest(x *exchange, r *enroller.Roster) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()

	if d, ok := f.chooser.GroupBackoff(time.Now(), r, x.group, x.query(f.settings)); ok {
		return d
	}

	return 0
}

// heedLeaving takes a target's word that it leaves, and tells other instances.
//
// They would hear it from the list, which lags and may be away for longer than the target stays.
func (f *Forwarder) heedLeaving(t *enroller.Target) {
	if x := f.facts.Roster().Processes[t.Key()]; x != nil && x.Leaving {
		return
	}

	if p := t.Process(); f.facts.Leave(p) {
		f.logLeaving(p, selector.Own)
		f.leaving(p)
	}
}

// logLeaving notes that a target is left since its process said that it leaves.
func (f *Forwarder) logLeaving(p enroller.Process, s selector.Source) {
	f.meter.Left("targetLeaves", true)
	logrus.WithFields(logrus.Fields{"event": "targetLeaves", "target": p.ID, "source": s}).Info()
}

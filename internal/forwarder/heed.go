package forwarder

import (
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/chooser"
	"github.com/auburntray/auburntray/internal/enroller"
)

// heed takes what a target says of itself with the head of an answer, whatever becomes of the call.
func (f *Forwarder) heed(t *enroller.Target, p Reply) {
	// It is the word of another target, which has the address now.
	if p.Misdirected {
		return
	}

	if p.Leaving {
		f.heedLeaving(t)
	}
}

// heedLeaving takes a target's word that it leaves, and tells other instances.
//
// They would hear it from the list, which lags and may be away for longer than the target stays.
func (f *Forwarder) heedLeaving(t *enroller.Target) {
	if x := f.facts.Roster().Processes[t.Key()]; x != nil && x.Leaving {
		return
	}

	if p := t.Process(); f.facts.Leave(p) {
		logLeaving(p, chooser.Own)
		f.leaving(p)
	}
}

func logLeaving(p enroller.Process, s chooser.Source) {
	logrus.WithFields(logrus.Fields{"event": "targetLeaves", "target": p.ID, "source": s}).Info()
}

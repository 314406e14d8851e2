package replicator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// VerifyStored schedules a comparison of the stored records with those of this instance, after the store has come back
// from an older copy: it may lack records that it had acknowledged, and contain records that were deleted. Nobody but
// the instances writes them again.
func (r *Replicator) VerifyStored() {
	select {
	case r.verifyWake <- struct{}{}:
	default: // A wake-up is pending.
	}
}

// verifyLoop compares the stored records when that is scheduled, until the context ends.
//
// An instance waits one storeRetryDelay for each live instance with a lower ID, so that it finds what these have
// written. Those behind maxRank others do nothing until fewer of these are alive.
func (r *Replicator) verifyLoop(c context.Context) {
	for {
		select {
		case <-r.verifyWake:
		case <-c.Done():
			return
		}

		for waited := 0; c.Err() == nil; waited++ {
			if n := r.rank(); n <= min(waited, maxRank) && r.verify(c) == nil {
				break
			}

			sleeper.Sleep(c, storeRetryDelay)
		}
	}
}

// verify reads the stored records and schedules the update of those that differ from this instance's.
func (r *Replicator) verify(c context.Context) error {
	l, err := r.readNewest(c)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "heldCallsUnread", "error": err}).Warn()

		return err
	}

	r.load(l)

	n := r.markLost(l)
	logrus.WithFields(logrus.Fields{"event": "heldCallsVerified", "calls": len(l), "written": n}).Info()

	return nil
}

// markLost schedules the update of the stored records that differ from this instance's, and returns their number. The
// given records are already merged.
func (r *Replicator) markLost(l []watcher.Record) int {
	n := time.Now()
	stored := make(map[digester.Digest]wire.Suspect, len(l))

	for _, x := range l {
		if s, err := parse(n, x); err == nil {
			stored[digester.Digest(s.Call)] = s
		}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	for _, d := range r.quarantiner.Quarantined() {
		s, ok := stored[d]
		if !ok || !sameCrashes(r.quarantiner.RecordsOf([]digester.Digest{d}), s) {
			r.markUnsaved(d)
		}

		delete(stored, d)
	}

	for d := range stored {
		r.markUnsaved(d)
	}

	return len(r.unsaved)
}

// sameCrashes reports whether a stored record contains all crashes of a call.
func sameCrashes(l []quarantiner.Record, s wire.Suspect) bool {
	return len(l) == 1 && len(l[0].Crashes) == len(s.Crashes)
}

package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// Store stores quarantine records outside of the instances.
//
// When all instances lose power together, the records in their memory are lost. Each quarantined call would
// then crash three targets again, or more when it arrives at several instances at once.
type Store interface {
	// Newest returns the newest record of each key.
	Newest(c context.Context) ([]watcher.Record, int64, error)
	// Put writes the record of a key. Without a value it deletes the key.
	Put(c context.Context, key string, value []byte) error
}

const (
	// storeTimeout bounds a request to the store; a read may take longer while its answer arrives.
	storeTimeout = time.Second
	// storeRetryDelay is the pause after a failed request. A reader waits once more as long for each live
	// instance with a lower ID, up to maxRank of them: one instance reads and notifies the others, so that
	// not all of them send requests to a store that is unavailable.
	storeRetryDelay = time.Second
	maxRank         = 10
)

// errRecord marks a stored record that cannot be decoded.
var errRecord = errors.New("invalid record of a suspected call")

// restore reads the stored records, until it succeeds or another instance that has them has answered.
//
// It begins immediately, as the reading of the catalog and of the target list does. When it began a second
// after the start of four instances, a call that crashes targets had crashed four by then.
func (w *Replicator) restore(c context.Context) {
	for tries := 1; c.Err() == nil && !w.isSynced(); tries++ {
		l, err := w.readNewest(c)
		if err == nil {
			m := w.load(l)

			// After success at the first attempt the records are not broadcast: the other instances read
			// them as well.
			if tries > 1 {
				w.broadcaster.All(c, kinds, m)
			}

			return
		}

		logrus.WithFields(logrus.Fields{"event": "heldCallsUnread", "error": err}).Warn()
		sleeper.Sleep(c, time.Duration(1+min(w.rank(), maxRank))*storeRetryDelay)
	}
}

// rank returns the number of live instances with a lower ID.
func (w *Replicator) rank() int {
	n := 0

	for _, m := range w.members.Live() {
		if m.ID < w.members.Self().ID {
			n++
		}
	}

	return n
}

func (w *Replicator) isSynced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.synced
}

func (w *Replicator) readNewest(c context.Context) ([]watcher.Record, error) {
	x, stop := extender.New(c, extender.DefaultSettings(storeTimeout))
	defer stop()

	l, _, err := w.store.Newest(x)

	return l, err
}

// load merges the stored records and schedules the deletion of those that are older than the retention. It
// returns what the other instances should merge, also when there are no records.
func (w *Replicator) load(l []watcher.Record) *wire.Suspects {
	n := time.Now()
	m := &wire.Suspects{Synced: true}

	w.mu.Lock()

	for _, r := range l {
		s, err := parse(n, r)
		if err != nil {
			logrus.WithFields(logrus.Fields{"event": "heldCallRefused", "key": r.Key, "offset": r.Offset, "error": err}).Warn()

			continue
		}

		if time.Duration(s.LastSeenMs)*time.Millisecond >= w.retention {
			w.markUnsaved(digester.Digest(s.Call))

			continue
		}

		m.Calls = append(m.Calls, s)
	}

	w.mu.Unlock()

	w.merge(m)
	logrus.WithFields(logrus.Fields{"event": "heldCallsRead", "calls": len(m.Calls)}).Info()

	return m
}

// parse decodes a stored record and converts its ages to the present time. The clocks of instances differ,
// and a negative age counts as zero.
func parse(now time.Time, r watcher.Record) (wire.Suspect, error) {
	var h wire.QuarantineRecord
	if _, err := h.UnmarshalMsg(r.Value); err != nil {
		return wire.Suspect{}, errors.Mark(err, errRecord)
	}

	s := h.Suspect
	if r.Key != digester.Digest(s.Call).String() {
		return s, errors.Wrapf(errRecord, "it belongs to the call %v", digester.Digest(s.Call))
	}

	d := age(now, time.UnixMilli(h.WrittenMs))
	s.LastSeenMs += d

	for i := range s.Crashes {
		s.Crashes[i].AgeMs += d
	}

	return s, nil
}

// markUnsaved schedules the update of the stored record of a call. The caller holds the lock.
func (w *Replicator) markUnsaved(d digester.Digest) {
	if w.store == nil {
		return
	}

	w.unsaved[d] = true

	select {
	case w.saveWake <- struct{}{}:
	default: // A wake-up is pending.
	}
}

// save writes scheduled records until the context ends. Failed writes are repeated.
func (w *Replicator) save(c context.Context) {
	for {
		select {
		case <-w.saveWake:
		case <-c.Done():
			return
		}

		for d, ok := w.nextUnsaved(); ok && c.Err() == nil; d, ok = w.nextUnsaved() {
			if err := w.saveRecord(c, d); err != nil {
				logrus.WithFields(logrus.Fields{"event": "heldCallUnwritten", "digest": d, "error": err}).Warn()
				w.mu.Lock()
				w.unsaved[d] = true
				w.mu.Unlock()
				sleeper.Sleep(c, storeRetryDelay)
			}
		}
	}
}

func (w *Replicator) nextUnsaved() (digester.Digest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for d := range w.unsaved {
		delete(w.unsaved, d)

		return d, true
	}

	return 0, false
}

// saveRecord writes the record of a call if it is quarantined, and deletes it from the store otherwise.
func (w *Replicator) saveRecord(c context.Context, d digester.Digest) error {
	x, stop := context.WithTimeout(c, storeTimeout)
	defer stop()

	n := time.Now()

	w.mu.Lock()
	quarantined := slices.Contains(w.quarantiner.Quarantined(), d)
	m := encode(n, w.quarantiner.RecordsOf([]digester.Digest{d}))
	w.mu.Unlock()

	if !quarantined || len(m.Calls) == 0 {
		return w.store.Put(x, d.String(), nil)
	}

	b, err := (&wire.QuarantineRecord{Suspect: m.Calls[0], WrittenMs: n.UnixMilli()}).MarshalMsg(nil)
	if err != nil {
		return errors.Mark(err, errRecord)
	}

	return w.store.Put(x, d.String(), b)
}

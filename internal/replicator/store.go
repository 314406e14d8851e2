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
	Newest(c context.Context) ([]watcher.Record, watcher.Position, error)
	// Put writes the record of a key. Without a value it deletes the key.
	Put(c context.Context, key string, value []byte) error
}

const (
	// storeTimeout bounds a request to the store; a read may take longer while its answer arrives.
	storeTimeout = time.Second
	// storeRetryDelay is the pause after a failed request. An instance waits one storeRetryDelay longer for
	// each live instance with a lower ID, for at most maxRank of these: one instance reads and notifies the
	// others, so that not all of them send requests to a store that is unavailable.
	storeRetryDelay = time.Second
	maxRank         = 10
	// seedTime is how long an instance asks the seeds for the stored records before it reads the store itself, and
	// seedRetryDelay is the pause after an answer that does not have them.
	seedTime       = 500 * time.Millisecond
	seedRetryDelay = 50 * time.Millisecond
)

// errRecord marks a stored record that cannot be decoded.
var errRecord = errors.New("invalid record of a suspected call")

// restore reads the stored records, until it succeeds or another instance that has them has answered.
//
// It begins immediately, like the reading of the catalog and of the target list. When it began only a second
// after four instances had started, a call that crashes targets had crashed four targets by then. The seeds read the
// store at once, and the others ask them: each request to the store is billed, and many instances may start together.
func (r *Replicator) restore(c context.Context) {
	r.askSeeds(c)

	for tries := 1; c.Err() == nil && !r.isSynced(); tries++ {
		l, err := r.readNewest(c)
		if err == nil {
			m := r.load(l)

			// After success at the first attempt the records are not broadcast: the other instances read
			// them as well.
			if tries > 1 {
				r.broadcaster.All(c, kinds, m)
			}

			return
		}

		logrus.WithFields(logrus.Fields{"event": "heldCallsUnread", "error": err}).Warn()
		sleeper.Sleep(c, time.Duration(1+min(r.rank(), maxRank))*storeRetryDelay)
	}
}

// askSeeds asks the seeds, one after the other, until one has sent the stored records or seedTime has passed. A seed asks
// none.
func (r *Replicator) askSeeds(c context.Context) {
	l := r.members.Seeds()
	if len(l) == 0 || slices.Contains(l, r.members.Self().Address) {
		return
	}

	x, stop := context.WithTimeout(c, seedTime)
	defer stop()

	for n := r.members.Self().ID; x.Err() == nil && !r.isSynced(); n++ {
		var p wire.Suspects

		err := r.messenger.Call(x, l[n%uint64(len(l))], wire.KindSuspectsRequest, &wire.SuspectsRequest{}, &p)
		if err == nil {
			r.merge(&p)
		}

		if !r.isSynced() {
			sleeper.Sleep(x, seedRetryDelay)
		}
	}
}

// rank returns the number of live instances with a lower ID.
func (r *Replicator) rank() int {
	n := 0

	for _, m := range r.members.Live() {
		if m.ID < r.members.Self().ID {
			n++
		}
	}

	return n
}

func (r *Replicator) isSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.synced
}

func (r *Replicator) readNewest(c context.Context) ([]watcher.Record, error) {
	x, stop := extender.New(c, extender.DefaultSettings(storeTimeout))
	defer stop()

	l, _, err := r.store.Newest(x)

	return l, err
}

// load merges the stored records and schedules the deletion of those that are older than the retention. It
// returns the message for the other instances, which is not nil even if there are no records.
func (r *Replicator) load(l []watcher.Record) *wire.Suspects {
	n := time.Now()
	m := &wire.Suspects{Synced: true}

	r.mu.Lock()

	for _, x := range l {
		s, err := parse(n, x)
		if err != nil {
			logrus.WithFields(logrus.Fields{"event": "heldCallRefused", "key": x.Key, "offset": x.Offset, "error": err}).Warn()

			continue
		}

		if time.Duration(s.LastSeenMs)*time.Millisecond >= r.retention {
			r.markUnsaved(digester.Digest(s.Call))

			continue
		}

		m.Calls = append(m.Calls, s)
	}

	r.mu.Unlock()

	r.merge(m)
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

	d := ageMs(now, time.UnixMilli(h.WrittenMs))
	s.LastSeenMs = addAges(s.LastSeenMs, d)

	for i := range s.Crashes {
		s.Crashes[i].AgeMs = addAges(s.Crashes[i].AgeMs, d)
	}

	return s, nil
}

// markUnsaved schedules the update of the stored record of a call. The caller holds the lock.
func (r *Replicator) markUnsaved(d digester.Digest) {
	if r.store == nil {
		return
	}

	r.unsaved[d] = true

	select {
	case r.saveWake <- struct{}{}:
	default: // A wake-up is pending.
	}
}

// saveLoop writes scheduled records until the context ends. Failed writes are repeated.
func (r *Replicator) saveLoop(c context.Context) {
	for {
		select {
		case <-r.saveWake:
		case <-c.Done():
			return
		}

		for d, ok := r.nextUnsaved(); ok && c.Err() == nil; d, ok = r.nextUnsaved() {
			if err := r.saveRecord(c, d); err != nil {
				logrus.WithFields(logrus.Fields{"event": "heldCallUnwritten", "digest": d, "error": err}).Warn()
				r.mu.Lock()
				r.unsaved[d] = true
				r.mu.Unlock()
				sleeper.Sleep(c, storeRetryDelay)
			}
		}
	}
}

func (r *Replicator) nextUnsaved() (digester.Digest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for d := range r.unsaved {
		delete(r.unsaved, d)

		return d, true
	}

	return 0, false
}

// saveRecord writes the record of a call if it is quarantined, and deletes it from the store otherwise.
func (r *Replicator) saveRecord(c context.Context, d digester.Digest) error {
	x, stop := context.WithTimeout(c, storeTimeout)
	defer stop()

	n := time.Now()

	r.mu.Lock()
	quarantined := slices.Contains(r.quarantiner.Quarantined(), d)
	m := encode(n, r.quarantiner.RecordsOf([]digester.Digest{d}))
	r.mu.Unlock()

	if !quarantined || len(m.Calls) == 0 {
		return r.store.Put(x, d.String(), nil)
	}

	b, err := (&wire.QuarantineRecord{Suspect: m.Calls[0], WrittenMs: n.UnixMilli()}).MarshalMsg(nil)
	if err != nil {
		return errors.Mark(err, errRecord)
	}

	return r.store.Put(x, d.String(), b)
}

// Package replicator replicates the records of calls under which targets have crashed to all instances.
//
// New records are broadcast at once, since the same call may be on its way through another instance
// already. In addition each instance exchanges records with two others a second, in random order until all
// have been contacted. So instances that missed a broadcast, have just started, were stalled or were cut
// off have the same records within seconds. Records of quarantined calls are also written to a store
// outside of the instances, in case all instances are lost.
package replicator

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/broadcaster"
	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// batchDelay is how long new records are collected into one message: the calls affected by a crash are
	// found within milliseconds of each other.
	batchDelay = 10 * time.Millisecond
	// syncInterval is the interval between two exchanges. Six instances have all exchanged records after
	// 2.5 s; the required bound is 3 s.
	syncInterval = 500 * time.Millisecond
	// fullSyncInterval is the interval while instances have more records than a message holds and receive the
	// same ones again: about 12 KB for each exchange, where 9 KB a second are allowed for all control
	// traffic.
	fullSyncInterval = 5 * time.Second
	// initialSyncInterval is the interval until the first exchange has succeeded.
	initialSyncInterval = 50 * time.Millisecond
	// maxRecords bounds the records in a message, and so its size to some kilobytes. Quarantined calls come
	// first.
	maxRecords = 64
	// expireInterval is the interval between removals of expired records.
	expireInterval = time.Minute
)

// kinds are the message kinds of broadcasts.
var kinds = broadcaster.Kinds{Direct: wire.KindSuspects, Relay: wire.KindSuspectsRelay} //nolint:gochecknoglobals // A constant.

// Replicator holds the records of this instance and replicates them. It is safe for concurrent use.
type Replicator struct {
	messenger   Messenger
	members     broadcaster.Members
	broadcaster *broadcaster.Broadcaster
	store       Store
	retention   time.Duration

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// trials are the trials of the calls whose home (home node) is this instance.
	trials quarantiner.Trials
	// pending are the calls whose records have changed since the last broadcast; wake has an element when
	// there are any.
	pending map[digester.Digest]bool
	wake    chan struct{}
	// unsaved and saveWake are the same for the store.
	unsaved  map[digester.Digest]bool
	saveWake chan struct{}
	// synced reports whether the calls quarantined before the start of this instance are known.
	synced bool
	// counts are the crashes and cleared calls of this instance.
	counts Counts
	// onCrashes is called with the crashes reported by other instances.
	onCrashes func(l []quarantiner.Crash)

	// order holds the IDs of the instances still to be contacted in this round. It is accessed only by the
	// goroutine of syncLoop.
	order []uint64
}

// Counts are the numbers of suspected calls, and of the events on this instance that concern them.
type Counts struct {
	// The numbers of calls that are suspected and quarantined now.
	Suspected, Quarantined int
	// The number of crashes that this instance detected, one for each call that was running, and the number
	// of suspected calls that it served.
	Crashes, Cleared int
}

// New returns a replicator without records. With a nil store, records are lost when all instances are.
func New(m Messenger, x broadcaster.Members, h Store, s quarantiner.Settings) *Replicator {
	return &Replicator{
		messenger: m, members: x, broadcaster: broadcaster.New(m, x), store: h, retention: s.Retention, quarantiner: quarantiner.New(s),
		pending: make(map[digester.Digest]bool), wake: make(chan struct{}, 1),
		unsaved: make(map[digester.Digest]bool), saveWake: make(chan struct{}, 1), synced: h == nil,
		onCrashes: func([]quarantiner.Crash) {},
	}
}

// OnCrashes sets a function that is called with the crashes reported by other instances, once for each report.
// It must be called before the first call is served.
func (w *Replicator) OnCrashes(f func(l []quarantiner.Crash)) {
	w.onCrashes = f
}

// Check returns the verdict on a call that has arrived, or is about to be sent again.
func (w *Replicator) Check(d digester.Digest) quarantiner.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.quarantiner.Check(time.Now(), d)
}

// RecordCrash records that the process of a target crashed while a call was running there, and notifies the other
// instances. It returns the verdict on further transmissions of the call.
func (w *Replicator) RecordCrash(d digester.Digest, p discoverer.Name) quarantiner.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()

	v, added := w.quarantiner.RecordCrash(time.Now(), d, p)
	if added {
		w.counts.Crashes++
		w.markPending(d)
	}

	if added && v.Status == quarantiner.Quarantined {
		w.markUnsaved(d)
		logrus.WithFields(logrus.Fields{"event": "callHeldBack", "digest": d, "source": "own", "ends": v.Crashes}).Warn()
	}

	return v
}

// RecordServed records that a call was answered in full, and notifies the other instances if it was suspected.
func (w *Replicator) RecordServed(d digester.Digest) {
	if !w.clearCrashes(d) {
		return
	}

	w.mu.Lock()
	w.counts.Cleared++
	w.mu.Unlock()

	logrus.WithFields(logrus.Fields{"event": "callExcused", "digest": d}).Info()
}

// clearCrashes clears the known crashes of a call and notifies the other instances. It reports whether
// there were any.
func (w *Replicator) clearCrashes(d digester.Digest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	quarantined := w.quarantiner.Check(time.Now(), d).Status == quarantiner.Quarantined
	if !w.quarantiner.RecordServed(d) {
		return false
	}

	if quarantined {
		w.markUnsaved(d)
	}

	w.markPending(d)

	return true
}

// Counts returns the present counts.
func (w *Replicator) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()

	o := w.counts
	o.Suspected, o.Quarantined = w.quarantiner.Count()

	return o
}

// markPending schedules the broadcast of the record of a call. The caller holds the lock.
func (w *Replicator) markPending(d digester.Digest) {
	w.pending[d] = true

	select {
	case w.wake <- struct{}{}:
	default: // A wake-up is pending.
	}
}

// Run replicates records until the context ends.
func (w *Replicator) Run(c context.Context) {
	var g sync.WaitGroup

	g.Go(func() { w.broadcast(c) })
	g.Go(func() { w.syncLoop(c) })
	g.Go(func() { w.expireLoop(c) })

	if w.store != nil {
		g.Go(func() { w.restore(c) })
		g.Go(func() { w.save(c) })
	}

	g.Wait()
}

// broadcast sends changed records to the other instances.
func (w *Replicator) broadcast(c context.Context) {
	for {
		select {
		case <-w.wake:
		case <-c.Done():
			return
		}

		sleeper.Sleep(c, batchDelay)

		if m := w.takePending(); len(m.Calls) > 0 {
			w.broadcaster.All(c, kinds, m)
		}
	}
}

// takePending returns the records to be broadcast, at most maxRecords, and removes them from the pending
// ones.
func (w *Replicator) takePending() *wire.Suspects {
	w.mu.Lock()
	defer w.mu.Unlock()

	var l []digester.Digest

	for d := range w.pending {
		if len(l) == maxRecords {
			w.markPending(d) // The remainder follows in the next message.

			break
		}

		l = append(l, d)
		delete(w.pending, d)
	}

	return encode(time.Now(), w.quarantiner.RecordsOf(l))
}

// syncLoop exchanges records with one other instance after the other.
func (w *Replicator) syncLoop(c context.Context) {
	d := initialSyncInterval

	for c.Err() == nil {
		if m, ok := w.next(); ok {
			if next, answered := w.syncWith(c, m); answered {
				d = next
			}
		}

		sleeper.Sleep(c, d)
	}
}

// next returns the instance to exchange records with next. After each round the order is drawn anew.
func (w *Replicator) next() (gossiper.Member, bool) {
	l := make(map[uint64]gossiper.Member)

	for _, m := range w.members.Live() {
		if m.ID != w.members.Self().ID {
			l[m.ID] = m
		}
	}

	w.order = slices.DeleteFunc(w.order, func(id uint64) bool { _, ok := l[id]; return !ok })

	if len(w.order) == 0 {
		// The iteration order of a map is random, but not uniformly distributed.
		w.order = slices.Collect(maps.Keys(l))
		rand.Shuffle(len(w.order), func(a, b int) { w.order[a], w.order[b] = w.order[b], w.order[a] }) //nolint:gosec // Distributes work.
	}

	if len(w.order) == 0 {
		return gossiper.Member{}, false
	}

	m := l[w.order[0]]
	w.order = w.order[1:]

	return m, true
}

func (w *Replicator) expireLoop(c context.Context) {
	for c.Err() == nil {
		sleeper.Sleep(c, expireInterval)
		w.mu.Lock()
		w.quarantiner.Expire(time.Now())
		w.trials.Expire(time.Now())
		w.mu.Unlock()
	}
}

// merge merges the records of another instance and reports whether any of them was new.
func (w *Replicator) merge(m *wire.Suspects) bool {
	r := decode(time.Now(), m)

	w.mu.Lock()
	w.synced = w.synced || m.Synced
	l, changed := w.quarantiner.Merge(time.Now(), r)
	w.mu.Unlock()

	for _, x := range r {
		w.onCrashes(x.Crashes)
	}

	for _, d := range l {
		logrus.WithFields(logrus.Fields{"event": "callHeldBack", "digest": d, "source": "peer"}).Warn()
	}

	return changed
}

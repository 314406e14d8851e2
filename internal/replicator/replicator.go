// Package replicator replicates records of suspected calls and parts of prompts to all instances. These are
// suspected if targets have crashed while they ran the call, or calls with the part.
//
// New records are broadcast at once, since the same call may be in transit through another instance
// already. In addition each instance exchanges records with two of its neighbors a second, in random order until
// all have been contacted. So instances that missed a broadcast, have just started, were stalled or were
// partitioned have the same records within seconds. Records of quarantined calls are also written to a store
// outside of the instances, in case all instances are lost.
package replicator

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
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
	// batchDelay is how long new records are collected into one message: when a target crashes, the calls that
	// ran there fail within milliseconds of each other.
	batchDelay = 10 * time.Millisecond
	// syncInterval is the interval between two exchanges. Six instances have all exchanged records after
	// 2.5 s; the required bound is 3 s.
	syncInterval = 500 * time.Millisecond
	// fullSyncInterval is the interval between two exchanges while an instance has more records than a message
	// holds and its last response contained nothing new. Such an exchange takes about 12 KB, and all control
	// traffic may take 9 KB a second.
	fullSyncInterval = 5 * time.Second
	// initialSyncInterval is the interval between two attempts until the first exchange has succeeded.
	initialSyncInterval = 50 * time.Millisecond
	// firstSyncTimeout is how long after the start calls wait for the first exchange at most.
	firstSyncTimeout = 300 * time.Millisecond
	// maxRecords bounds the records in a message, and so its size to a few kilobytes. Quarantined calls come
	// first.
	maxRecords = 64
	// expireInterval is the interval between removals of expired records.
	expireInterval = time.Minute
	// vouchSpread is the time over which instances that have served a suspected subject say so. Once one has said it, the
	// others need not.
	vouchSpread = 100 * time.Millisecond
)

// kinds are the message kinds of broadcasts.
var kinds = broadcaster.Kinds{Direct: wire.KindSuspects, Relay: wire.KindSuspectsRelay} //nolint:gochecknoglobals // A constant.

// Members lists the live instances and identifies this one.
type Members interface {
	broadcaster.Members
	// Neighbors returns the few instances with which this one exchanges records.
	Neighbors() []gossiper.Member
	// Seeds returns the addresses of a few instances that are known from the start.
	Seeds() []netip.AddrPort
}

// Replicator holds the records of this instance and replicates them. It is safe for concurrent use.
type Replicator struct {
	messenger   Messenger
	members     Members
	broadcaster *broadcaster.Broadcaster
	store       Store
	retention   time.Duration

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// trials are the trials of the subjects whose home (home node) is this instance.
	trials quarantiner.Trials
	// pending are the subjects whose records have changed since the last broadcast; wake has an element when
	// there are any.
	pending map[digester.Digest]bool
	wake    chan struct{}
	// vouched are the subjects that this instance has served before crashes that others have reported, as long as it has
	// not said so.
	vouched map[digester.Digest]bool
	// unsaved are the subjects whose records in the store must be updated; saveWake has an element when there
	// are any.
	unsaved  map[digester.Digest]bool
	saveWake chan struct{}
	// verifyWake has an element when the store may have lost records.
	verifyWake chan struct{}
	// synced reports whether the subjects quarantined before the start of this instance are known.
	synced bool
	// started is when this instance has started, and exchanged is closed after the first exchange with another.
	started   time.Time
	exchanged chan struct{}
	// counts are the crashes and cleared subjects of this instance.
	counts Counts
	// onCrashes is called with the crashes reported by other instances.
	onCrashes func(l []quarantiner.Occurrence)

	// uncontacted holds the IDs of the instances still to be contacted in this round. It is accessed only by the
	// goroutine of syncLoop.
	uncontacted []uint64
}

// Counts are the numbers of suspected subjects, and of the events on this instance that concern them.
type Counts struct {
	// The numbers of subjects that are suspected and quarantined now.
	Suspected, Quarantined int
	// The number of crashes that this instance detected, one for each subject that was running, and the number
	// of suspected subjects that it served.
	Crashes, Cleared int
}

// New returns a replicator without records. With a nil store, the records are lost when all instances fail.
func New(m Messenger, x Members, h Store, s quarantiner.Settings) *Replicator {
	return &Replicator{
		messenger: m, members: x, broadcaster: broadcaster.New(m, x), store: h, retention: s.Retention, quarantiner: quarantiner.New(s),
		pending: make(map[digester.Digest]bool), wake: make(chan struct{}, 1), vouched: make(map[digester.Digest]bool),
		unsaved: make(map[digester.Digest]bool), saveWake: make(chan struct{}, 1), verifyWake: make(chan struct{}, 1), synced: h == nil,
		started: time.Now(), exchanged: make(chan struct{}), onCrashes: func([]quarantiner.Occurrence) {},
	}
}

// OnCrashes sets a function that is called with the crashes reported by other instances, once for each report.
// It must be called before the first call is served.
func (r *Replicator) OnCrashes(f func(l []quarantiner.Occurrence)) {
	r.onCrashes = f
}

// Check returns the verdict on a subject that has arrived, or is about to be sent again.
func (r *Replicator) Check(d digester.Digest) quarantiner.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.quarantiner.Check(time.Now(), d)
}

// CauseOf returns the quarantined part that explains the crash of a process, or zero.
func (r *Replicator) CauseOf(p discoverer.Name) digester.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.quarantiner.CauseOf(p)
}

// RecordCrash records that the process of a target crashed while a call was running there, and notifies the other
// instances. The subjects are the call and the parts of its prompt. It returns the verdict on
// further transmissions of the call: that on the most suspicious subject.
func (r *Replicator) RecordCrash(subjects []digester.Digest, p discoverer.Name) quarantiner.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()

	var (
		o        quarantiner.Verdict
		repeated bool
	)

	for _, d := range subjects {
		v := r.recordCrash(d, p)
		repeated = repeated || v.Repeated

		if o.Subject == 0 || v.Status > o.Status {
			o = v
		}
	}

	o.Repeated = repeated

	return o
}

// recordCrash is RecordCrash for one subject. The caller holds the lock.
func (r *Replicator) recordCrash(d digester.Digest, p discoverer.Name) quarantiner.Verdict {
	v, added := r.quarantiner.RecordCrash(time.Now(), d, p)
	if added {
		r.counts.Crashes++
		r.markPending(d)
	}

	if added && v.Status == quarantiner.Quarantined {
		r.markUnsaved(d)
		logrus.WithFields(logrus.Fields{"event": "callHeldBack", "digest": d, "source": "own", "ends": v.Crashes}).Warn()
	}

	return v
}

// RecordServed records that a call with the given subjects was answered in full, and notifies the other instances of those that
// were suspected.
func (r *Replicator) RecordServed(subjects []digester.Digest) {
	for _, d := range subjects {
		if !r.clearCrashes(d) {
			continue
		}

		r.mu.Lock()
		r.counts.Cleared++
		r.mu.Unlock()

		logrus.WithFields(logrus.Fields{"event": "callExcused", "digest": d}).Info()
	}
}

// clearCrashes clears the known crashes of a subject and notifies the other instances. It reports whether
// there were any.
func (r *Replicator) clearCrashes(d digester.Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	quarantined := r.quarantiner.Check(time.Now(), d).Status == quarantiner.Quarantined
	if !r.quarantiner.RecordServed(d) {
		return false
	}

	if quarantined {
		r.markUnsaved(d)
	}

	r.markPending(d)

	return true
}

// Counts returns the present counts.
func (r *Replicator) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()

	o := r.counts
	o.Suspected, o.Quarantined = r.quarantiner.Count()

	return o
}

// markPending schedules the broadcast of the record of a subject. The caller holds the lock.
func (r *Replicator) markPending(d digester.Digest) {
	r.pending[d] = true

	select {
	case r.wake <- struct{}{}:
	default: // A wake-up is pending.
	}
}

// Run replicates records until the context ends.
func (r *Replicator) Run(c context.Context) {
	var g sync.WaitGroup

	g.Go(func() { r.broadcastLoop(c) })
	g.Go(func() { r.syncLoop(c) })
	g.Go(func() { r.expireLoop(c) })

	if r.store != nil {
		g.Go(func() { r.restore(c) })
		g.Go(func() { r.saveLoop(c) })
		g.Go(func() { r.verifyLoop(c) })
	}

	g.Wait()
}

// broadcastLoop sends changed records to the other instances.
func (r *Replicator) broadcastLoop(c context.Context) {
	for {
		select {
		case <-r.wake:
		case <-c.Done():
			return
		}

		sleeper.Sleep(c, batchDelay)

		if m := r.takePending(); len(m.Calls) > 0 {
			r.broadcaster.All(c, kinds, m)
		}
	}
}

// takePending returns the records to be broadcast, at most maxRecords, and removes them from the pending
// ones.
func (r *Replicator) takePending() *wire.Suspects {
	r.mu.Lock()
	defer r.mu.Unlock()

	var l []digester.Digest

	for d := range r.pending {
		if len(l) == maxRecords {
			r.markPending(d) // The remainder follows in the next message.

			break
		}

		l = append(l, d)
		delete(r.pending, d)
	}

	return encode(time.Now(), r.quarantiner.RecordsOf(l))
}

// syncLoop exchanges records with the other instances, one at a time.
func (r *Replicator) syncLoop(c context.Context) {
	d := initialSyncInterval
	exchanged := sync.OnceFunc(func() { close(r.exchanged) })

	for c.Err() == nil {
		if m, ok := r.nextPeer(); ok {
			if next, answered := r.syncWith(c, m); answered {
				d = next

				exchanged()
			}
		}

		sleeper.Sleep(c, d)
	}
}

// nextPeer returns the instance to exchange records with next. After each round the order is shuffled again.
func (r *Replicator) nextPeer() (gossiper.Member, bool) {
	l := make(map[uint64]gossiper.Member)

	for _, m := range r.members.Neighbors() {
		l[m.ID] = m
	}

	r.uncontacted = slices.DeleteFunc(r.uncontacted, func(id uint64) bool { _, ok := l[id]; return !ok })

	if len(r.uncontacted) == 0 {
		// The iteration order of a map is random, but not uniformly distributed.
		r.uncontacted = slices.Collect(maps.Keys(l))
		rand.Shuffle(len(r.uncontacted), func(a, b int) { r.uncontacted[a], r.uncontacted[b] = r.uncontacted[b], r.uncontacted[a] }) //nolint:gosec // Distributes work.
	}

	if len(r.uncontacted) == 0 {
		return gossiper.Member{}, false
	}

	m := l[r.uncontacted[0]]
	r.uncontacted = r.uncontacted[1:]

	return m, true
}

func (r *Replicator) expireLoop(c context.Context) {
	for c.Err() == nil {
		sleeper.Sleep(c, expireInterval)
		r.mu.Lock()
		r.quarantiner.Expire(time.Now())
		r.trials.Expire(time.Now())
		r.mu.Unlock()
	}
}

// merge merges the records of another instance and reports whether any of them was new.
func (r *Replicator) merge(m *wire.Suspects) bool {
	p := decode(time.Now(), m)

	r.mu.Lock()
	r.synced = r.synced || m.Synced
	l, changed := r.quarantiner.Merge(time.Now(), p)
	o := make([][]quarantiner.Occurrence, len(p))

	for i, x := range p {
		o[i] = r.quarantiner.Occurrences(x)

		r.vouch(x.Subject)
	}

	r.mu.Unlock()

	for _, x := range o {
		r.onCrashes(x)
	}

	for _, d := range l {
		logrus.WithFields(logrus.Fields{"event": "callHeldBack", "digest": d, "source": "peer"}).Warn()
	}

	return changed
}

// vouch schedules the message that this instance has served a subject before crashes that another one has reported. The caller
// holds the lock.
func (r *Replicator) vouch(d digester.Digest) {
	if !r.quarantiner.Vouch(d) {
		return
	}

	r.vouched[d] = true

	time.AfterFunc(rand.N(vouchSpread), func() { //nolint:gosec // Distributes messages.
		r.mu.Lock()
		defer r.mu.Unlock()

		if r.vouched[d] {
			delete(r.vouched, d)
			r.markPending(d)
		}
	})
}

// cancelVouches cancels the messages that this instance has served subjects before, for those of which another instance has told
// all.
func (r *Replicator) cancelVouches(m *wire.Suspects) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, s := range m.Calls {
		if slices.ContainsFunc(s.Crashes, func(e wire.SuspectCrash) bool { return e.ServedBefore }) {
			delete(r.vouched, digester.Digest(s.Call))
		}
	}
}

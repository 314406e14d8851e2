// Package warner keeps what this instance and the others know of calls under which targets
// have ended, and tells the others.
//
// What is new is told to all at once: the same call may be on its way through another
// instance already. And each instance asks two others a second, all in turn, for what it lacks,
// and tells them what they lack. So those that were not reached, that have just started, stood
// still or were cut off know the same within seconds. The calls that are held back are written
// to a shelf outside of the instances, for the case that all of them are lost.
package warner

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/spreader"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// gather is how long what is new is gathered into one message: the calls of a target
	// that ended are found within milliseconds of each other.
	gather = 10 * time.Millisecond
	// askEvery is the time between two askings. Six instances have met each other after
	// 2.5 s; the users' bound is three.
	askEvery = 500 * time.Millisecond
	// askFullEvery is the same while instances know of more calls than a message holds and
	// tell each other the same again: some 12 KB each time, of 9 KB a second for all control.
	askFullEvery = 5 * time.Second
	// firstEvery is the same for one that has not been answered yet.
	firstEvery = 50 * time.Millisecond
	// mostTold bounds a message, to some kilobytes. The calls that are held back come first.
	mostTold = 64
	// forgetEvery is how late a call that has not come for long is forgotten.
	forgetEvery = time.Minute
)

// kinds are those of what is told at once.
var kinds = spreader.Kinds{Direct: wire.KindSuspects, Relay: wire.KindSuspectsRelay} //nolint:gochecknoglobals // A constant.

// Warner knows, tells and is told. It is safe for concurrent use.
type Warner struct {
	messenger Messenger
	members   spreader.Members
	spreader  *spreader.Spreader
	shelf     Shelf
	keep      time.Duration

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// trials are those of the calls whose home this instance is.
	trials quarantiner.Trials
	// untold are the calls of which something is new; wake has an element when there are any.
	untold map[digester.Digest]bool
	wake   chan struct{}
	// unshelved and shelveWake are the same for the shelf.
	unshelved  map[digester.Digest]bool
	shelveWake chan struct{}
	// informed says that what was held back before this instance started is known.
	informed bool
	// counts are the decisions of this instance.
	counts Counts
	// ends is called with the ends that other instances tell of.
	ends func(l []quarantiner.Crash)

	// turn are the instances that are asked next. Only ask uses it.
	turn []uint64
}

// Counts are how many calls are known under which targets ended, and how many decisions this
// instance made on them.
type Counts struct {
	// Suspected and Held are the calls that are so now.
	Suspected, Held int
	// Ends is how many ends this instance found, each under one call, and Excused how many
	// calls it served that had been suspected.
	Ends, Excused int
}

// New returns a Warner that knows of no call. Without a shelf nothing outlasts the instances.
func New(m Messenger, x spreader.Members, h Shelf, s quarantiner.Settings) *Warner {
	return &Warner{
		messenger: m, members: x, spreader: spreader.New(m, x), shelf: h, keep: s.Retention, quarantiner: quarantiner.New(s),
		untold: make(map[digester.Digest]bool), wake: make(chan struct{}, 1),
		unshelved: make(map[digester.Digest]bool), shelveWake: make(chan struct{}, 1), informed: h == nil,
		ends: func([]quarantiner.Crash) {},
	}
}

// OnEnds sets what is called with the ends of targets that other instances tell of, each of them
// as often as it is told. It is set before the first call comes.
func (w *Warner) OnEnds(f func(l []quarantiner.Crash)) {
	w.ends = f
}

// Come returns what a call may do that has come, or is to be sent once more.
func (w *Warner) Come(d digester.Digest) quarantiner.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.quarantiner.Check(time.Now(), d)
}

// Ended takes that a target's process ended while a call was in flight there, and tells the
// others. It returns what the call may do from now on.
func (w *Warner) Ended(d digester.Digest, p discoverer.Name) quarantiner.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()

	v, added := w.quarantiner.RecordCrash(time.Now(), d, p)
	if added {
		w.counts.Ends++
		w.tellLater(d)
	}

	if added && v.Status == quarantiner.Quarantined {
		w.shelveLater(d)
		logrus.WithFields(logrus.Fields{"event": "callHeldBack", "digest": d, "source": "own", "ends": v.Crashes}).Warn()
	}

	return v
}

// Served takes that a call was answered in full, and tells the others when it was suspected.
func (w *Warner) Served(d digester.Digest) {
	if !w.excuse(d) {
		return
	}

	w.mu.Lock()
	w.counts.Excused++
	w.mu.Unlock()

	logrus.WithFields(logrus.Fields{"event": "callExcused", "digest": d}).Info()
}

// excuse lets no end that is known count against a call, tells the others, and says whether
// there was any.
func (w *Warner) excuse(d digester.Digest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	held := w.quarantiner.Check(time.Now(), d).Status == quarantiner.Quarantined
	if !w.quarantiner.RecordServed(d) {
		return false
	}

	if held {
		w.shelveLater(d)
	}

	w.tellLater(d)

	return true
}

// Counts returns the counts of now.
func (w *Warner) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()

	o := w.counts
	o.Suspected, o.Held = w.quarantiner.Count()

	return o
}

// tellLater notes that something is new of a call. The lock is held.
func (w *Warner) tellLater(d digester.Digest) {
	w.untold[d] = true

	select {
	case w.wake <- struct{}{}:
	default: // It is awake.
	}
}

// Run tells and asks the others until the context ends.
func (w *Warner) Run(c context.Context) {
	var g sync.WaitGroup

	g.Go(func() { w.tell(c) })
	g.Go(func() { w.ask(c) })
	g.Go(func() { w.forget(c) })

	if w.shelf != nil {
		g.Go(func() { w.read(c) })
		g.Go(func() { w.shelve(c) })
	}

	g.Wait()
}

// tell tells the others what is new.
func (w *Warner) tell(c context.Context) {
	for {
		select {
		case <-w.wake:
		case <-c.Done():
			return
		}

		sleeper.Sleep(c, gather)

		if m := w.news(); len(m.Calls) > 0 {
			w.spreader.All(c, kinds, m)
		}
	}
}

// news returns what is new and has not been told.
func (w *Warner) news() *wire.Suspects {
	w.mu.Lock()
	defer w.mu.Unlock()

	var l []digester.Digest

	for d := range w.untold {
		if len(l) == mostTold {
			w.tellLater(d) // The rest follows.

			break
		}

		l = append(l, d)
		delete(w.untold, d)
	}

	return encode(time.Now(), w.quarantiner.RecordsOf(l))
}

// ask asks the other instances in turn.
func (w *Warner) ask(c context.Context) {
	d := firstEvery

	for c.Err() == nil {
		if m, ok := w.next(); ok {
			if next, answered := w.askOne(c, m); answered {
				d = next
			}
		}

		sleeper.Sleep(c, d)
	}
}

// next returns the instance that is asked next. When all had their turn, a new order is drawn.
func (w *Warner) next() (gossiper.Member, bool) {
	l := make(map[uint64]gossiper.Member)

	for _, m := range w.members.Live() {
		if m.ID != w.members.Self().ID {
			l[m.ID] = m
		}
	}

	w.turn = slices.DeleteFunc(w.turn, func(id uint64) bool { _, ok := l[id]; return !ok })

	if len(w.turn) == 0 {
		// The order of a map is drawn anew by each walk, but not evenly.
		w.turn = slices.Collect(maps.Keys(l))
		rand.Shuffle(len(w.turn), func(a, b int) { w.turn[a], w.turn[b] = w.turn[b], w.turn[a] }) //nolint:gosec // Spreads work.
	}

	if len(w.turn) == 0 {
		return gossiper.Member{}, false
	}

	m := l[w.turn[0]]
	w.turn = w.turn[1:]

	return m, true
}

func (w *Warner) forget(c context.Context) {
	for c.Err() == nil {
		sleeper.Sleep(c, forgetEvery)
		w.mu.Lock()
		w.quarantiner.Expire(time.Now())
		w.trials.Expire(time.Now())
		w.mu.Unlock()
	}
}

// learn joins what another instance told, and says whether any of it was new.
func (w *Warner) learn(m *wire.Suspects) bool {
	r := decode(time.Now(), m)

	w.mu.Lock()
	w.informed = w.informed || m.Informed
	l, changed := w.quarantiner.Merge(time.Now(), r)
	w.mu.Unlock()

	for _, x := range r {
		w.ends(x.Crashes)
	}

	for _, d := range l {
		logrus.WithFields(logrus.Fields{"event": "callHeldBack", "digest": d, "source": "peer"}).Warn()
	}

	return changed
}

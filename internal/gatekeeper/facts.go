package gatekeeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/evacuator"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/watcher"
)

// facts holds what is known of the world. It is safe for concurrent use.
type facts struct {
	catalog atomic.Pointer[cataloger.Catalog]
	roster  atomic.Pointer[enroller.Roster]
	// known is closed when there is a catalog and the list of targets was read.
	known   chan struct{}
	dropped func(r *enroller.Roster)
	// instances is how many share the retry budget.
	instances func() int
	// detector notices when this process stands still.
	detector *detector.Detector
	// heard is when the platform last confirmed the catalog.
	heard func() time.Time
	// within is the time within which changes are in force everywhere.
	within time.Duration

	mu        sync.Mutex
	enroller  *enroller.Enroller
	evacuator *evacuator.Evacuator
	// listed says that the list of targets was read.
	listed bool
	// whole, named and evacuated are the list, the catalog and the evacuations that the roster
	// was made from.
	whole     *enroller.Roster
	named     *cataloger.Catalog
	evacuated *evacuator.State
	// learn closes known.
	learn sync.Once
}

var _ forwarder.ClusterState = (*facts)(nil)

func newFacts() *facts {
	f := &facts{
		within:   DefaultWithin,
		enroller: enroller.New(enroller.DefaultSettings()), evacuator: evacuator.New(), known: make(chan struct{}), detector: detector.New(time.Now()),
	}
	f.roster.Store(f.enroller.Roster())

	return f
}

// Catalog is part of forwarder.Facts.
func (f *facts) Catalog() *cataloger.Catalog { return f.catalog.Load() }

// Synced is part of forwarder.Facts.
func (f *facts) Synced() <-chan struct{} { return f.known }

// Registry is part of forwarder.Facts.
func (f *facts) Registry() *enroller.Roster { return f.roster.Load() }

// version returns the version of the catalog in force; zero means none.
func (f *facts) version() uint64 {
	c := f.catalog.Load()
	if c == nil {
		return 0
	}

	return c.Version
}

// Instances is part of forwarder.Facts.
func (f *facts) Instances() int { return f.instances() }

// freshPart is how long after the platform confirmed the catalog an instance takes its own word for
// it that a rule or a key is not there, as a part of the time within which changes are in force.
const freshPart = 0.95

// Fresh is part of forwarder.Facts.
func (f *facts) Fresh() bool {
	return time.Since(f.heard()) < time.Duration(freshPart*float64(f.within))
}

// Stalled is part of forwarder.Facts.
func (f *facts) Stalled(since time.Time) bool { return f.detector.Stalled(time.Now(), since) }

// tick notes that this process runs.
func (f *facts) tick() {
	if g := f.detector.Tick(time.Now()); g > 0 {
		logrus.WithFields(logrus.Fields{"event": "stalled", "gap": g.Round(time.Millisecond)}).Warn()
	}
}

// enforce takes a catalog unless it is older than the one in force: reads may be
// answered from an older state, and a version that callers have seen the effect
// of never steps back.
//
// The line tells the record that it came with: its length tells how long it took the link.
func (f *facts) enforce(c *cataloger.Catalog, r watcher.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()

	o := f.catalog.Load()
	if o != nil && o.Version >= c.Version {
		return
	}

	f.catalog.Store(c)
	f.publish()
	f.learned()
	logrus.WithFields(logrus.Fields{
		"event": "catalogInForce", "version": c.Version, "source": "stream", "offset": r.Offset, "bytes": len(r.Value),
	}).Info()
}

// learned closes known when there is a catalog and a list. The lock is held.
//
// An instance that has just started reads its catalog a few milliseconds before its
// targets. A call that was let through in between was refused for want of a target,
// and callers have one try more at most.
func (f *facts) learned() {
	if f.listed && f.catalog.Load() != nil {
		f.learn.Do(func() { close(f.known) })
	}
}

// update changes the list of targets and puts it in force.
func (f *facts) update(u func(now time.Time, e *enroller.Enroller)) {
	f.mu.Lock()
	defer f.mu.Unlock()

	u(time.Now(), f.enroller)
	f.publish()
}

// MarkLeaving is part of forwarder.Facts.
func (f *facts) MarkLeaving(p enroller.Process) bool {
	var o bool

	f.update(func(n time.Time, e *enroller.Enroller) { o = e.Leave(n, p) })

	return o
}

// evacuations returns which data centres are evacuated.
func (f *facts) evacuations() *evacuator.State {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.evacuator.State()
}

// evacuate changes which data centres are evacuated and puts it in force.
func (f *facts) evacuate(u func(now time.Time, e *evacuator.Evacuator)) {
	f.mu.Lock()
	defer f.mu.Unlock()

	u(time.Now(), f.evacuator)
	f.publish()
}

// note changes the list of targets without putting it in force; the end of the read that
// brought the change does.
func (f *facts) note(u func(now time.Time, e *enroller.Enroller)) {
	f.mu.Lock()
	defer f.mu.Unlock()

	u(time.Now(), f.enroller)
}

// publish puts the list of targets in force if it, what the catalog names of it, or what is
// evacuated has changed. The lock is held.
func (f *facts) publish() {
	l, c, e := f.enroller.Roster(), f.catalog.Load(), f.evacuator.State()
	if l == f.whole && c == f.named && e == f.evacuated {
		return
	}

	f.whole, f.named, f.evacuated = l, c, e

	r := named(l, c)
	if len(e.Begun)+len(e.Ended) > 0 {
		r = r.Evacuated(e.Stands, e.Ended)
	}

	if r == f.roster.Load() {
		return
	}

	f.roster.Store(r)
	f.dropped(r)
}

// named returns a list without the targets of groups that the catalog does not name; it is
// the same list when there are none, or no catalog yet.
//
// Other programs may enter targets of groups that are no business of this fleet's. No call
// goes to them, but their data centres would count when this instance finds out whether it
// is cut off, and it would show ready with nothing but them on the list.
func named(l *enroller.Roster, c *cataloger.Catalog) *enroller.Roster {
	if c == nil {
		return l
	}

	return l.Of(func(group string) bool {
		_, ok := c.Group(group)

		return ok
	})
}

// target returns a target's entry, and false when there is none.
func (f *facts) target(id string) (*enroller.Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.enroller.Known(id)
}

// list takes the whole list of targets, and drops at once those of the keys that name none
// any more.
func (f *facts) list(l []enroller.Target, none []string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()
	for _, id := range none {
		f.enroller.Drop(id)
	}

	f.enroller.Reset(n, l)
	f.publish()
	f.listed = true
	f.learned()
}

// settle drops the targets whose entries have not come back in time.
func (f *facts) settle() {
	f.update(func(n time.Time, e *enroller.Enroller) {
		for _, id := range e.Settle(n) {
			logrus.WithFields(logrus.Fields{"event": "targetLapsed", "target": id}).Info()
		}
	})
}

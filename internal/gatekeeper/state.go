package gatekeeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/evacuator"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/watcher"
)

// state holds the catalog, the targets and the evacuations in force. It is safe for concurrent use.
type state struct {
	catalog atomic.Pointer[cataloger.Catalog]
	roster  atomic.Pointer[discoverer.Registry]
	// known is closed once there is a catalog and the list of targets was read.
	known          chan struct{}
	onRosterChange func(r *discoverer.Registry)
	// instances returns the number of instances that share the retry budget.
	instances func() int
	// detector detects stalls of this process.
	detector *detector.Detector
	// lastConfirmed returns when the platform last confirmed the catalog.
	lastConfirmed func() time.Time
	// applyWithin is the time within which changes are in force at all instances.
	applyWithin time.Duration

	mu        sync.Mutex
	enroller  *discoverer.Discoverer
	evacuator *evacuator.Evacuator
	// targetsRead reports whether the list of targets was read.
	targetsRead bool
	// sourceRoster, sourceCatalog and sourceEvacuations are those that the published roster was
	// derived from.
	sourceRoster      *discoverer.Registry
	sourceCatalog     *cataloger.Catalog
	sourceEvacuations *evacuator.State
	// closeKnown closes known once.
	closeKnown sync.Once
}

var _ forwarder.ClusterState = (*state)(nil)

func newState() *state {
	f := &state{
		applyWithin: DefaultApplyWithin,
		enroller:    discoverer.New(discoverer.DefaultSettings()), evacuator: evacuator.New(), known: make(chan struct{}), detector: detector.New(time.Now()),
	}
	f.roster.Store(f.enroller.Registry())

	return f
}

// Catalog implements forwarder.Facts.
func (f *state) Catalog() *cataloger.Catalog { return f.catalog.Load() }

// Synced implements forwarder.Facts.
func (f *state) Synced() <-chan struct{} { return f.known }

// Registry implements forwarder.Facts.
func (f *state) Registry() *discoverer.Registry { return f.roster.Load() }

// version returns the version of the catalog in force; zero means none.
func (f *state) version() uint64 {
	c := f.catalog.Load()
	if c == nil {
		return 0
	}

	return c.Version
}

// Instances implements forwarder.Facts.
func (f *state) Instances() int { return f.instances() }

// freshFraction is how long after the platform confirmed the catalog the absence of a rule or key
// is certain, as a fraction of the time within which changes are in force.
const freshFraction = 0.95

// Fresh implements forwarder.Facts.
func (f *state) Fresh() bool {
	return time.Since(f.lastConfirmed()) < time.Duration(freshFraction*float64(f.applyWithin))
}

// Stalled implements forwarder.Facts.
func (f *state) Stalled(since time.Time) bool { return f.detector.Stalled(time.Now(), since) }

// recordTick records that this process is running, and logs a stall since the last tick.
func (f *state) recordTick() {
	if g := f.detector.Tick(time.Now()); g > 0 {
		logrus.WithFields(logrus.Fields{"event": "stalled", "gap": g.Round(time.Millisecond)}).Warn()
	}
}

// applyCatalog applies a catalog unless it is older than the one in force: reads may return an
// older state, and a version must never be reverted once callers have observed its effect.
//
// The log line includes the size of the record, which determines its transfer time on the link.
func (f *state) applyCatalog(c *cataloger.Catalog, r watcher.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()

	o := f.catalog.Load()
	if o != nil && o.Version >= c.Version {
		return
	}

	f.catalog.Store(c)
	f.publish()
	f.signalKnown()
	logrus.WithFields(logrus.Fields{
		"event": "catalogInForce", "version": c.Version, "source": "stream", "offset": r.Offset, "bytes": len(r.Value),
	}).Info()
}

// signalKnown closes known when there is a catalog and a list of targets. The caller holds the lock.
//
// An instance that has just started reads its catalog a few milliseconds before its targets. Calls
// admitted in between would be refused for lack of a target, and callers retry at most once.
func (f *state) signalKnown() {
	if f.targetsRead && f.catalog.Load() != nil {
		f.closeKnown.Do(func() { close(f.known) })
	}
}

// updateTargets changes the list of targets and publishes it.
func (f *state) updateTargets(u func(now time.Time, e *discoverer.Discoverer)) {
	f.mu.Lock()
	defer f.mu.Unlock()

	u(time.Now(), f.enroller)
	f.publish()
}

// MarkLeaving implements forwarder.Facts.
func (f *state) MarkLeaving(p discoverer.Process) bool {
	var o bool

	f.updateTargets(func(n time.Time, e *discoverer.Discoverer) { o = e.MarkLeaving(n, p) })

	return o
}

// evacuations returns the evacuated data centres.
func (f *state) evacuations() *evacuator.State {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.evacuator.State()
}

// updateEvacuations changes the evacuations and publishes the result.
func (f *state) updateEvacuations(u func(now time.Time, e *evacuator.Evacuator)) {
	f.mu.Lock()
	defer f.mu.Unlock()

	u(time.Now(), f.evacuator)
	f.publish()
}

// stageTargets changes the list of targets without publishing it; the end of the read that
// contained the change does.
func (f *state) stageTargets(u func(now time.Time, e *discoverer.Discoverer)) {
	f.mu.Lock()
	defer f.mu.Unlock()

	u(time.Now(), f.enroller)
}

// publish publishes the targets if the list, the groups of the catalog or the evacuations have
// changed. The caller holds the lock.
func (f *state) publish() {
	l, c, e := f.enroller.Registry(), f.catalog.Load(), f.evacuator.State()
	if l == f.sourceRoster && c == f.sourceCatalog && e == f.sourceEvacuations {
		return
	}

	f.sourceRoster, f.sourceCatalog, f.sourceEvacuations = l, c, e

	r := inCatalog(l, c)
	if len(e.Begun)+len(e.Ended) > 0 {
		r = r.WithEvacuated(e.Evacuated, e.Ended)
	}

	if r == f.roster.Load() {
		return
	}

	f.roster.Store(r)
	f.onRosterChange(r)
}

// inCatalog returns a list without the targets of groups that the catalog does not contain. It
// returns the same list if there are none, or no catalog yet.
//
// Other programs may register targets of groups that do not belong to this fleet. They get no
// calls, but their data centres would count in the detection of network partitions, and the
// instance would report ready with no usable target.
func inCatalog(l *discoverer.Registry, c *cataloger.Catalog) *discoverer.Registry {
	if c == nil {
		return l
	}

	return l.FilterGroups(func(group string) bool {
		_, ok := c.Group(group)

		return ok
	})
}

// target returns a target's entry, and false when there is none.
func (f *state) target(id string) (*discoverer.Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.enroller.Lookup(id)
}

// resetTargets replaces the list of targets, and drops at once the targets whose keys have invalid
// entries.
func (f *state) resetTargets(l []discoverer.Target, none []string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()
	for _, id := range none {
		f.enroller.Drop(id)
	}

	f.enroller.Reset(n, l)
	f.publish()
	f.targetsRead = true
	f.signalKnown()
}

// removeLapsed removes the targets whose entries did not return within the grace period.
func (f *state) removeLapsed() {
	f.updateTargets(func(n time.Time, e *discoverer.Discoverer) {
		for _, id := range e.ExpireHeld(n) {
			logrus.WithFields(logrus.Fields{"event": "targetLapsed", "target": id}).Info()
		}
	})
}

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
	catalog  atomic.Pointer[cataloger.Catalog]
	registry atomic.Pointer[discoverer.Registry]
	// synced is closed once there is a catalog and the list of targets was read.
	synced           chan struct{}
	onRegistryChange func(r *discoverer.Registry)
	// instances returns the number of instances that share the retry budget.
	instances func() int
	// detector detects stalls of this process.
	detector *detector.Detector
	// lastConfirmed returns when the platform last confirmed the catalog.
	lastConfirmed func() time.Time
	// targetsConfirmed returns when the platform last confirmed the list of targets.
	targetsConfirmed func() time.Time
	// applyWithin is the time within which changes are in force at all instances.
	applyWithin time.Duration
	// eraBegan is when a new era of the configuration's stream was noticed; nil if none was.
	eraBegan atomic.Pointer[time.Time]

	mu         sync.Mutex
	discoverer *discoverer.Discoverer
	evacuator  *evacuator.Evacuator
	// targetsRead reports whether the list of targets was read.
	targetsRead bool
	// The published registry was derived from sourceRegistry, sourceCatalog and sourceEvacuations.
	sourceRegistry    *discoverer.Registry
	sourceCatalog     *cataloger.Catalog
	sourceEvacuations *evacuator.State
	// closeSynced closes synced once.
	closeSynced sync.Once
}

var _ forwarder.ClusterState = (*state)(nil)

func newState() *state {
	s := &state{
		applyWithin: DefaultApplyWithin,
		discoverer:  discoverer.New(discoverer.DefaultSettings()), evacuator: evacuator.New(), synced: make(chan struct{}), detector: detector.New(time.Now()),
	}
	s.registry.Store(s.discoverer.Registry())

	return s
}

// Catalog implements forwarder.ClusterState.
func (s *state) Catalog() *cataloger.Catalog { return s.catalog.Load() }

// Synced implements forwarder.ClusterState.
func (s *state) Synced() <-chan struct{} { return s.synced }

// Registry implements forwarder.ClusterState.
func (s *state) Registry() *discoverer.Registry { return s.registry.Load() }

// catalogVersion returns the version of the catalog in force; zero means none.
func (s *state) catalogVersion() uint64 {
	c := s.catalog.Load()
	if c == nil {
		return 0
	}

	return c.Version
}

// Instances implements forwarder.ClusterState.
func (s *state) Instances() int { return s.instances() }

// freshFraction is a fraction of applyWithin. Until that time has passed since the platform last
// confirmed the catalog, the instance takes a rule or key that is missing from it as not existing: one
// that was added since does not have to be in force yet.
const freshFraction = 0.95

// beginEra records that the stream of the configuration has come back from a copy.
func (s *state) beginEra() {
	n := time.Now()
	s.eraBegan.Store(&n)
}

// Fresh implements forwarder.ClusterState. The catalog is not fresh while changes that the platform has confirmed and
// then lost may be written again: this instance may have missed them.
func (s *state) Fresh() bool {
	if b := s.eraBegan.Load(); b != nil && time.Since(*b) < rewriteTime {
		return false
	}

	return time.Since(s.lastConfirmed()) < time.Duration(freshFraction*float64(s.applyWithin))
}

// targetsFresh reports whether the list of targets is up to date. Just after a stall it is not: what the platform confirmed meanwhile may
// have waited here all the time.
func (s *state) targetsFresh() bool {
	return time.Since(s.targetsConfirmed()) < s.applyWithin && !s.Stalled(time.Now())
}

// Stalled implements forwarder.ClusterState.
func (s *state) Stalled(since time.Time) bool { return s.detector.Stalled(time.Now(), since) }

// recordTick records that this process is running, and logs a stall since the last tick.
func (s *state) recordTick() {
	if g := s.detector.Tick(time.Now()); g > 0 {
		logrus.WithFields(logrus.Fields{"event": "stalled", "gap": g.Round(time.Millisecond)}).Warn()
	}
}

// applyCatalog applies a catalog unless it is older than the one in force: reads may return an
// older state, and a version must never be reverted once callers have observed its effect.
//
// The log line includes the size of the record, which determines its transfer time on the link.
func (s *state) applyCatalog(c *cataloger.Catalog, r watcher.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.catalog.Load()
	if o != nil && o.Version >= c.Version {
		return
	}

	s.catalog.Store(c)
	s.publish()
	s.signalSynced()
	logrus.WithFields(logrus.Fields{
		"event": "catalogInForce", "version": c.Version, "source": "stream", "offset": r.Offset, "bytes": len(r.Value),
		"requiresKey": c.RequiresKey(), "keys": c.Keys(),
	}).Info()

	if c.RequiresKey() && c.Keys() == 0 {
		logrus.WithFields(logrus.Fields{"event": "catalogWithoutKeys", "version": c.Version}).Warn()
	}
}

// signalSynced closes synced when there is a catalog and a list of targets. The caller holds the lock.
//
// An instance that has just started reads its catalog a few milliseconds before its targets. Calls
// admitted between these two reads would be refused for lack of a target, and callers retry at most
// once.
func (s *state) signalSynced() {
	if s.targetsRead && s.catalog.Load() != nil {
		s.closeSynced.Do(func() { close(s.synced) })
	}
}

// updateTargets changes the list of targets by calling u, and publishes it.
func (s *state) updateTargets(u func(now time.Time, d *discoverer.Discoverer)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	u(time.Now(), s.discoverer)
	s.publish()
}

// MarkLeaving implements forwarder.ClusterState.
func (s *state) MarkLeaving(p discoverer.Process) bool {
	var o bool

	s.updateTargets(func(n time.Time, d *discoverer.Discoverer) { o = d.MarkLeaving(n, p) })

	return o
}

// evacuations returns the evacuated data centres.
func (s *state) evacuations() *evacuator.State {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.evacuator.State()
}

// updateEvacuations changes the evacuations by calling u, and publishes the result.
func (s *state) updateEvacuations(u func(now time.Time, e *evacuator.Evacuator)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	u(time.Now(), s.evacuator)
	s.publish()
}

// stageTargets changes the list of targets without publishing it. The change is published at the end
// of the read that contained it.
func (s *state) stageTargets(u func(now time.Time, d *discoverer.Discoverer)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	u(time.Now(), s.discoverer)
}

// publish publishes the targets if the list, the groups of the catalog or the evacuations have
// changed. The caller holds the lock.
func (s *state) publish() {
	l, c, e := s.discoverer.Registry(), s.catalog.Load(), s.evacuator.State()
	if l == s.sourceRegistry && c == s.sourceCatalog && e == s.sourceEvacuations {
		return
	}

	s.sourceRegistry, s.sourceCatalog, s.sourceEvacuations = l, c, e

	r := inCatalog(l, c)
	if len(e.Begun)+len(e.Ended) > 0 {
		r = r.WithEvacuated(e.Evacuated, e.Ended)
	}

	if r == s.registry.Load() {
		return
	}

	s.registry.Store(r)
	s.onRegistryChange(r)
}

// inCatalog returns a registry without the targets of groups that the catalog does not contain. It
// returns l itself if there are no such targets, or if there is no catalog yet.
//
// Other programs may register targets of groups that do not belong to this fleet. Such targets get
// no calls, but if they remained in the registry, their data centres would count in the detection
// of network partitions, and the instance would report ready with no usable target.
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
func (s *state) target(id string) (*discoverer.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.discoverer.Lookup(id)
}

// resetTargets replaces the list of targets, and drops at once the targets with the given IDs, whose
// entries are invalid.
func (s *state) resetTargets(l []discoverer.Target, invalidIDs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := time.Now()
	for _, id := range invalidIDs {
		s.discoverer.Drop(id)
	}

	s.discoverer.Reset(n, l)
	s.publish()
	s.targetsRead = true
	s.signalSynced()
}

// expireHeldTargets removes the targets whose entries did not return within the grace period.
func (s *state) expireHeldTargets() {
	var r targetReporter

	s.updateTargets(func(n time.Time, d *discoverer.Discoverer) {
		for _, id := range d.ExpireHeld(n) {
			r.report("targetLapsed", logrus.Fields{"target": id})
		}
	})
	r.flush()
}

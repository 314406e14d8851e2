package gatekeeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/enroller"
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

	mu       sync.Mutex
	enroller *enroller.Enroller
	// listed says that the list of targets was read.
	listed bool
	// learn closes known.
	learn sync.Once
}

var _ forwarder.Facts = (*facts)(nil)

func newFacts() *facts {
	f := &facts{
		enroller: enroller.New(enroller.DefaultSettings()), known: make(chan struct{}), detector: detector.New(time.Now()),
	}
	f.roster.Store(f.enroller.Roster())

	return f
}

// Catalog is part of forwarder.Facts.
func (f *facts) Catalog() *cataloger.Catalog { return f.catalog.Load() }

// Known is part of forwarder.Facts.
func (f *facts) Known() <-chan struct{} { return f.known }

// Roster is part of forwarder.Facts.
func (f *facts) Roster() *enroller.Roster { return f.roster.Load() }

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

// freshFor is how long after the platform confirmed the catalog an instance takes
// its own word for it that a rule or a key is not there. Changes are in force two
// seconds after they were made.
const freshFor = 1900 * time.Millisecond

// Fresh is part of forwarder.Facts.
func (f *facts) Fresh() bool { return time.Since(f.heard()) < freshFor }

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
func (f *facts) enforce(c *cataloger.Catalog, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	o := f.catalog.Load()
	if o != nil && o.Version >= c.Version {
		return
	}

	f.catalog.Store(c)
	f.learned()
	logrus.WithFields(logrus.Fields{"event": "catalogInForce", "version": c.Version, "source": source}).Info()
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

// note changes the list of targets without putting it in force; the end of the read that
// brought the change does.
func (f *facts) note(u func(now time.Time, e *enroller.Enroller)) {
	f.mu.Lock()
	defer f.mu.Unlock()

	u(time.Now(), f.enroller)
}

// publish puts the list of targets in force if it has changed. The lock is held.
func (f *facts) publish() {
	r := f.enroller.Roster()
	if r == f.roster.Load() {
		return
	}

	f.roster.Store(r)
	f.dropped(r)
}

// list takes the whole list of targets.
func (f *facts) list(l []enroller.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.enroller.Reset(time.Now(), l)
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

// configSink puts the configurations that are read in force.
type configSink struct {
	facts  *facts
	key    string
	decode func([]byte) (cataloger.Document, error)
}

var _ watcher.Sink = (*configSink)(nil)

// Reset is part of watcher.Sink.
func (s *configSink) Reset(l []watcher.Record) {
	for _, r := range l {
		s.Change(r)
	}
}

// Change is part of watcher.Sink. A configuration that can't be used is passed
// over; the one in force stands.
func (s *configSink) Change(r watcher.Record) {
	if r.Key != s.key || len(r.Value) == 0 {
		return
	}

	d, err := s.decode(r.Value)
	if err == nil {
		var c *cataloger.Catalog

		if c, err = cataloger.New(d); err == nil {
			s.facts.enforce(c, "stream")

			return
		}
	}

	logrus.WithFields(logrus.Fields{"event": "catalogRefused", "version": d.Version, "offset": r.Offset, "error": err}).Error()
}

// Read is part of watcher.Sink.
func (s *configSink) Read(time.Duration) {}

// Failed is part of watcher.Sink.
func (s *configSink) Failed(error) {}

// targetSink puts the list of targets in force.
type targetSink struct {
	facts  *facts
	decode func(key string, b []byte) (enroller.Target, error)
	// offsets is the newest record seen of each key.
	offsets map[string]int64
}

var _ watcher.Sink = (*targetSink)(nil)

// Reset is part of watcher.Sink.
func (s *targetSink) Reset(l []watcher.Record) {
	var t []enroller.Target

	clear(s.offsets)

	for _, r := range l {
		s.offsets[r.Key] = r.Offset

		if x, err := s.decode(r.Key, r.Value); err == nil {
			t = append(t, x)
		} else {
			refused(r, err)
		}
	}

	s.facts.list(t)
}

// Change is part of watcher.Sink. The changes of one read are put in force together.
func (s *targetSink) Change(r watcher.Record) {
	if o, ok := s.offsets[r.Key]; ok && r.Offset <= o {
		return
	}

	s.offsets[r.Key] = r.Offset

	if len(r.Value) == 0 {
		s.facts.note(func(n time.Time, e *enroller.Enroller) {
			d := e.Remove(n, r.Key)
			logrus.WithFields(logrus.Fields{"event": "targetRemoved", "target": r.Key, "held": !d, "offset": r.Offset}).Info()
		})

		return
	}

	t, err := s.decode(r.Key, r.Value)
	if err != nil {
		refused(r, err)

		return
	}

	s.facts.note(func(_ time.Time, e *enroller.Enroller) {
		if o, ok := e.Known(t.ID); !ok || o.Draining != t.Draining {
			logrus.WithFields(logrus.Fields{
				"event": "targetListed", "target": t.ID, "group": t.Group, "address": t.Address,
				"draining": t.Draining, "offset": r.Offset,
			}).Info()
		}

		e.Set(t)
	})
}

// Read is part of watcher.Sink.
func (s *targetSink) Read(away time.Duration) {
	s.facts.update(func(n time.Time, e *enroller.Enroller) {
		e.Regained(n, away)
	})
}

// Failed is part of watcher.Sink.
func (s *targetSink) Failed(error) {}

func refused(r watcher.Record, err error) {
	logrus.WithFields(logrus.Fields{"event": "targetRefused", "target": r.Key, "offset": r.Offset, "error": err}).Error()
}

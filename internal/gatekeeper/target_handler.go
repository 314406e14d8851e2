package gatekeeper

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/watcher"
)

// targetHandler applies the list of targets. It is not safe for concurrent use; a single
// watcher.Watcher calls it.
type targetHandler struct {
	state    *state
	decode   func(key string, b []byte) (discoverer.Target, error)
	records  *seenRecords
	refusals *refusalReporter
}

var _ watcher.Handler = (*targetHandler)(nil)

// Reset implements watcher.Sink. It fails with errStaleList.
func (s *targetHandler) Reset(l []watcher.Record, end int64) error {
	n := newestOffsets(l)
	if err := s.records.checkNotStale(n, end); err != nil {
		return err
	}

	s.records.markMissingDeleted(n)

	var (
		targets []discoverer.Target
		none    []string
	)

	for _, r := range l {
		if n[r.Key] != r.Offset || len(r.Value) == 0 {
			continue
		}

		t, err := s.decode(r.Key, r.Value)
		if s.usable(r, err) {
			s.records.set(r.Key, seenRecord{offset: r.Offset, outcome: applied})
			targets = append(targets, s.withReadTime(t, r.Offset))

			continue
		}

		none = append(none, r.Key)
		s.reportRefused(r, err)
	}

	s.state.resetTargets(targets, none)

	return nil
}

// Change implements watcher.Sink. The changes of one read are published together.
func (s *targetHandler) Change(r watcher.Record) {
	if s.records.contains(r) {
		return
	}

	if len(r.Value) == 0 {
		s.remove(r)

		return
	}

	t, err := s.decode(r.Key, r.Value)
	if !s.usable(r, err) {
		s.state.stageTargets(func(_ time.Time, e *discoverer.Discoverer) { e.Drop(r.Key) })
		s.reportRefused(r, err)

		return
	}

	wasRefused := s.records.keys[r.Key].outcome == refused
	s.records.set(r.Key, seenRecord{offset: r.Offset, outcome: applied})
	s.apply(s.withReadTime(t, r.Offset), r.Offset, wasRefused)
}

// usable reports whether an entry names a target, and reports the parts that can't be decoded.
func (s *targetHandler) usable(r watcher.Record, err error) bool {
	if err != nil && errors.Is(err, watcher.ErrPartial) {
		if !s.records.contains(r) {
			s.refusals.report(err, logrus.Fields{"event": "targetUnclear", "target": r.Key, "offset": r.Offset})
		}

		return true
	}

	return err == nil
}

// withReadTime returns a target with the values that depend on when its entry was read.
func (s *targetHandler) withReadTime(t discoverer.Target, offset int64) discoverer.Target {
	t.Offset = offset
	o, _ := s.state.target(t.ID)

	return t.WithReadTime(time.Now(), o)
}

// apply adds a target or changes its entry. Log lines about keys that are overwritten repeatedly
// are limited like those about refused records.
func (s *targetHandler) apply(t discoverer.Target, offset int64, wasRefused bool) {
	s.state.stageTargets(func(_ time.Time, e *discoverer.Discoverer) {
		o, ok := e.Lookup(t.ID)
		if (!ok || o.Draining != t.Draining) && (!wasRefused || s.refusals.allowLine()) {
			logrus.WithFields(logrus.Fields{
				"event": "targetListed", "target": t.ID, "group": t.Group, "address": t.Address,
				"draining": t.Draining, "offset": offset,
			}).Info()
		}

		e.Set(t)
	})
}

func (s *targetHandler) remove(r watcher.Record) {
	s.records.set(r.Key, seenRecord{offset: r.Offset, outcome: deleted})
	s.state.stageTargets(func(n time.Time, e *discoverer.Discoverer) {
		if _, ok := e.Lookup(r.Key); !ok {
			return // Its entry was invalid.
		}

		d := e.Remove(n, r.Key)
		logrus.WithFields(logrus.Fields{"event": "targetRemoved", "target": r.Key, "held": !d, "offset": r.Offset}).Info()
	})
}

// reportRefused reports an invalid entry, unless it was reported before: full lists repeat entries.
func (s *targetHandler) reportRefused(r watcher.Record, err error) {
	if m, ok := s.records.keys[r.Key]; ok && m.outcome == refused && m.offset == r.Offset {
		return
	}

	s.records.set(r.Key, seenRecord{offset: r.Offset, outcome: refused})
	s.refusals.report(err, logrus.Fields{"event": "targetRefused", "target": r.Key, "offset": r.Offset})
}

// Read implements watcher.Sink.
func (s *targetHandler) Read(away time.Duration) {
	s.state.updateTargets(func(n time.Time, e *discoverer.Discoverer) {
		e.RecordOutage(n, away)
	})
	s.refusals.flush()
}

// Failed implements watcher.Sink.
func (s *targetHandler) Failed(error) {}

package gatekeeper

import (
	"slices"
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
	reporter *invalidRecordReporter
	changes  targetReporter
}

var _ watcher.Handler = (*targetHandler)(nil)

// Reset implements watcher.Handler. It fails with errStaleList.
func (h *targetHandler) Reset(l []watcher.Record, end watcher.Position) error {
	if end.Era != h.records.era {
		h.beginEra(l, end.Era)

		return nil
	}

	n := newestOffsets(l)
	if err := h.records.checkNotStale(n, end.Offset); err != nil {
		return err
	}

	h.records.markMissingDeleted(n)
	l = slices.DeleteFunc(slices.Clone(l), func(r watcher.Record) bool {
		return n[r.Key] != r.Offset || h.records.isDeferred(r.Key, r.Offset)
	})
	h.replace(l)

	return nil
}

// beginEra applies the list of a new era. A target keeps its state while a record that is older than this is deferred,
// and a target that is not listed has the usual time to register again.
func (h *targetHandler) beginEra(l []watcher.Record, era uint64) {
	if len(h.records.keys) > 0 {
		h.state.stageTargets(func(now time.Time, d *discoverer.Discoverer) { d.BeginGrace(now) })
	}

	// A target whose entry lapsed in an outage is in use for its grace period. That it is listed counts as registered:
	// its entry is then as its process wants it, and is not written again.
	for k, x := range h.records.keys {
		if _, ok := h.state.target(k); ok && x.outcome == deleted {
			h.records.keys[k] = seenRecord{offset: -1, outcome: deleted}
		}
	}

	n := newestRecords(l)
	o := h.records.beginEra(era, n, time.Now().Add(rewriteTime))

	for k := range h.records.deferred {
		if _, ok := n[k]; !ok {
			delete(h.records.deferred, k)
		}
	}

	h.replace(o)
}

// retained returns the targets whose listed records are deferred.
func (h *targetHandler) retained() []discoverer.Target {
	var o []discoverer.Target

	for k := range h.records.deferred {
		if t, ok := h.state.target(k); ok && h.records.keys[k].outcome == applied {
			o = append(o, *t)
		}
	}

	return o
}

// replace replaces the list of targets by those of the given records, the newest of each key, and the retained ones.
func (h *targetHandler) replace(l []watcher.Record) {
	var invalidIDs []string

	targets := h.retained()

	for _, r := range l {
		if len(r.Value) == 0 {
			continue
		}

		t, err := h.decode(r.Key, r.Value)
		if h.usable(r, err) {
			h.records.set(r.Key, seenRecord{offset: r.Offset, outcome: applied})
			targets = append(targets, h.withReadTime(t, r.Offset))

			continue
		}

		invalidIDs = append(invalidIDs, r.Key)
		h.reportInvalid(r, err)
	}

	h.state.resetTargets(targets, invalidIDs)
}

// Change implements watcher.Handler. The changes of one read are published together.
func (h *targetHandler) Change(r watcher.Record) {
	if !h.records.contains(r) {
		h.applyRecord(r)
	}
}

// applyRecord applies a record of the list.
func (h *targetHandler) applyRecord(r watcher.Record) {
	if len(r.Value) == 0 {
		h.remove(r)

		return
	}

	t, err := h.decode(r.Key, r.Value)
	if !h.usable(r, err) {
		h.state.stageTargets(func(_ time.Time, d *discoverer.Discoverer) { d.Drop(r.Key) })
		h.reportInvalid(r, err)

		return
	}

	wasInvalid := h.records.keys[r.Key].outcome == invalid
	h.records.set(r.Key, seenRecord{offset: r.Offset, outcome: applied})
	h.apply(h.withReadTime(t, r.Offset), r.Offset, wasInvalid)
}

// usable returns whether an entry names a target although parts of it may be invalid. It counts and
// logs such parts. err is the error of decoding the entry.
func (h *targetHandler) usable(r watcher.Record, err error) bool {
	if err != nil && errors.Is(err, watcher.ErrPartial) {
		if !h.records.contains(r) {
			h.reporter.report(err, logrus.Fields{"event": "targetUnclear", "target": r.Key, "offset": r.Offset})
		}

		return true
	}

	return err == nil
}

// withReadTime returns a target with the values that depend on when its entry was read.
func (h *targetHandler) withReadTime(t discoverer.Target, offset int64) discoverer.Target {
	t.Era, t.Offset = h.records.era, offset
	o, _ := h.state.target(t.ID)

	return t.WithReadTime(time.Now(), o)
}

// apply adds a target or changes its entry. If a key's entry was invalid before, the log line counts
// against the limit of lines about invalid records, since a writer may alternate between the two.
func (h *targetHandler) apply(t discoverer.Target, offset int64, wasInvalid bool) {
	h.state.stageTargets(func(_ time.Time, d *discoverer.Discoverer) {
		o, ok := d.Lookup(t.ID)
		if (!ok || o.Draining != t.Draining) && (!wasInvalid || h.reporter.allowLine()) {
			h.changes.report("targetListed", logrus.Fields{
				"target": t.ID, "group": t.Group, "address": t.Address, "draining": t.Draining, "version": t.Version, "offset": offset,
			})
		}

		d.Set(t)
	})
}

func (h *targetHandler) remove(r watcher.Record) {
	h.records.set(r.Key, seenRecord{offset: r.Offset, outcome: deleted})
	h.state.stageTargets(func(n time.Time, d *discoverer.Discoverer) {
		if _, ok := d.Lookup(r.Key); !ok {
			return // Its entry was invalid.
		}

		o := d.Remove(n, r.Key)
		h.changes.report("targetRemoved", logrus.Fields{"target": r.Key, "held": !o, "offset": r.Offset})
	})
}

// reportInvalid reports an invalid entry, unless it was reported before: a full list contains entries
// that were read before.
func (h *targetHandler) reportInvalid(r watcher.Record, err error) {
	if m, ok := h.records.keys[r.Key]; ok && m.outcome == invalid && m.offset == r.Offset {
		return
	}

	h.records.set(r.Key, seenRecord{offset: r.Offset, outcome: invalid})
	h.reporter.report(err, logrus.Fields{"event": "targetRefused", "target": r.Key, "offset": r.Offset})
}

// Read implements watcher.Handler.
func (h *targetHandler) Read(outage time.Duration) {
	for _, r := range h.records.release(time.Now()) {
		h.applyRecord(r)
	}

	h.state.updateTargets(func(n time.Time, d *discoverer.Discoverer) {
		d.RecordOutage(n, outage)
	})
	h.reporter.flush()
	h.changes.flush()
}

// Failed implements watcher.Handler.
func (h *targetHandler) Failed(error) {}

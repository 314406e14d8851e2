package gatekeeper

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/evacuator"
	"github.com/auburntray/auburntray/internal/watcher"
)

// evacuationHandler applies the evacuations that operators request. It is not safe for concurrent
// use; a single watcher.Watcher calls it.
type evacuationHandler struct {
	state *state
	// decode returns the data centre that a record evacuates, and false when the record is not an
	// evacuation. The error describes the part of the record that can't be decoded.
	decode   func(key string, b []byte) (centre string, ok bool, err error)
	records  *seenRecords
	reporter *invalidRecordReporter
}

var _ watcher.Handler = (*evacuationHandler)(nil)

// Reset implements watcher.Handler. It fails with errStaleList: an older list would end evacuations
// that are still in force. In a new era they remain until the operator has had time to request them again.
func (h *evacuationHandler) Reset(l []watcher.Record, end watcher.Position) error {
	var o []watcher.Record

	for _, r := range l {
		if _, ok, _ := h.decode(r.Key, r.Value); ok {
			o = append(o, r)
		}
	}

	if end.Era != h.records.era {
		for _, r := range h.records.beginEra(end.Era, newestRecords(o), time.Now().Add(rewriteTime)) {
			h.apply(r)
		}

		return nil
	}

	n := newestOffsets(o)
	if err := h.records.checkNotStale(n, end.Offset); err != nil {
		return err
	}

	for k, m := range h.records.keys {
		if _, ok := n[k]; ok || h.records.isDeferred(k, m.offset) && m.outcome == applied {
			continue
		}

		if m.outcome == deleted {
			delete(h.records.deferred, k)
		} else {
			h.remove(watcher.Record{Key: k, Offset: m.offset})
		}
	}

	for _, r := range o {
		h.Change(r)
	}

	return nil
}

// Change implements watcher.Handler. A record whose value can't be decoded still starts an
// evacuation if its key names the data centre: calls that were sent there can't be recalled.
func (h *evacuationHandler) Change(r watcher.Record) {
	if _, ok, _ := h.decode(r.Key, r.Value); !ok || h.records.contains(r) {
		return
	}

	h.apply(r)
}

// apply applies a record of an evacuation.
func (h *evacuationHandler) apply(r watcher.Record) {
	if len(r.Value) == 0 {
		h.remove(r)

		return
	}

	c, _, err := h.decode(r.Key, r.Value)

	if err != nil {
		h.reporter.report(err, logrus.Fields{"event": "evacuationUnclear", "dataCentre": c, "offset": r.Offset})
	}

	if c == "" {
		h.records.set(r.Key, seenRecord{offset: r.Offset, outcome: invalid})

		return
	}

	h.records.set(r.Key, seenRecord{offset: r.Offset, outcome: applied})
	h.state.updateEvacuations(func(n time.Time, e *evacuator.Evacuator) {
		if e.Begin(n, c) {
			logrus.WithFields(logrus.Fields{"event": "evacuationBegun", "dataCentre": c, "offset": r.Offset}).Info()
		}
	})
}

// remove ends the evacuation of a deleted record.
func (h *evacuationHandler) remove(r watcher.Record) {
	h.records.set(r.Key, seenRecord{offset: r.Offset, outcome: deleted})

	c, _, _ := h.decode(r.Key, nil)
	h.state.updateEvacuations(func(n time.Time, e *evacuator.Evacuator) {
		if d, ok := e.End(n, c); ok {
			logrus.WithFields(logrus.Fields{
				"event": "evacuationEnded", "dataCentre": c, "stood": d.Round(time.Millisecond), "offset": r.Offset,
			}).Info()
		}
	})
}

// Read implements watcher.Handler.
func (h *evacuationHandler) Read(time.Duration) {
	for _, r := range h.records.release(time.Now()) {
		h.apply(r)
	}

	h.reporter.flush()
}

// Failed implements watcher.Handler.
func (h *evacuationHandler) Failed(error) {}

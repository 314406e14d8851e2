package gatekeeper

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/watcher"
)

// configHandler applies the configurations read from the stream. It is not safe for concurrent
// use; a single watcher.Watcher calls it.
type configHandler struct {
	state    *state
	key      string
	decode   func([]byte) (cataloger.Document, error)
	reporter *invalidRecordReporter
	// afterInvalid is the position after the last invalid record that was reported.
	afterInvalid watcher.Position
	// era is the era of the records.
	era uint64
}

var _ watcher.Handler = (*configHandler)(nil)

// Reset implements watcher.Handler. Older configurations are recognized by their version, in a new era too: the one
// in force remains until its successor is written.
func (h *configHandler) Reset(l []watcher.Record, end watcher.Position) error {
	h.era = end.Era

	for _, r := range l {
		h.Change(r)
	}

	return nil
}

// Change implements watcher.Handler. An invalid configuration is skipped; the one in force remains.
func (h *configHandler) Change(r watcher.Record) {
	if r.Key != h.key || len(r.Value) == 0 {
		return
	}

	d, err := h.decode(r.Value)
	if err == nil {
		var c *cataloger.Catalog

		if c, err = cataloger.New(d); err == nil {
			h.state.applyCatalog(c, r)

			return
		}
	}

	// Each full list contains the newest record of the key again; it is reported only once.
	p := watcher.Position{Era: h.era, Offset: r.Offset}
	if p.Before(h.afterInvalid) {
		return
	}

	h.afterInvalid = watcher.Position{Era: h.era, Offset: r.Offset + 1}
	h.reporter.report(err, logrus.Fields{"event": "catalogRefused", "version": d.Version, "offset": r.Offset})
}

// Read implements watcher.Handler.
func (h *configHandler) Read(time.Duration) { h.reporter.flush() }

// Failed implements watcher.Handler.
func (h *configHandler) Failed(error) {}

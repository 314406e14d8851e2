package gatekeeper

import (
	"time"

	"github.com/auburntray/auburntray/internal/watcher"
)

// handlers passes the records of one stream to several handlers, in order.
type handlers []watcher.Handler

var _ watcher.Handler = handlers(nil)

// Reset implements watcher.Handler. It returns the first error, and skips the handlers after it.
func (h handlers) Reset(l []watcher.Record, end watcher.Position) error {
	for _, k := range h {
		if err := k.Reset(l, end); err != nil {
			return err
		}
	}

	return nil
}

// Change implements watcher.Handler.
func (h handlers) Change(r watcher.Record) {
	for _, k := range h {
		k.Change(r)
	}
}

// Read implements watcher.Handler.
func (h handlers) Read(outage time.Duration) {
	for _, k := range h {
		k.Read(outage)
	}
}

// Failed implements watcher.Handler.
func (h handlers) Failed(err error) {
	for _, k := range h {
		k.Failed(err)
	}
}

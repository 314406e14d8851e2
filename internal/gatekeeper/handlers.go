package gatekeeper

import (
	"time"

	"github.com/auburntray/auburntray/internal/watcher"
)

// handlers passes the records of one stream to several handlers, in order.
type handlers []watcher.Handler

var _ watcher.Handler = handlers(nil)

// Reset implements watcher.Sink. It returns the first error, and skips the handlers after it.
func (s handlers) Reset(l []watcher.Record, end int64) error {
	for _, k := range s {
		if err := k.Reset(l, end); err != nil {
			return err
		}
	}

	return nil
}

// Change implements watcher.Sink.
func (s handlers) Change(r watcher.Record) {
	for _, k := range s {
		k.Change(r)
	}
}

// Read implements watcher.Sink.
func (s handlers) Read(away time.Duration) {
	for _, k := range s {
		k.Read(away)
	}
}

// Failed implements watcher.Sink.
func (s handlers) Failed(err error) {
	for _, k := range s {
		k.Failed(err)
	}
}

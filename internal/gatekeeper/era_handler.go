package gatekeeper

import (
	"time"

	"github.com/auburntray/auburntray/internal/watcher"
)

// eraHandler detects that a stream has begun a new era. It is not safe for concurrent use.
type eraHandler struct {
	onNewEra func()
	// end is the end of the last list.
	end watcher.Position
}

var _ watcher.Handler = (*eraHandler)(nil)

func newEraHandler(onNewEra func()) *eraHandler {
	return &eraHandler{onNewEra: onNewEra, end: watcher.Unread()}
}

// Reset implements watcher.Handler.
func (h *eraHandler) Reset(_ []watcher.Record, end watcher.Position) error {
	if h.end.IsRead() && h.end.Era != end.Era {
		h.onNewEra()
	}

	h.end = end

	return nil
}

// Change implements watcher.Handler.
func (h *eraHandler) Change(watcher.Record) {}

// Read implements watcher.Handler.
func (h *eraHandler) Read(time.Duration) {}

// Failed implements watcher.Handler.
func (h *eraHandler) Failed(error) {}

// Package sleeper provides a sleep that a context can end.
package sleeper

import (
	"context"
	"time"
)

// Sleep pauses for the duration d or until the context is done, whichever is first. It is safe for concurrent use.
func Sleep(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
	case <-c.Done():
	}
}

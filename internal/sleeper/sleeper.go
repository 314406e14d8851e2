// Package sleeper pauses until a time has passed or there is no more reason to.
package sleeper

import (
	"context"
	"time"
)

// Sleep pauses for a time, or until the context ends.
func Sleep(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
	case <-c.Done():
	}
}

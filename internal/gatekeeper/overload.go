package gatekeeper

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/reaper"
)

const (
	// minIdle is how long a connection must have been without a call to be closed for the sake of others.
	minIdle = time.Second
	// overloadInterval is the least time between two log lines about connections that were closed unread, and between two
	// searches for idle ones.
	overloadInterval = 200 * time.Millisecond
)

// overload records that callers open more connections than this instance can serve, and makes room for new ones. It is safe
// for concurrent use.
type overload struct {
	reaper *reaper.Reaper

	mu       sync.Mutex
	freedAt  time.Time
	loggedAt time.Time
	shed     int
}

func newOverload(r *reaper.Reaper) *overload {
	return &overload{reaper: r}
}

// closeIdle closes connections without a call.
func (o *overload) closeIdle() {
	o.mu.Lock()
	defer o.mu.Unlock()

	n := time.Now()
	if n.Sub(o.freedAt) < overloadInterval {
		return
	}

	o.freedAt = n

	if k := o.reaper.Expire(minIdle); k > 0 {
		logrus.WithFields(logrus.Fields{"event": "idleClosed", "connections": k}).Info()
	}
}

// recordShed counts and logs a connection that was closed unread.
func (o *overload) recordShed() {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.shed++

	if n := time.Now(); n.Sub(o.loggedAt) >= overloadInterval {
		o.loggedAt = n

		logrus.WithFields(logrus.Fields{"event": "connectionsShed", "connections": o.shed}).Warn()
	}
}

// count returns the number of connections that were closed unread.
func (o *overload) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.shed
}

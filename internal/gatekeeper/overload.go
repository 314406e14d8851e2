package gatekeeper

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// overloadInterval is the least time between two log lines about connections that were closed unread.
const overloadInterval = 200 * time.Millisecond

// overload records that clients open more connections than this instance can serve. It is safe for concurrent use.
type overload struct {
	mu       sync.Mutex
	loggedAt time.Time
	shed     int
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

// logEnded logs that connections were ended to make room for others. It is called a few times a second at the most.
func logEnded(n int) {
	logrus.WithFields(logrus.Fields{"event": "connectionsEnded", "connections": n}).Info()
}

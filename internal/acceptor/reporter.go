package acceptor

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Reason is why an Acceptor closed or ended a connection, for logs and metrics.
type Reason string

// The reasons.
const (
	// Shed means that a new connection was closed unread, as there were as many as may be open.
	Shed Reason = "shed"
	// Replaced means that a new connection took its place.
	Replaced Reason = "replaced"
	// Room means that it waited for its client while others found no room, and Memory that it did while there was too little memory.
	Room   Reason = "room"
	Memory Reason = "memory"
	// Stalled means that no byte of a body arrived, or none of an answer was taken, for longer than the limit.
	Stalled Reason = "stalled"
	// LongHead means that a head was too long, and HeadMemory that there was no memory for it.
	LongHead   Reason = "longHead"
	HeadMemory Reason = "headMemory"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{Shed, Replaced, Room, Memory, Stalled, LongHead, HeadMemory}
}

// reportInterval is the least time between two log lines with the same reason.
const reportInterval = 200 * time.Millisecond

// Reporter counts and logs the connections that Acceptors close or end. The Acceptors of a process share one. It is safe for concurrent
// use; a nil Reporter reports nothing.
type Reporter struct {
	mu       sync.Mutex
	counts   map[Reason]int
	loggedAt map[Reason]time.Time
}

// NewReporter returns a Reporter without any counts.
func NewReporter() *Reporter {
	return &Reporter{counts: make(map[Reason]int), loggedAt: make(map[Reason]time.Time)}
}

// Count returns the number of connections with a reason so far.
func (r *Reporter) Count(k Reason) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.counts[k]
}

// report counts n connections. A line is logged at most once in reportInterval, with the count so far.
func (r *Reporter) report(k Reason, n int) {
	if r == nil || n == 0 {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.counts[k] += n

	t := time.Now()
	if t.Sub(r.loggedAt[k]) < reportInterval {
		return
	}

	r.loggedAt[k] = t

	if k == Shed {
		logrus.WithFields(logrus.Fields{"event": "connectionsShed", "connections": r.counts[k]}).Warn()
	} else {
		logrus.WithFields(logrus.Fields{"event": "connectionsEnded", "reason": k, "connections": r.counts[k]}).Info()
	}
}

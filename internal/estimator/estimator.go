// Package estimator estimates how many instances share a limit that applies to all of them together.
//
// Load pattern: instances are killed in series, and data centres are cut off from each other. A process that has just
// started knows no other instance, and then those on its side of the cut. If it divided a limit by the number of those that
// it knows, the shares of all instances would exceed the limit.
//
// Every share that an instance computes without messages is divided by the estimate: the retry budget and the calls to
// cold and to brittle targets.
package estimator

import "time"

const (
	// settleTime is how long after its start an instance knows the other instances that it can reach: by then it has
	// received several gossip messages.
	settleTime = 3 * time.Second
	// retention is how long instances that have disappeared are still counted, since they may be on the other side of a
	// network partition and use their shares there. It is longer than most network partitions last.
	retention = time.Hour
)

// Estimator holds what was observed since the start of this process. It is not safe for concurrent use.
type Estimator struct {
	start time.Time
	// own is the data centre of this instance. unseen are the others of which no instance has been observed.
	own    string
	unseen map[string]bool
	// highest is the largest estimate, made or confirmed at highestAt.
	highest   int
	highestAt time.Time
}

// New returns an Estimator for an instance in the data centre own. The list centres has all data centres.
func New(start time.Time, own string, centres []string) *Estimator {
	e := &Estimator{start: start, own: own, unseen: make(map[string]bool)}

	for _, c := range centres {
		if c != own {
			e.unseen[c] = true
		}
	}

	return e
}

// Observe records the number of live instances by data centre, including this one, and the number of addresses at which
// others are configured to be. It must be called regularly, and not only when the estimate is needed, which may be after
// instances have disappeared.
func (e *Estimator) Observe(now time.Time, live map[string]int, seeds int) {
	n := 0

	for c, k := range live {
		n += k

		delete(e.unseen, c)
	}

	// A data centre of which nothing was seen may have as many instances as this one.
	n = max(n+len(e.unseen)*max(live[e.own], 1), seeds, 1)

	if n >= e.highest || now.Sub(e.highestAt) > retention {
		e.highest, e.highestAt = n, now
	}
}

// Instances returns the number of instances that share a limit, or zero while this process has not run long enough to
// know them.
func (e *Estimator) Instances(now time.Time) int {
	if !e.Settled(now) {
		return 0
	}

	return max(e.highest, 1)
}

// Settled reports whether this process has run long enough to know the other instances that it can reach.
func (e *Estimator) Settled(now time.Time) bool {
	return now.Sub(e.start) >= settleTime
}

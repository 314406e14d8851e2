// Package sharder decides when the customers of a group of targets are sharded, and assigns each customer
// its shard of the targets (shuffle sharding).
//
// A customer may keep sending new calls that crash targets. Each such call is quarantined after a few
// crashes, but that does not help against the next one: all targets crash again and again, and no
// customer is served. While targets crash one after the other, the calls of each customer are therefore
// sent to a subset of the targets only, its shard. A customer can then crash only its own shard, and
// every other customer has targets outside it.
package sharder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/hasher"
)

const (
	// crashWindow is the time for which a crash counts. Crashed targets restart within seconds, so that
	// sharding ends once all of them run again.
	crashWindow = 10 * time.Second
	// minCrashedFraction is the fraction of a group's targets that must have crashed in the window. With
	// fewer, the other targets have sufficient capacity for all customers.
	minCrashedFraction = 1.0 / 3
	// minCrashTimes is the number of distinct times at which they must have crashed, and minCrashSpacing
	// is the least time between two of these. A rack that loses power, or a call that is quarantined
	// after three crashes, is no reason for sharding.
	minCrashTimes   = 4
	minCrashSpacing = 500 * time.Millisecond
	// shardFraction is the fraction of a group's targets in a shard. Such a shard has sufficient capacity
	// for a customer with half of all calls, and overlaps with another customer's by only a third.
	shardFraction = 1.0 / 3
)

// Sharder records the crashes of targets. It is not safe for concurrent use.
type Sharder struct {
	// crashes are the times of crashes, by group and process.
	crashes map[string]map[discoverer.Key]time.Time
}

// New returns a Sharder without crashes.
func New() *Sharder {
	return &Sharder{crashes: make(map[string]map[discoverer.Key]time.Time)}
}

// RecordCrash records that the process of a target crashed while running a call. Repeated notifications of the
// same process have no effect.
func (s *Sharder) RecordCrash(now time.Time, t *discoverer.Target) {
	g, ok := s.crashes[t.Group]
	if !ok {
		g = make(map[discoverer.Key]time.Time)
		s.crashes[t.Group] = g
	}

	if _, ok := g[t.Key()]; !ok {
		g[t.Key()] = now
	}
}

// Sharded reports whether the customers of a group are sharded, given the group's number of targets.
func (s *Sharder) Sharded(now time.Time, group string, targets int) bool {
	g := s.crashes[group]
	if len(g) == 0 {
		return false
	}

	l := make([]time.Time, 0, len(g))

	for k, at := range g {
		if now.Sub(at) >= crashWindow {
			delete(g, k)

			continue
		}

		l = append(l, at)
	}

	return float64(len(l)) >= minCrashedFraction*float64(targets) && countSpaced(l) >= minCrashTimes
}

// countSpaced returns the number of times in l that are at least minCrashSpacing after the one counted
// before. It sorts l.
func countSpaced(l []time.Time) int {
	slices.SortFunc(l, time.Time.Compare)

	n := 0

	var last time.Time

	for _, t := range l {
		if n == 0 || t.Sub(last) >= minCrashSpacing {
			n++
			last = t
		}
	}

	return n
}

// Shard returns a customer's shard of the targets of a group, which is the same at every instance. It
// changes little when targets are added or removed.
func Shard(customer uint64, l []*discoverer.Target) []*discoverer.Target {
	o := slices.Clone(l)
	slices.SortFunc(o, func(a, b *discoverer.Target) int {
		return cmp.Compare(hasher.Score(customer, b.Rank(), 1), hasher.Score(customer, a.Rank(), 1))
	})

	return o[:int(math.Ceil(shardFraction*float64(len(o))))]
}

// Package sharder decides when the customers of a group of targets are sharded, and assigns each customer
// its shard of the targets (shuffle sharding).
//
// A customer may keep sending new calls that crash targets. Each such call is quarantined after a few
// crashes, but that does not help against the next one: all targets crash again and again, and no
// customer is served. While targets crash one after the other, the calls of each customer are therefore
// sent to a subset of the targets only, its shard. A customer can then crash only its own shard, and
// every other customer has targets outside it. The same applies to several such calls that arrive at once: each has to
// crash three targets before it is quarantined, which may be all of them.
//
// Crashes that a quarantined part of prompts explains are no reason for sharding, since no call with the part is sent any
// more, unless several such parts were found: then new ones are to be expected.
package sharder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
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
	// minRepeatedCrashes is the number of repeated crashes at which sharding starts without minCrashTimes, if
	// minRepeatedFraction of the targets have crashed. A single call has two of them before it is quarantined, and
	// targets that lose power together have none.
	minRepeatedCrashes  = 3
	minRepeatedFraction = 1.0 / 5
	// minRepeatedShard is the size of a shard below which that does not apply: all targets of a customer's small shard
	// crash too often, and the customer is refused while others run.
	minRepeatedShard = 6
	// maxKnownCauses is the number of quarantined parts whose crashes do not count. Those of more parts do.
	maxKnownCauses = 2
	// shardFraction is the fraction of a group's targets in a shard. Such a shard has sufficient capacity
	// for a customer with half of all calls, and overlaps with another customer's by only a third.
	shardFraction = 1.0 / 3
)

// crash is the crash of one process.
type crash struct {
	at time.Time
	// repeated reports whether a call was running there that had been running at the crash of another process.
	repeated bool
}

// Sharder records the crashes of targets. It is not safe for concurrent use.
type Sharder struct {
	// crashes are the crashes by group and process.
	crashes map[string]map[discoverer.Key]crash
}

// New returns a Sharder without crashes.
func New() *Sharder {
	return &Sharder{crashes: make(map[string]map[discoverer.Key]crash)}
}

// RecordCrash records that the process of a target crashed while running a call, and whether that call was suspected
// already, see quarantiner.Verdict.Repeated. Further notifications of the same process change only that.
func (s *Sharder) RecordCrash(now time.Time, t *discoverer.Target, repeated bool) {
	g, ok := s.crashes[t.Group]
	if !ok {
		g = make(map[discoverer.Key]crash)
		s.crashes[t.Group] = g
	}

	c, ok := g[t.Key()]
	if !ok {
		c.at = now
	}

	c.repeated = c.repeated || repeated
	g[t.Key()] = c
}

// Sharded reports whether the customers of a group are sharded, given the group's number of targets and a function that returns
// the quarantined part which explains the crash of a process, or zero.
func (s *Sharder) Sharded(now time.Time, group string, targets int, causeOf func(k discoverer.Key) digester.Digest) bool {
	g := s.crashes[group]
	if len(g) == 0 {
		return false
	}

	causes := make(map[digester.Digest]bool)

	for k, c := range g {
		if now.Sub(c.at) >= crashWindow {
			delete(g, k)
		} else if d := causeOf(k); d != 0 {
			causes[d] = true
		}
	}

	l := make([]time.Time, 0, len(g))
	repeated := 0

	for k, c := range g {
		if len(causes) <= maxKnownCauses && causeOf(k) != 0 {
			continue
		}

		l = append(l, c.at)

		if c.repeated {
			repeated++
		}
	}

	crashed := float64(len(l)) / float64(targets)

	return repeated >= minRepeatedCrashes && crashed >= minRepeatedFraction && shardSize(targets) >= minRepeatedShard ||
		crashed >= minCrashedFraction && countSpaced(l) >= minCrashTimes
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

	return o[:shardSize(len(o))]
}

// shardSize returns the number of targets in a shard of a group.
func shardSize(targets int) int {
	return int(math.Ceil(shardFraction * float64(targets)))
}

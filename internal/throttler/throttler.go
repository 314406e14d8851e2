// Package throttler limits the rate of calls that an instance sends to a cold target: a process that has
// just started, or has lost its caches, and crashes when it gets calls far above its sustainable rate.
//
// Load pattern: half of the engines restart together while callers send twice the usual load. All instances
// see the same idle targets and send their calls there, so that within a second each target gets several
// times its sustainable rate. The limit applies to all instances together, and within that second they can
// neither coordinate nor rely on their information about each other.
//
// Each instance therefore has a share of the rate that it computes without messages: several calls per second
// if there are few instances; and if there are many, one call per second at a few of the instances, which are
// selected for each target by a hash, and none at the others.
package throttler

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/hasher"
)

// Settings bound the calls per second that reach a cold target, relative to its sustainable rate.
type Settings struct {
	// Coverage is the multiple of the rate that is allowed, and Slack a number of calls allowed in
	// addition. Shares don't use the slack, see Share.
	Coverage, Slack float64
}

// DefaultSettings returns the settings for a platform that configures none: the rate itself without slack.
func DefaultSettings() Settings {
	return Settings{Coverage: 1}
}

// Fleet is an instance's information about all instances.
type Fleet struct {
	// Self is the instance's own ID, and Live are the IDs of the live instances including its own.
	Self uint64
	Live []uint64
	// MaxInstances is the largest number of instances seen over a longer time. Those missing since may be on the
	// other side of a network partition and use their shares there.
	MaxInstances int
	// Settled reports that the instance has run long enough to know the others.
	Settled bool
}

// window is the time for which a call counts: the second to which the rate applies, plus 200 ms, by which the
// interval between two calls may shrink on the way to the target.
const window = time.Second + 200*time.Millisecond

// Throttler counts the calls that this instance sends to cold targets. It is not safe for concurrent use.
type Throttler struct {
	settings Settings
	// sent are the times of the calls in the last window, in ascending order.
	sent map[discoverer.Key][]time.Time
	// shares caches this instance's shares for shareLifetime.
	shares map[discoverer.Key]share
}

// share is an instance's share of the calls to a process, with the time of its computation.
type share struct {
	calls      int
	computedAt time.Time
}

// shareLifetime is how long a computed share is used. The computation hashes the ID of each live instance,
// and while hundreds of targets are cold, each call requires the shares of all of them.
const shareLifetime = time.Second

// New returns a Throttler without calls.
func New(s Settings) *Throttler {
	return &Throttler{settings: s, sent: make(map[discoverer.Key][]time.Time), shares: make(map[discoverer.Key]share)}
}

// Set replaces the settings and recomputes the shares with them.
func (t *Throttler) Set(s Settings) {
	t.settings = s
	clear(t.shares)
}

// Allow reports whether a call may be sent now to a cold process with a sustainable rate in calls per
// second. It calls f only if the share must be computed.
func (t *Throttler) Allow(now time.Time, k discoverer.Key, rate float64, f func() Fleet) bool {
	x, ok := t.shares[k]
	if !ok || now.Sub(x.computedAt) >= shareLifetime {
		x = share{calls: t.settings.Share(k, rate, f()), computedAt: now}
		t.shares[k] = x
	}

	return t.count(now, k) < x.calls
}

// RecordSent records that a call is sent to a cold process.
func (t *Throttler) RecordSent(now time.Time, k discoverer.Key) {
	t.count(now, k)
	t.sent[k] = append(t.sent[k], now)
}

// Forget drops the calls and the share of a process.
func (t *Throttler) Forget(k discoverer.Key) {
	delete(t.sent, k)
	delete(t.shares, k)
}

// count returns the number of calls sent to a process in the last window, and drops earlier ones.
func (t *Throttler) count(now time.Time, k discoverer.Key) int {
	l := t.sent[k]

	i := 0
	for i < len(l) && now.Sub(l[i]) >= window {
		i++
	}

	if l = l[i:]; len(l) == 0 {
		delete(t.sent, k)
	} else {
		t.sent[k] = l
	}

	return len(l)
}

// Share returns the number of calls per second that an instance may send to a cold process with a
// sustainable rate in calls per second.
//
// The sum of all shares is at most the rate times Coverage. Slack is not distributed: it is reserved for
// instances that don't know yet that the target is cold. In a partitioned fleet, each side uses a part of the
// rate in proportion to its size. An instance that has just started knows no others and would consider itself
// the only one; its share is zero.
func (s Settings) Share(k discoverer.Key, rate float64, f Fleet) int {
	if !f.Settled {
		return 0
	}

	total := rate * s.Coverage
	instances := max(f.MaxInstances, len(f.Live), 1)

	if n := int(total / float64(instances)); n > 0 {
		return n
	}

	if f.rank(k) < int(total*float64(len(f.Live))/float64(instances)) {
		return 1
	}

	return 0
}

// rank returns the number of live instances before this one in the rendezvous order of a process.
func (f Fleet) rank(k discoverer.Key) int {
	own := hasher.Score(uint64(k), f.Self, 1)
	o := 0

	for _, id := range f.Live {
		if id != f.Self && hasher.Score(uint64(k), id, 1) > own {
			o++
		}
	}

	return o
}

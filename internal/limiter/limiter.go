// Package limiter limits the calls to brittle targets: targets that crash when they have to refuse more than a few
// calls a second for want of space in their queues.
//
// Load pattern: all targets of a service say in their answers that they are brittle, and then let fewer calls wait
// than before, while callers send more than the service can run. All instances see the same targets with space, and
// the calls that they send there at the same moment are refused. The limit of refusals applies to all instances
// together.
//
// Each instance therefore has a share of the calls that a target is known to accept, which it computes without messages.
// It sends calls beyond its share only if one instance counts the calls at the target, or as explorations, which may
// cause a share of the refusals up to the limit. Refusals are told to all instances, which then send no calls to the
// target for a moment.
package limiter

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/throttler"
)

const (
	// brittleFor is how long the targets of a group count as brittle after the last answer that said so, and soundAfter
	// that time from an answer that did not. Answers of the time before may arrive late.
	brittleFor = 10 * time.Second
	soundAfter = 500 * time.Millisecond
	// exploredFraction is the fraction of the limit of refusals that calls beyond the known capacity may cause. The
	// rest is left for calls that instances send at the same moment.
	exploredFraction = 0.5
	// refusalWindow is the time for which a refusal counts: the second to which the limit applies, and 200 ms by which
	// the interval between two refusals may shrink on the way.
	refusalWindow = time.Second + 200*time.Millisecond
	// exploreBackoff is how long after a refusal no instance explores whether the target accepts more calls than are
	// known.
	exploreBackoff = 5 * time.Second
	// shareLifetime is how long a computed share is used. The computation hashes the ID of each live instance.
	shareLifetime = time.Second
)

// Verdict is whether a call may be sent to a target.
type Verdict int

// The verdicts.
const (
	// Free means that the target accepts the call.
	Free Verdict = iota
	// Counted means that the target accepts the call if an instance that counts its calls finds that it has room.
	Counted
	// Explore means that the target is not known to accept the call, and that this instance may find out.
	Explore
	// Blocked means that the call must not be sent to the target.
	Blocked
)

// group is a group whose targets are brittle.
type group struct {
	// limit is the number of refusals in a second from which a target crashes.
	limit int
	until time.Time
}

// target is what is known of the process of a brittle target.
type target struct {
	group string
	// capacity is the number of calls, running and waiting, that the target is known to accept; zero until one more
	// than its slots was accepted or a call was refused.
	capacity int
	// refused are the times of the refusals in the last refusalWindow, by all instances, in ascending order.
	refused []time.Time
	// lastRefused is the time of the last refusal.
	lastRefused time.Time
	// share is the number of calls that this instance may always have at the target, computed at sharedAt.
	share    int
	sharedAt time.Time
}

// Limiter holds what is known of brittle targets. It is not safe for concurrent use.
type Limiter struct {
	throttler *throttler.Throttler
	groups    map[string]group
	targets   map[discoverer.Key]*target
}

// New returns a Limiter that knows of no brittle target.
func New() *Limiter {
	return &Limiter{
		throttler: throttler.New(throttler.Settings{Coverage: exploredFraction}),
		groups:    make(map[string]group), targets: make(map[discoverer.Key]*target),
	}
}

// RecordBrittle records that a target of a group has said that it is brittle and crashes when it refuses more than limit
// calls in a second.
func (l *Limiter) RecordBrittle(now time.Time, name string, limit int) {
	l.groups[name] = group{limit: limit, until: now.Add(brittleFor)}
}

// RecordSound records that a target of a group has answered without saying that it is brittle.
func (l *Limiter) RecordSound(now time.Time, name string) {
	g, ok := l.groups[name]
	if e := now.Add(soundAfter); ok && g.until.After(e) {
		g.until = e
		l.groups[name] = g
	}
}

// Brittle reports whether the targets of a group are brittle. It drops what is known of them when they no longer are.
func (l *Limiter) Brittle(now time.Time, name string) bool {
	g, ok := l.groups[name]
	if !ok || !now.After(g.until) {
		return ok
	}

	delete(l.groups, name)

	for k, x := range l.targets {
		if x.group == name {
			l.Forget(k)
		}
	}

	return false
}

// RecordAccepted records that a target has accepted a call with which it had the given number of calls.
func (l *Limiter) RecordAccepted(t *discoverer.Target, calls int) {
	x := l.target(t)
	x.capacity = max(x.capacity, calls)
}

// RecordRefused records that a target with the given number of calls has refused one more, to this instance or another.
func (l *Limiter) RecordRefused(now time.Time, t *discoverer.Target, calls int) {
	x := l.target(t)
	x.capacity = max(calls, 1)
	x.expire(now)
	x.refused = append(x.refused, now)
	x.lastRefused = now
	x.sharedAt = time.Time{} // The capacity has changed.
}

// Admit decides whether a call may be sent to a target of a brittle group that has the given load, of which own are
// calls of this instance. It calls f only if a share of this instance must be computed.
func (l *Limiter) Admit(now time.Time, t *discoverer.Target, load float64, own int, f func() throttler.Fleet) Verdict {
	x := l.target(t)
	x.expire(now)

	limit, c := l.groups[t.Group].limit, l.Capacity(t)
	quiet := now.Sub(x.lastRefused)

	switch {
	case len(x.refused) > 0 && float64(len(x.refused)) >= exploredFraction*float64(limit):
		return Blocked
	case own < x.shareOf(now, t.Key(), c, f):
		return Free
	case load+1 <= float64(c) && quiet >= refusalWindow && l.throttler.Allow(now, t.Key(), float64(limit), f):
		return Explore
	case load+1 <= float64(c):
		return Counted
	case quiet >= exploreBackoff && l.throttler.Allow(now, t.Key(), float64(limit), f):
		return Explore
	default:
		return Blocked
	}
}

// shareOf returns the number of calls that this instance may always have at a target with a capacity.
func (x *target) shareOf(now time.Time, k discoverer.Key, capacity int, f func() throttler.Fleet) int {
	if now.Sub(x.sharedAt) >= shareLifetime {
		x.share, x.sharedAt = wholeShare.Share(k, float64(capacity), f()), now
	}

	return x.share
}

// wholeShare distributes the whole capacity of a target over the instances.
var wholeShare = throttler.Settings{Coverage: 1} //nolint:gochecknoglobals // A constant.

// RecordExplored records that a call is sent to a target although that is not known to accept it.
func (l *Limiter) RecordExplored(now time.Time, k discoverer.Key) {
	l.throttler.RecordSent(now, k)
}

// Capacity returns the number of calls that a target of a brittle group is known to accept; at least one.
func (l *Limiter) Capacity(t *discoverer.Target) int {
	if x, ok := l.targets[t.Key()]; ok && x.capacity > 0 {
		return x.capacity
	}

	return max(t.Slots, 1)
}

// Forget drops what is known of a process.
func (l *Limiter) Forget(k discoverer.Key) {
	delete(l.targets, k)
	l.throttler.Forget(k)
}

func (l *Limiter) target(t *discoverer.Target) *target {
	x, ok := l.targets[t.Key()]
	if !ok {
		x = &target{group: t.Group}
		l.targets[t.Key()] = x
	}

	return x
}

// expire drops the refusals that no longer count.
func (x *target) expire(now time.Time) {
	i := 0
	for i < len(x.refused) && now.Sub(x.refused[i]) >= refusalWindow {
		i++
	}

	x.refused = x.refused[i:]
}

// Package budgeter limits the repeated attempts of an instance to its share of the fleet's
// budget.
//
// Load pattern: targets fail, all instances repeat their calls at the same time, and meanwhile instances are killed and
// start again in series, some of them cut off from the others. The budget applies to all instances together in any
// window, while a process that has started knows nothing of what its predecessor has spent.
//
// Each instance therefore earns its budget: a part of a repeat with each call that it gets, and a share of the slack as time
// passes. A process begins with nothing, so that a restart grants nothing. What an instance has saved when targets begin to
// fail is limited, so that all instances together stay within the budget whatever they saved before.
package budgeter

import (
	"math/rand/v2"
	"time"
)

// Settings bounds the repeats of the whole fleet to one group of targets.
type Settings struct {
	// Ratio is the number of repeats allowed per call.
	Ratio float64
	// Window is the sliding window over which calls and repeats are counted.
	Window time.Duration
	// Slack is the number of additional repeats per window, for all instances together.
	Slack float64
}

const (
	// earnedFraction is the fraction of the budget that an instance earns, and savedFraction the fraction of a window's
	// budget that it may have saved. Their sum is what all instances can spend in a window. The remainder is the margin
	// for repeats that arrive later than they are sent.
	earnedFraction = 0.5
	savedFraction  = 0.4
	// bucketCount is the number of buckets of a window.
	bucketCount = 10
)

type bucket struct {
	index int64
	calls int
}

// account holds the calls to one group, by index modulo the number of buckets, and the repeats that were earned and
// not spent.
type account struct {
	buckets [bucketCount]bucket
	balance float64
	// credited is until when the share of the slack was earned.
	credited time.Time
}

// Budgeter counts calls and repeats by group. It is not safe for concurrent use.
type Budgeter struct {
	settings Settings
	start    time.Time
	random   *rand.Rand
	accounts map[string]*account
}

// New returns a Budgeter that has earned nothing. Its buckets are aligned to the start time.
func New(s Settings, start time.Time, r *rand.Rand) *Budgeter {
	return &Budgeter{settings: s, start: start, random: r, accounts: make(map[string]*account)}
}

// Set replaces the settings. A change of the window resets the counts of calls, since the buckets of
// the previous window have another duration. What was spent remains spent.
func (b *Budgeter) Set(s Settings) {
	if s.Window != b.settings.Window {
		for _, a := range b.accounts {
			a.buckets = [bucketCount]bucket{}
		}
	}

	b.settings = s
}

// RecordCall counts a call to a group.
func (b *Budgeter) RecordCall(now time.Time, group string) {
	a := b.account(group)
	i := b.index(now)
	x := &a.buckets[i%bucketCount]

	if x.index != i {
		*x = bucket{index: i}
	}

	x.calls++
	a.balance += earnedFraction * b.settings.Ratio
}

// TryRepeat reports whether the budget, shared by the given number of instances, allows another
// repeat, and counts it if so. The number is zero while it is unknown; there is then no share of the slack.
//
// A share of less than one repeat is drawn: with hundreds of instances and few calls, the shares would otherwise all be
// lost.
func (b *Budgeter) TryRepeat(now time.Time, group string, instances int) bool {
	a := b.account(group)
	n := b.settle(now, a, instances)

	switch {
	case a.balance >= 1:
		a.balance--

		return true
	case n < 1:
		p := a.balance
		a.balance = 0

		return b.random.Float64() < p
	default:
		return false
	}
}

// Usage returns how many calls of this instance to a group are counted in the window, and how many repeats it may make.
func (b *Budgeter) Usage(now time.Time, group string, instances int) (calls int, balance float64) {
	a := b.account(group)
	b.settle(now, a, instances)

	return b.calls(now, a), a.balance
}

// settle adds the share of the slack that was earned since the last time, and removes what exceeds the limit of an account.
// It returns that limit.
func (b *Budgeter) settle(now time.Time, a *account, instances int) float64 {
	s := 0.0
	if instances > 0 {
		s = b.settings.Slack / float64(instances)
	}

	windows := float64(max(now.Sub(a.credited), 0)) / float64(max(b.settings.Window, 1))
	n := savedFraction * (b.settings.Ratio*float64(b.calls(now, a)) + s)

	a.credited = now
	a.balance = min(a.balance+earnedFraction*s*windows, n)

	return n
}

// account returns the account of a group.
func (b *Budgeter) account(group string) *account {
	a, ok := b.accounts[group]
	if !ok {
		a = &account{credited: b.start}
		b.accounts[group] = a
	}

	return a
}

func (b *Budgeter) index(now time.Time) int64 {
	return int64(now.Sub(b.start) / max(b.settings.Window/bucketCount, 1))
}

// calls returns the calls of an account in the window that ends now.
func (b *Budgeter) calls(now time.Time, a *account) int {
	i, o := b.index(now), 0

	for _, x := range a.buckets {
		if x.index > i-bucketCount {
			o += x.calls
		}
	}

	return o
}

// Package budgeter limits the repeated attempts of an instance to its share of the fleet's
// budget.
package budgeter

import "time"

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
	// usableFraction is the fraction of the budget that is used. The remainder is the margin
	// for instances that fail after having counted calls, and for the resolution of the
	// sliding window.
	usableFraction = 0.7
	// bucketCount is the number of buckets of a window.
	bucketCount = 10
)

type bucket struct {
	index   int64
	calls   int
	repeats int
}

// window holds the buckets of one group, by index modulo their number.
type window struct {
	buckets [bucketCount]bucket
}

// Budgeter counts calls and repeats by group. It is not safe for concurrent use.
type Budgeter struct {
	settings Settings
	start    time.Time
	windows  map[string]*window
}

// New returns a Budgeter whose buckets are aligned to the start time.
func New(s Settings, start time.Time) *Budgeter {
	return &Budgeter{settings: s, start: start, windows: make(map[string]*window)}
}

// Set replaces the settings. A change of the window resets the counts, since the buckets of
// the previous window have another duration.
func (b *Budgeter) Set(s Settings) {
	if s.Window != b.settings.Window {
		clear(b.windows)
	}

	b.settings = s
}

// RecordCall counts a call to a group.
func (b *Budgeter) RecordCall(now time.Time, group string) {
	b.currentBucket(now, group).calls++
}

// TryRepeat reports whether the budget, shared by the given number of instances, allows another
// repeat, and counts it if so.
//
// When targets fail, all instances would repeat calls at the same time and multiply the load
// on the remaining targets. Each instance is limited by its own calls and its share of the
// slack, so that instances need no coordination, and the share of a failed instance remains
// unused.
func (b *Budgeter) TryRepeat(now time.Time, group string, instances int) bool {
	if !b.CanRepeat(now, group, instances) {
		return false
	}

	b.currentBucket(now, group).repeats++

	return true
}

// CanRepeat reports whether the budget allows another repeat, without counting it.
func (b *Budgeter) CanRepeat(now time.Time, group string, instances int) bool {
	c, r := b.sum(now, group)
	n := usableFraction * (b.settings.Ratio*float64(c) + b.settings.Slack/float64(max(instances, 1)))

	return float64(r+1) <= n
}

// Usage returns how many calls and repeats of this instance count towards the budget of a group.
func (b *Budgeter) Usage(now time.Time, group string) (calls, repeats int) {
	return b.sum(now, group)
}

func (b *Budgeter) index(now time.Time) int64 {
	return int64(now.Sub(b.start) / max(b.settings.Window/bucketCount, 1))
}

// currentBucket returns the bucket of a group for the present time.
func (b *Budgeter) currentBucket(now time.Time, group string) *bucket {
	a, ok := b.windows[group]
	if !ok {
		a = &window{}
		b.windows[group] = a
	}

	i := b.index(now)
	x := &a.buckets[i%bucketCount]

	if x.index != i {
		*x = bucket{index: i}
	}

	return x
}

// sum returns the calls and repeats to a group in the window that ends now.
func (b *Budgeter) sum(now time.Time, group string) (calls, repeats int) {
	a, ok := b.windows[group]
	if !ok {
		return 0, 0
	}

	i := b.index(now)

	for _, x := range a.buckets {
		if x.index > i-bucketCount {
			calls += x.calls
			repeats += x.repeats
		}
	}

	return calls, repeats
}

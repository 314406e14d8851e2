// Package budgeter holds an instance's part of the fleet's budget for sending
// calls again.
package budgeter

import "time"

// Settings bounds the repeats of the whole fleet towards one group of targets.
type Settings struct {
	// Ratio is how many repeats there may be for each call.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Slack is how many repeats there may be besides, for all instances together.
	Slack float64
}

const (
	// reserve is the part of the budget that is used. The rest covers the
	// instances that were lost with calls counted, and windows that slide.
	reserve = 0.7
	// buckets is how many parts a window is counted in.
	buckets = 10
)

type bucket struct {
	index   int64
	calls   int
	repeats int
}

type account struct {
	buckets [buckets]bucket
}

// Budgeter counts calls and repeats by group. It is not safe for concurrent use.
type Budgeter struct {
	settings Settings
	start    time.Time
	accounts map[string]*account
}

// New returns a Budgeter that counts from a time on.
func New(s Settings, start time.Time) *Budgeter {
	return &Budgeter{settings: s, start: start, accounts: make(map[string]*account)}
}

// Set replaces the settings. Another window begins its counts anew: those of the
// old one do not fit its buckets.
func (b *Budgeter) Set(s Settings) {
	if s.Window != b.settings.Window {
		clear(b.accounts)
	}

	b.settings = s
}

// Call counts a call towards a group.
func (b *Budgeter) Call(now time.Time, group string) {
	b.at(now, group).calls++
}

// Repeat says whether one more repeat fits when so many instances share the
// budget, and counts it if so.
//
// When targets fail, every instance wants to send again at the same moment; the
// load on those that are left would multiply. Each instance holds to its own
// calls and its part of the slack, so no agreement is needed, and instances that
// are lost take their part with them.
func (b *Budgeter) Repeat(now time.Time, group string, instances int) bool {
	if !b.Room(now, group, instances) {
		return false
	}

	b.at(now, group).repeats++

	return true
}

// Room says whether one more repeat fits, and does not count it.
func (b *Budgeter) Room(now time.Time, group string, instances int) bool {
	c, r := b.sum(now, group)
	n := reserve * (b.settings.Ratio*float64(c) + b.settings.Slack/float64(max(instances, 1)))

	return float64(r+1) <= n
}

func (b *Budgeter) index(now time.Time) int64 {
	return int64(now.Sub(b.start) / max(b.settings.Window/buckets, 1))
}

// at returns the bucket of the present.
func (b *Budgeter) at(now time.Time, group string) *bucket {
	a, ok := b.accounts[group]
	if !ok {
		a = &account{}
		b.accounts[group] = a
	}

	i := b.index(now)
	x := &a.buckets[i%buckets]

	if x.index != i {
		*x = bucket{index: i}
	}

	return x
}

// sum returns the calls and repeats of the window that ends now.
func (b *Budgeter) sum(now time.Time, group string) (calls, repeats int) {
	a, ok := b.accounts[group]
	if !ok {
		return 0, 0
	}

	i := b.index(now)

	for _, x := range a.buckets {
		if x.index > i-buckets {
			calls += x.calls
			repeats += x.repeats
		}
	}

	return calls, repeats
}

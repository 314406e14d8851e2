package budgeter_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/budgeter"
)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

var settings = budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}

// Guards against a retry storm that keeps a service down after a short failure: all
// instances repeat every call at the same time. For forty seconds all calls of six instances
// with uneven shares fail; in no window may the fleet send more repeats than its budget.
func TestFleetStaysWithinBudget(t *testing.T) {
	is := is.New(t)
	b := time.Unix(0, 0)
	r := rand.New(rand.NewPCG(1, 2))

	var l []*budgeter.Budgeter
	for range 6 {
		l = append(l, budgeter.New(settings, b, r))
	}

	type event struct {
		at     time.Time
		repeat bool
	}

	var all []event

	for ms := range 40000 {
		n := b.Add(time.Duration(ms) * time.Millisecond)

		// A surge in the second quarter.
		p := 0.05
		if ms > 10000 && ms < 20000 {
			p = 0.3
		}

		if r.Float64() > p {
			continue
		}

		x := l[min(r.IntN(8), 5)]
		x.RecordCall(n, "g")

		all = append(all, event{at: n})
		if x.TryRepeat(n, "g", len(l)) {
			all = append(all, event{at: n, repeat: true})
		}
	}

	repeats := 0

	for i := range all {
		calls, again := 0, 0

		for _, e := range all[i:] {
			if e.at.Sub(all[i].at) >= settings.Window {
				break
			}

			if e.repeat {
				again++
			} else {
				calls++
			}
		}

		repeats = max(repeats, again)
		is.True(float64(again) <= settings.Ratio*float64(calls)+settings.Slack)
	}

	is.True(repeats > 100) // The budget is used, not only respected.
}

// repeats returns how many repeats a budget allows at once.
func repeats(b *budgeter.Budgeter, now time.Time, group string, instances int) int {
	n := 0
	for b.TryRepeat(now, group, instances) {
		n++
	}

	return n
}

func TestRepeatWithoutCalls(t *testing.T) {
	for name, x := range map[string]struct {
		instances int
		at        time.Duration
		want      int
	}{
		"six instances share the slack":                   {6, 10 * time.Second, 3},
		"the share is earned over time":                   {6, 3 * time.Second, 1},
		"no more is saved than a part of a window's":      {6, time.Hour, 3},
		"one instance":                                    {1, 10 * time.Second, 20},
		"an unknown number of instances shares nothing":   {0, time.Hour, 0},
		"a process that has just started may not repeat":  {6, 0, 0},
		"shares are small in a fleet of unlimited length": {math.MaxInt, 10 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := budgeter.New(settings, time.Unix(0, 0), random())
			is.New(t).Equal(repeats(b, time.Unix(0, 0).Add(x.at), "g", x.instances), x.want)
		})
	}
}

// Guards against shares that are all lost because none is a whole repeat.
func TestSharesOfLessThanOneRepeat(t *testing.T) {
	is := is.New(t)
	r := random()
	n := 0

	const instances = 380

	for range instances {
		n += repeats(budgeter.New(settings, time.Unix(0, 0), r), time.Unix(10, 0), "g", instances)
	}

	is.True(n > 0)
	is.True(float64(n) <= settings.Slack)
}

func TestGroupsHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	n := time.Unix(10, 0)
	b := budgeter.New(settings, time.Unix(0, 0), random())

	is.True(repeats(b, n, "a", 6) > 0)
	is.True(repeats(b, n, "b", 6) > 0)
	is.Equal(repeats(b, n.Add(time.Second), "a", 6), 0)
	is.True(repeats(b, n.Add(11*time.Second), "a", 6) > 0)
}

// Guards against a budget that is granted again when the settings change.
func TestNewWindowGrantsNothing(t *testing.T) {
	is := is.New(t)
	n := time.Unix(10, 0)
	b := budgeter.New(settings, time.Unix(0, 0), random())

	for range 100 {
		b.RecordCall(n, "g")
	}

	is.True(repeats(b, n, "g", 6) > 0)

	s := settings
	s.Window *= 2
	b.Set(s)
	is.Equal(repeats(b, n, "g", 6), 0)
}

// Guards against a division by zero for windows so short that a bucket lasts 0 ns. The first
// call panicked, and all later ones waited for the lock that it held.
func TestWindowShorterThanBuckets(t *testing.T) {
	now := time.Unix(0, 0)
	b := budgeter.New(budgeter.Settings{Ratio: 0.2, Window: time.Nanosecond, Slack: 100}, now, random())
	b.RecordCall(now.Add(time.Second), "g")
	is.New(t).True(b.TryRepeat(now.Add(time.Second), "g", 1))
}

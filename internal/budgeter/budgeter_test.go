package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/budgeter"
)

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
		l = append(l, budgeter.New(settings, b))
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

func TestRepeatWithoutCalls(t *testing.T) {
	for name, x := range map[string]struct {
		instances, want int
	}{
		"six instances share the slack":           {6, 6},
		"share of seventy instances is too small": {70, 0},
		"zero instances count as one":             {0, 36},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := budgeter.New(settings, time.Unix(0, 0))
			n := 0

			for b.TryRepeat(time.Unix(1, 0), "g", x.instances) {
				n++
			}

			is.Equal(n, x.want)
		})
	}
}

func TestGroupsHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	n := time.Unix(1, 0)
	b := budgeter.New(settings, time.Unix(0, 0))

	for b.TryRepeat(n, "a", 6) {
	}

	is.True(b.TryRepeat(n, "b", 6))
	is.True(!b.TryRepeat(n.Add(9*time.Second), "a", 6))
	is.True(b.TryRepeat(n.Add(11*time.Second), "a", 6))
}

// Guards against a division by zero for windows so short that a bucket lasts 0 ns. The first
// call panicked, and all later ones waited for the lock that it held.
func TestWindowShorterThanBuckets(t *testing.T) {
	now := time.Unix(0, 0)
	b := budgeter.New(budgeter.Settings{Ratio: 0.2, Window: time.Nanosecond, Slack: 100}, now)
	b.RecordCall(now.Add(time.Second), "g")
	is.New(t).True(b.TryRepeat(now.Add(time.Second), "g", 1))
}

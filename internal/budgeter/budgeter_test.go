package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/budgeter"
)

var settings = budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}

// A user would see a service that is down for a moment stay down: all instances
// send every call again at the same time. Here all calls of six instances, with
// uneven shares, fail and want a repeat for forty seconds; in no window may the
// fleet send more repeats than its budget.
func TestFleetKeepsTheBudgetInEveryWindow(t *testing.T) {
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
		x.Call(n, "g")

		all = append(all, event{at: n})
		if x.Repeat(n, "g", len(l)) {
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

	is.True(repeats > 100) // The budget is used and not only kept.
}

func TestRepeatWithoutCalls(t *testing.T) {
	for name, x := range map[string]struct {
		instances, want int
	}{
		"six share the slack":     {6, 6},
		"seventy have none alone": {70, 0},
		"nobody is one":           {0, 36},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := budgeter.New(settings, time.Unix(0, 0))
			n := 0

			for b.Repeat(time.Unix(1, 0), "g", x.instances) {
				n++
			}

			is.Equal(n, x.want)
		})
	}
}

func TestGroupsDoNotShare(t *testing.T) {
	is := is.New(t)
	n := time.Unix(1, 0)
	b := budgeter.New(settings, time.Unix(0, 0))

	for b.Repeat(n, "a", 6) {
	}

	is.True(b.Repeat(n, "b", 6))
	is.True(!b.Repeat(n.Add(9*time.Second), "a", 6))
	is.True(b.Repeat(n.Add(11*time.Second), "a", 6))
}

// A window so short that a part of it is no time at all made the first call panic with a
// division by zero, and every later one wait for the lock that it had held.
func TestWindowOfNoTime(t *testing.T) {
	now := time.Unix(0, 0)
	b := budgeter.New(budgeter.Settings{Ratio: 0.2, Window: time.Nanosecond, Slack: 100}, now)
	b.Call(now.Add(time.Second), "g")
	is.New(t).True(b.Repeat(now.Add(time.Second), "g", 1))
}

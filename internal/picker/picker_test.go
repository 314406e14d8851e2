package picker_test

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburntray/auburntray/internal/picker"
)

// A fixed seed makes random tests draw the same values in each run.
func init() { _ = flag.Set("rapid.seed", "1") }

func candidates(loads ...float64) []picker.Candidate {
	c := make([]picker.Candidate, len(loads))
	for i, l := range loads {
		c[i] = picker.Candidate{ID: uint32(i + 1), Weight: 50, Load: l, Counted: true}
	}

	return c
}

func TestPick(t *testing.T) {
	unavailable := func(c []picker.Candidate, i int) []picker.Candidate {
		c[i].Unavailable = true

		return c
	}

	for name, tc := range map[string]struct {
		candidates []picker.Candidate
		request    picker.Request
		want       int
	}{
		"a chat returns to its placement":                {candidates(20, 20, 20), picker.Request{Placement: 1}, 1},
		"a placement beyond the bound is not used":       {candidates(20, 30, 19), picker.Request{Placement: 1}, 2},
		"a new chat is assigned to the least loaded":     {candidates(22, 20, 18), picker.Request{Placement: -1}, 2},
		"an unavailable placement is skipped":            {unavailable(candidates(20, 10, 20), 1), picker.Request{Placement: 1, Chat: 1}, 0},
		"an idle fleet accepts the first request":        {candidates(0, 0, 0), picker.Request{Placement: 2}, 2},
		"no target is selected when all are unavailable": {unavailable(candidates(1), 0), picker.Request{Placement: -1}, picker.NoTarget},
		"the mean includes the pool's other cells":       {candidates(30, 20), picker.Request{Placement: 0, OtherLoad: 300, OtherWeight: 500}, 0},
		"other cells can put a placement out of bounds":  {candidates(30, 20), picker.Request{Placement: 0, OtherLoad: 100, OtherWeight: 500}, 1},
		"the excess is limited to one request":           {candidates(30, 29), picker.Request{Placement: -1, OtherLoad: 1, OtherWeight: 5000}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			tc.request.Work, tc.request.PlacementWork = 1, 1
			i.Equal(picker.Pick(picker.DefaultSettings(), tc.request, tc.candidates), tc.want)
		})
	}
}

// Guards against overloaded engines, which generate tokens slowly for all their chats. For
// any loads, the selected target is within the bound after the selection, unless every
// available target is beyond it.
func TestPickEnforcesBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := picker.DefaultSettings()
		c := candidates(rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "loads")...)
		r := picker.Request{
			Chat: rapid.Uint64().Draw(t, "chat"), Customer: rapid.Uint32().Draw(t, "customer"),
			Share: rapid.Float64Range(0, 1).Draw(t, "share"), Placement: rapid.IntRange(-1, len(c)-1).Draw(t, "place"),
			Work: 1, PlacementWork: 1,
		}

		sum := 1.0
		low := c[0].Load

		for i := range c {
			c[i].Unavailable = rapid.Bool().Draw(t, "out")
			sum += c[i].Load
			low = min(low, c[i].Load)
		}

		n := picker.Pick(s, r, c)
		if n == picker.NoTarget {
			return
		}

		if c[n].Unavailable {
			t.Fatalf("selected target %d, which is unavailable", n)
		}

		mean := sum / float64(len(c))
		bound := max(s.LoadFactor*mean, mean+s.Slack)

		if c[n].Load+1 <= bound+1e-9 {
			return
		}

		for i := range c {
			if !c[i].Unavailable && c[i].Load < c[n].Load-1e-9 {
				t.Fatalf("selected target %d with load %f beyond the bound %f although target %d has load %f", n, c[n].Load, bound, i, c[i].Load)
			}
		}
	})
}

// Guards against the assignment of all chats to one engine, whose cache would be too small
// for them, when all engines are idle and thus equally loaded.
func TestPickSpreadsChatsOverIdleFleet(t *testing.T) {
	i := is.New(t)
	n := make(map[int]int)

	for k := range 400 {
		n[picker.Pick(picker.DefaultSettings(), picker.Request{
			Chat: uint64(k + 1), Share: 1, Placement: -1, Work: 1, PlacementWork: 1,
		}, candidates(0, 0, 0, 0))]++
	}

	for k := range 4 {
		i.True(n[k] > 60) // about a hundred each
	}
}

// Guards against computing a prompt prefix on every engine. Many chats of one customer begin
// with the same chart of accounts, so they are assigned to few engines.
func TestPickKeepsCustomerOnFewTargets(t *testing.T) {
	i := is.New(t)
	c := candidates(9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9)
	seen := make(map[int]bool)

	for k := range 100 {
		n := picker.Pick(picker.DefaultSettings(), picker.Request{
			Chat: uint64(k + 1), Customer: 7, Share: 0.05, Placement: -1, Work: 1, PlacementWork: 1,
		}, c)
		seen[n] = true
		c[n].Load++

		if k%4 == 3 { // as many requests end as begin
			for n := range c {
				c[n].Load = 9
			}
		}
	}

	i.True(len(seen) <= 5) // twice its share of 12 targets, plus three
}

func BenchmarkPick(b *testing.B) {
	c := candidates(20, 21, 22, 23, 24, 25, 26, 27, 20, 21, 22, 23, 24, 25, 26, 27)
	r := picker.Request{Chat: 1, Customer: 1, Placement: -1, Work: 1, PlacementWork: 1}

	for b.Loop() {
		r.Chat++
		picker.Pick(picker.DefaultSettings(), r, c)
	}
}

package picker_test

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburntray/auburntray/internal/picker"
)

// Random tests draw the same each run.
func init() { _ = flag.Set("rapid.seed", "1") }

func candidates(loads ...float64) []picker.Candidate {
	c := make([]picker.Candidate, len(loads))
	for i, l := range loads {
		c[i] = picker.Candidate{ID: uint32(i + 1), Weight: 50, Load: l, Counted: true}
	}

	return c
}

func TestPick(t *testing.T) {
	out := func(c []picker.Candidate, i int) []picker.Candidate {
		c[i].Out = true

		return c
	}

	for name, tc := range map[string]struct {
		candidates []picker.Candidate
		request    picker.Request
		want       int
	}{
		"a chat goes back to its place":          {candidates(20, 20, 20), picker.Request{Place: 1}, 1},
		"and not when that is over the bound":    {candidates(20, 30, 19), picker.Request{Place: 1}, 2},
		"a new chat goes to the least loaded":    {candidates(22, 20, 18), picker.Request{Place: -1}, 2},
		"a place that is out is passed over":     {out(candidates(20, 10, 20), 1), picker.Request{Place: 1, Chat: 1}, 0},
		"an idle fleet takes the first request":  {candidates(0, 0, 0), picker.Request{Place: 2}, 2},
		"nothing is chosen when all are out":     {out(candidates(1), 0), picker.Request{Place: -1}, picker.NoTarget},
		"the mean counts the pool's other cells": {candidates(30, 20), picker.Request{Place: 0, OtherLoad: 300, OtherWeight: 500}, 0},
		"and they can make a place too loaded":   {candidates(30, 20), picker.Request{Place: 0, OtherLoad: 100, OtherWeight: 500}, 1},
		"the excess is one request when all are": {candidates(30, 29), picker.Request{Place: -1, OtherLoad: 1, OtherWeight: 5000}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			tc.request.Work, tc.request.PlaceWork = 1, 1
			i.Equal(picker.Pick(picker.DefaultSettings(), tc.request, tc.candidates), tc.want)
		})
	}
}

// An engine far above the mean shows as slow tokens for all its chats. Whatever
// the loads, a target that was within the bound is within it after the choice,
// unless every target that may be used is beyond it.
func TestPickKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := picker.DefaultSettings()
		c := candidates(rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "loads")...)
		r := picker.Request{
			Chat: rapid.Uint64().Draw(t, "chat"), Customer: rapid.Uint32().Draw(t, "customer"),
			Share: rapid.Float64Range(0, 1).Draw(t, "share"), Place: rapid.IntRange(-1, len(c)-1).Draw(t, "place"),
			Work: 1, PlaceWork: 1,
		}

		sum := 1.0
		low := c[0].Load

		for i := range c {
			c[i].Out = rapid.Bool().Draw(t, "out")
			sum += c[i].Load
			low = min(low, c[i].Load)
		}

		n := picker.Pick(s, r, c)
		if n == picker.NoTarget {
			return
		}

		if c[n].Out {
			t.Fatalf("chose %d, which is out", n)
		}

		mean := sum / float64(len(c))
		bound := max(s.LoadFactor*mean, mean+s.Slack)

		if c[n].Load+1 <= bound+1e-9 {
			return
		}

		for i := range c {
			if !c[i].Out && c[i].Load < c[n].Load-1e-9 {
				t.Fatalf("chose %d with load %f beyond the bound %f though %d has %f", n, c[n].Load, bound, i, c[i].Load)
			}
		}
	})
}

// The fleet is quiet, so all engines are equally loaded. Chats must not all go
// to the same one: its cache would be too small for them.
func TestPickSpreadsChatsOverAQuietFleet(t *testing.T) {
	i := is.New(t)
	n := make(map[int]int)

	for k := range 400 {
		n[picker.Pick(picker.DefaultSettings(), picker.Request{
			Chat: uint64(k + 1), Share: 1, Place: -1, Work: 1, PlaceWork: 1,
		}, candidates(0, 0, 0, 0))]++
	}

	for k := range 4 {
		i.True(n[k] > 60) // about a hundred each
	}
}

// Many chats of one customer begin with the same chart of accounts. Spread over
// all engines each would have to compute it; they stay on few.
func TestPickKeepsACustomerOnFewTargets(t *testing.T) {
	i := is.New(t)
	c := candidates(9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9)
	seen := make(map[int]bool)

	for k := range 100 {
		n := picker.Pick(picker.DefaultSettings(), picker.Request{
			Chat: uint64(k + 1), Customer: 7, Share: 0.05, Place: -1, Work: 1, PlaceWork: 1,
		}, c)
		seen[n] = true
		c[n].Load++

		if k%4 == 3 { // as many end as begin
			for n := range c {
				c[n].Load = 9
			}
		}
	}

	i.True(len(seen) <= 5) // its share of 12 twice over, and three to spare
}

func BenchmarkPick(b *testing.B) {
	c := candidates(20, 21, 22, 23, 24, 25, 26, 27, 20, 21, 22, 23, 24, 25, 26, 27)
	r := picker.Request{Chat: 1, Customer: 1, Place: -1, Work: 1, PlaceWork: 1}

	for b.Loop() {
		r.Chat++
		picker.Pick(picker.DefaultSettings(), r, c)
	}
}

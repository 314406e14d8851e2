package chooser_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/chooser"
)

// A call is not sent where it was to go, since the target is full. Nothing of it may stay: the
// target does not hold the prompt, nobody is told that it does, and no call runs there. That
// it is full is known, and the next call goes elsewhere.
func TestDeclinedChoiceLeavesNothing(t *testing.T) {
	i := is.New(t)
	r := roster(9, "a")
	c := chooser.New(chooser.DefaultSettings())
	now := time.Unix(0, 0)

	x := choose(c, now, r, query(1))
	c.Decline(now, x, 12)

	n := c.News()
	i.Equal(len(n.Places), 0)
	i.Equal(len(n.Loads), 1)
	i.Equal(n.Loads[0].Calls, 12)

	y := choose(c, now, r, query(1))
	i.True(y.Target != x.Target)
	i.True(!y.Held)

	// The same as where it was never chosen and is known to be full.
	d := chooser.New(chooser.DefaultSettings())
	d.Report(now, x.Target, chooser.Report{Running: 12, Slots: x.Target.Slots})
	i.Equal(choose(d, now, r, query(1)), y)

	// It held the prompt before, and still does.
	c.Finish(now, y.Target, chooser.Good)
	z := choose(c, now.Add(time.Second), r, query(1))
	i.Equal(z.Target, y.Target)
	i.True(z.Held)
	c.Decline(now.Add(time.Second), z, 12)

	z = choose(c, now.Add(4*time.Second), r, query(1))
	i.Equal(z.Target, y.Target)
	i.True(z.Held)
}

// A caller waits while its prompt of some thousand parts is read a second time, though a target
// holds it: the call came to one that broke off at once, and the next one asked that for the
// prompt, since it was the last that the prompt was sent to.
func TestTargetThatFailedIsNoSource(t *testing.T) {
	i := is.New(t)
	r := roster(9, "a")
	c := chooser.New(chooser.DefaultSettings())
	now := time.Unix(0, 0)

	x := choose(c, now, r, query(1))
	c.Finish(now, x.Target, chooser.Good)

	q := query(1)
	q.Excluded = []string{x.Target.ID}
	y := choose(c, now, r, q)
	i.Equal(y.Source, x.Target)
	c.Finish(now, y.Target, chooser.Bad)
	c.Unread(y)

	q.Excluded = []string{x.Target.ID, y.Target.ID}
	z := choose(c, now, r, q)
	i.Equal(z.Source, x.Target)

	// One that held the prompt before still does.
	q.Excluded = []string{y.Target.ID, z.Target.ID}
	x = choose(c, now, r, q)
	i.True(x.Held)
	c.Finish(now, x.Target, chooser.Bad)
	c.Unread(x)
	i.True(choose(c, now, r, q).Held)
}

// A prompt that a tenth of all calls share fills one target after the other. Calls that found
// two full must not all try the third: they spread over those that come next in the prompt's
// order, further with each one that was full.
func TestCallsThatFoundFullTargetsSpread(t *testing.T) {
	for name, tc := range map[string]struct {
		declined int
		targets  int
	}{
		"none was full": {0, 1}, "one was full": {1, 1}, "two were full": {2, 3}, "three were full": {3, 9},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := roster(40, "a", "b")
			seen := make(map[string]bool)

			for n := range uint64(400) {
				c := chooser.New(chooser.DefaultSettings())
				q := query(1)
				q.Declined, q.Draw = tc.declined, n
				seen[choose(c, time.Unix(0, 0), r, q).Target.ID] = true
			}

			i.Equal(len(seen), tc.targets)
		})
	}
}

// A plain target got no call for seconds after it had started again: it was the last by its ID
// of five that idled, and each call went to the first of those with the least load. Among
// equals calls are spread.
func TestTiesAreSpread(t *testing.T) {
	i := is.New(t)
	r := roster(5, "a")
	seen := make(map[string]int)

	for n := range uint64(500) {
		c := chooser.New(chooser.DefaultSettings())
		o, ok := c.Choose(time.Unix(0, 0), r, group, chooser.Query{DataCentre: "a", Draw: n})
		i.True(ok)

		seen[o.Target.ID]++
	}

	for _, x := range r.Groups[group] {
		i.True(seen[x.ID] > 60) // A hundred each on average.
	}
}

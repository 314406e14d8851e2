package selector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/selector"
)

// Guards against state that remains of a call that was not sent because its target was full: the target must not be
// considered a holder of the prompt, other instances must not be notified of it, and no running call may remain
// counted. The target is known to be full, and the next call is sent elsewhere.
func TestDeclinedChoiceIsReverted(t *testing.T) {
	i := is.New(t)
	r := registry(9, "a")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)

	x := choose(s, now, r, query(1))
	s.Decline(now, x, 12)

	n := s.PendingUpdate()
	i.Equal(len(n.Placements), 0)
	i.Equal(len(n.Loads), 1)
	i.Equal(n.Loads[0].Calls, 12)

	y := choose(s, now, r, query(1))
	i.True(y.Target != x.Target)
	i.True(!y.Cached)

	// The result is the same as if the target had never been selected and were known to be full.
	d := selector.New(selector.DefaultSettings())
	d.ReportLoad(now, x.Target, selector.Load{Running: 12, Slots: x.Target.Slots})
	i.Equal(choose(d, now, r, query(1)), y)

	// A target that had the prompt cached before remains a holder.
	s.Finish(now, y.Target, selector.Answered)
	z := choose(s, now.Add(time.Second), r, query(1))
	i.Equal(z.Target, y.Target)
	i.True(z.Cached)
	s.Decline(now.Add(time.Second), z, 12)

	z = choose(s, now.Add(4*time.Second), r, query(1))
	i.Equal(z.Target, y.Target)
	i.True(z.Cached)
}

// Guards against a prompt of a few thousand parts being computed twice although a target has it cached: a call
// failed at once at another target, and the next target tried to fetch the prompt from the failed one, since the
// prompt was last sent there.
func TestFailedTargetIsNoSource(t *testing.T) {
	i := is.New(t)
	r := registry(9, "a")
	s := selector.New(selector.DefaultSettings())
	now := time.Unix(0, 0)

	x := choose(s, now, r, query(1))
	s.Finish(now, x.Target, selector.Answered)

	q := query(1)
	q.Tried = []string{x.Target.ID}
	y := choose(s, now, r, q)
	i.Equal(y.FetchFrom, x.Target)
	s.Finish(now, y.Target, selector.Failed)
	s.RevertPlacements(y)

	q.Tried = []string{x.Target.ID, y.Target.ID}
	z := choose(s, now, r, q)
	i.Equal(z.FetchFrom, x.Target)

	// A target that had the prompt cached before remains a holder.
	q.Tried = []string{y.Target.ID, z.Target.ID}
	x = choose(s, now, r, q)
	i.True(x.Cached)
	s.Finish(now, x.Target, selector.Failed)
	s.RevertPlacements(x)
	i.True(choose(s, now, r, q).Cached)
}

// A prompt that a tenth of all calls share fills one target after the other. Guards against calls that found two
// targets full and then all try the same third one. Such calls must spread over the next targets in the rendezvous
// order, and over more of them with each target found full.
func TestCallsSpreadAfterFullTargets(t *testing.T) {
	for name, tc := range map[string]struct {
		declined int
		targets  int
	}{
		"none was full": {0, 1}, "one was full": {1, 1}, "two were full": {2, 3}, "three were full": {3, 9},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := registry(40, "a", "b")
			seen := make(map[string]bool)

			for n := range uint64(400) {
				s := selector.New(selector.DefaultSettings())
				q := query(1)
				q.Declined, q.Draw = tc.declined, n
				seen[choose(s, time.Unix(0, 0), r, q).Target.ID] = true
			}

			i.Equal(len(seen), tc.targets)
		})
	}
}

// Guards against an idle target that receives no calls: of five idle targets it was the last by ID, and each
// call was sent to the first of those with the least load.
func TestTiesAreSpread(t *testing.T) {
	i := is.New(t)
	r := registry(5, "a")
	seen := make(map[string]int)

	for n := range uint64(500) {
		s := selector.New(selector.DefaultSettings())
		o, ok := s.Choose(time.Unix(0, 0), r, group, selector.Query{DataCentre: "a", Draw: n})
		i.True(ok)

		seen[o.Target.ID]++
	}

	for _, x := range r.Groups[group] {
		i.True(seen[x.ID] > 60) // 100 each on average.
	}
}

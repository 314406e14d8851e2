package enroller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/enroller"
)

func listed(ids ...string) []enroller.Target {
	var o []enroller.Target
	for _, id := range ids {
		o = append(o, enroller.Target{ID: id, Group: "g"})
	}

	return o
}

func names(e *enroller.Enroller) []string {
	o := []string{}
	for _, t := range e.Roster().Groups["g"] {
		o = append(o, t.ID)
	}

	return o
}

func TestLeaving(t *testing.T) {
	b := time.Unix(1000, 0)

	for name, x := range map[string]struct {
		change func(e *enroller.Enroller)
		want   []string
	}{
		"draining takes no new calls": {
			func(e *enroller.Enroller) { e.Set(enroller.Target{ID: "a", Group: "g", Draining: true}) },
			[]string{"b"},
		},
		"removed without a word": {
			func(e *enroller.Enroller) { e.Remove(b, "a") },
			[]string{"b"},
		},
		"not on the whole list": {
			func(e *enroller.Enroller) { e.Reset(b, listed("b", "c")) },
			[]string{"b", "c"},
		},
		"removed twice": {
			func(e *enroller.Enroller) { e.Remove(b, "a"); e.Remove(b, "a") },
			[]string{"b"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := enroller.New(enroller.DefaultSettings())
			e.Reset(b, listed("a", "b"))
			x.change(e)
			is.Equal(names(e), x.want)
		})
	}
}

// A user would see every call refused just after the platform's outage: the
// entries of all targets ran out while it was away, their removals arrive at once
// with its return, and the targets enter themselves again a second later.
func TestEntriesThatRanOutDuringAnOutage(t *testing.T) {
	is := is.New(t)
	b := time.Unix(1000, 0)
	e := enroller.New(enroller.DefaultSettings())
	e.Reset(b, listed("a", "b"))

	e.Regained(b, 5*time.Second)
	is.True(!e.Remove(b.Add(10*time.Millisecond), "a"))
	is.True(!e.Remove(b.Add(10*time.Millisecond), "b"))
	is.Equal(names(e), []string{"a", "b"})

	e.Set(enroller.Target{ID: "a", Group: "g"})
	is.Equal(len(e.Settle(b.Add(1900*time.Millisecond))), 0)
	is.Equal(e.Settle(b.Add(2*time.Second)), []string{"b"})
	is.Equal(names(e), []string{"a"})
}

// A user would see calls reach a target two seconds after it had left: the
// instance had missed a few reads, took the removal for one of an outage, and
// kept the target for the grace.
func TestShortAbsenceHoldsNothing(t *testing.T) {
	is := is.New(t)
	b := time.Unix(1000, 0)
	e := enroller.New(enroller.DefaultSettings())
	e.Reset(b, listed("a", "b"))

	e.Regained(b, 700*time.Millisecond)
	is.True(e.Remove(b.Add(10*time.Millisecond), "a"))
	is.Equal(names(e), []string{"b"})
}

func TestRosterKnowsDrainingTargets(t *testing.T) {
	is := is.New(t)
	e := enroller.New(enroller.DefaultSettings())
	e.Set(enroller.Target{ID: "a", Group: "g", Draining: true})

	_, ok := e.Roster().Known["a"]
	is.True(ok)
	is.Equal(len(e.Roster().Names), 1)
	is.Equal(len(e.Roster().Groups), 0)
}

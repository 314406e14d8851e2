package enroller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/enroller"
)

// Guards against a process that takes calls again though it said itself that it leaves, and against
// another process that is taken for it.
func TestProcessThatSaidThatItLeaves(t *testing.T) {
	b := time.Unix(1000, 0)
	start := time.UnixMilli(1_700_000_000_000)
	x := enroller.Target{ID: "a", Group: "g", Start: start}
	said := func(e *enroller.Enroller) { e.Leave(b, x.Process()) }

	for name, c := range map[string]struct {
		change func(e *enroller.Enroller)
		takes  bool
	}{
		"the list has not heard of it": {change: func(e *enroller.Enroller) { said(e); e.Set(x) }},
		"the whole list is read again": {change: func(e *enroller.Enroller) { said(e); e.Reset(b, []enroller.Target{x}) }},
		"it is listed only afterwards": {change: func(e *enroller.Enroller) { e.Drop("a"); said(e); e.Set(x) }},
		"its entry lapsed": {change: func(e *enroller.Enroller) {
			said(e)
			e.Remove(b, "a")
			e.Settle(b.Add(30 * time.Second))
			e.Set(x)
		}},
		"it is long on the list": {change: func(e *enroller.Enroller) {
			said(e)
			e.Settle(b.Add(time.Hour))
			e.Settle(b.Add(2 * time.Hour))
			e.Set(x)
		}},
		"it was off the list for long": {change: func(e *enroller.Enroller) {
			said(e)
			e.Remove(b, "a")
			e.Settle(b.Add(time.Hour))
			e.Set(x)
		}, takes: true},
		"it started again": {change: func(e *enroller.Enroller) {
			said(e)

			y := x
			y.Start = start.Add(-time.Hour)
			e.Set(y)
		}, takes: true},
		"another said so": {change: func(e *enroller.Enroller) { e.Leave(b, enroller.Process{ID: "b"}) }, takes: true},
		"the process before it said so": {change: func(e *enroller.Enroller) {
			e.Leave(b, enroller.Process{ID: "a", Start: start.Add(-time.Hour)})
		}, takes: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			e := enroller.New(enroller.DefaultSettings())
			e.Set(x)
			c.change(e)

			r := e.Roster()
			i.Equal(len(r.Groups["g"]) == 1, c.takes)
			i.Equal(r.Takes(r.Known["a"]), c.takes)
			i.Equal(r.Leaves("g"), !c.takes)
		})
	}
}

// Guards against a list that is made anew with each of the answers that say the same.
func TestLeavingIsNewsOnce(t *testing.T) {
	i := is.New(t)
	e := enroller.New(enroller.DefaultSettings())
	e.Set(enroller.Target{ID: "a", Group: "g"})

	i.True(e.Leave(time.Unix(1000, 0), enroller.Process{ID: "a"}))

	r := e.Roster()
	i.True(!e.Leave(time.Unix(1000, 0), enroller.Process{ID: "a"}))
	i.True(e.Roster() == r)
}

// Guards against the entry of a target that said that it leaves and is gone, which is held for the
// grace after an outage of the list.
func TestLeavingTargetIsNotHeld(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	e := enroller.New(enroller.DefaultSettings())
	e.Set(enroller.Target{ID: "a", Group: "g"})
	e.Leave(b, enroller.Process{ID: "a"})
	e.Regained(b, time.Minute)
	i.True(e.Remove(b, "a"))
}

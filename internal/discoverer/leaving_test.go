package discoverer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// Guards against new calls to a process that announced that it is leaving, and against applying the
// announcement to another process.
func TestLeavingProcess(t *testing.T) {
	b := time.Unix(1000, 0)
	start := time.UnixMilli(1_700_000_000_000)
	x := discoverer.Target{ID: "a", Group: "g", Start: start}
	announce := func(e *discoverer.Discoverer) { e.MarkLeaving(b, x.Process()) }

	for name, c := range map[string]struct {
		change  func(e *discoverer.Discoverer)
		accepts bool
	}{
		"entry not updated":             {change: func(e *discoverer.Discoverer) { announce(e); e.Set(x) }},
		"complete list read again":      {change: func(e *discoverer.Discoverer) { announce(e); e.Reset(b, []discoverer.Target{x}) }},
		"listed after the announcement": {change: func(e *discoverer.Discoverer) { e.Drop("a"); announce(e); e.Set(x) }},
		"entry expired and set again": {change: func(e *discoverer.Discoverer) {
			announce(e)
			e.Remove(b, "a")
			e.ExpireHeld(b.Add(30 * time.Second))
			e.Set(x)
		}},
		"on the list for hours": {change: func(e *discoverer.Discoverer) {
			announce(e)
			e.ExpireHeld(b.Add(time.Hour))
			e.ExpireHeld(b.Add(2 * time.Hour))
			e.Set(x)
		}},
		"off the list for an hour": {change: func(e *discoverer.Discoverer) {
			announce(e)
			e.Remove(b, "a")
			e.ExpireHeld(b.Add(time.Hour))
			e.Set(x)
		}, accepts: true},
		"restarted": {change: func(e *discoverer.Discoverer) {
			announce(e)

			y := x
			y.Start = start.Add(-time.Hour)
			e.Set(y)
		}, accepts: true},
		"announced by another target": {change: func(e *discoverer.Discoverer) { e.MarkLeaving(b, discoverer.Process{ID: "b"}) }, accepts: true},
		"announced by the previous process": {change: func(e *discoverer.Discoverer) {
			e.MarkLeaving(b, discoverer.Process{ID: "a", Start: start.Add(-time.Hour)})
		}, accepts: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			e := discoverer.New(discoverer.DefaultSettings())
			e.Set(x)
			c.change(e)

			r := e.Registry()
			i.Equal(len(r.Groups["g"]) == 1, c.accepts)
			i.Equal(r.AcceptsCalls(r.Known["a"]), c.accepts)
			i.Equal(r.HasLeaving("g"), !c.accepts)
		})
	}
}

// Guards against rebuilding the registry with each answer that repeats the announcement.
func TestLeavingIsReportedOnce(t *testing.T) {
	i := is.New(t)
	e := discoverer.New(discoverer.DefaultSettings())
	e.Set(discoverer.Target{ID: "a", Group: "g"})

	i.True(e.MarkLeaving(time.Unix(1000, 0), discoverer.Process{ID: "a"}))

	r := e.Registry()
	i.True(!e.MarkLeaving(time.Unix(1000, 0), discoverer.Process{ID: "a"}))
	i.True(e.Registry() == r)
}

// Guards against holding the entry of a leaving target for the grace after an outage of the list.
func TestLeavingTargetIsNotHeld(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	e := discoverer.New(discoverer.DefaultSettings())
	e.Set(discoverer.Target{ID: "a", Group: "g"})
	e.MarkLeaving(b, discoverer.Process{ID: "a"})
	e.RecordOutage(b, time.Minute)
	i.True(e.Remove(b, "a"))
}

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
	announce := func(d *discoverer.Discoverer) { d.MarkLeaving(b, x.Process()) }

	for name, c := range map[string]struct {
		change  func(d *discoverer.Discoverer)
		accepts bool
	}{
		"entry not updated":             {change: func(d *discoverer.Discoverer) { announce(d); d.Set(x) }},
		"complete list read again":      {change: func(d *discoverer.Discoverer) { announce(d); d.Reset(b, []discoverer.Target{x}) }},
		"listed after the announcement": {change: func(d *discoverer.Discoverer) { d.Drop("a"); announce(d); d.Set(x) }},
		"entry expired and set again": {change: func(d *discoverer.Discoverer) {
			announce(d)
			d.Remove(b, "a")
			d.ExpireHeld(b.Add(30 * time.Second))
			d.Set(x)
		}},
		"on the list for hours": {change: func(d *discoverer.Discoverer) {
			announce(d)
			d.ExpireHeld(b.Add(time.Hour))
			d.ExpireHeld(b.Add(2 * time.Hour))
			d.Set(x)
		}},
		"off the list for an hour": {change: func(d *discoverer.Discoverer) {
			announce(d)
			d.Remove(b, "a")
			d.ExpireHeld(b.Add(time.Hour))
			d.Set(x)
		}, accepts: true},
		"restarted": {change: func(d *discoverer.Discoverer) {
			announce(d)

			y := x
			y.Start = start.Add(-time.Hour)
			d.Set(y)
		}, accepts: true},
		"announced by another target": {change: func(d *discoverer.Discoverer) { d.MarkLeaving(b, discoverer.Process{ID: "b"}) }, accepts: true},
		"announced by the previous process": {change: func(d *discoverer.Discoverer) {
			d.MarkLeaving(b, discoverer.Process{ID: "a", Start: start.Add(-time.Hour)})
		}, accepts: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := discoverer.New(discoverer.DefaultSettings())
			d.Set(x)
			c.change(d)

			r := d.Registry()
			i.Equal(len(r.Groups["g"]) == 1, c.accepts)
			i.Equal(r.AcceptsCalls(r.Known["a"]), c.accepts)
			i.Equal(r.HasLeaving("g"), !c.accepts)
		})
	}
}

// Guards against rebuilding the registry with each answer that repeats the announcement.
func TestLeavingIsReportedOnce(t *testing.T) {
	i := is.New(t)
	d := discoverer.New(discoverer.DefaultSettings())
	d.Set(discoverer.Target{ID: "a", Group: "g"})

	i.True(d.MarkLeaving(time.Unix(1000, 0), discoverer.Process{ID: "a"}))

	r := d.Registry()
	i.True(!d.MarkLeaving(time.Unix(1000, 0), discoverer.Process{ID: "a"}))
	i.True(d.Registry() == r)
}

// Guards against holding the entry of a leaving target for the grace period after an outage of the list.
func TestLeavingTargetIsNotHeld(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	d := discoverer.New(discoverer.DefaultSettings())
	d.Set(discoverer.Target{ID: "a", Group: "g"})
	d.MarkLeaving(b, discoverer.Process{ID: "a"})
	d.RecordOutage(b, time.Minute)
	i.True(d.Remove(b, "a"))
}

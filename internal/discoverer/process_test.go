package discoverer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/hasher"
)

func TestKeyDistinguishesProcesses(t *testing.T) {
	b := time.UnixMilli(1_700_000_000_000)
	x := discoverer.Process{ID: "a", Start: b}

	for name, y := range map[string]struct {
		process discoverer.Process
		same    bool
	}{
		"same":                    {discoverer.Process{ID: "a", Start: b}, true},
		"same in other time zone": {discoverer.Process{ID: "a", Start: b.In(time.FixedZone("x", 3600))}, true},
		"other ID":                {discoverer.Process{ID: "b", Start: b}, false},
		"later start":             {discoverer.Process{ID: "a", Start: b.Add(time.Millisecond)}, false},
		"earlier start":           {discoverer.Process{ID: "a", Start: b.Add(-time.Hour)}, false},
		"start before 1970":       {discoverer.Process{ID: "a", Start: time.UnixMilli(-1)}, false},
		"start at 1970":           {discoverer.Process{ID: "a", Start: time.UnixMilli(0)}, false},
		"no start":                {discoverer.Process{ID: "a"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(x.Key() == y.process.Key(), y.same)
			is.Equal(x.Key().Name() == y.process.Key().Name(), y.same)
		})
	}

	// Instances that don't know the starts of processes use the hash of the ID.
	is.New(t).Equal(discoverer.Process{ID: "a"}.Key().Name(), discoverer.Name(hasher.Name("a")))
}

// Guards against confusing two processes of one ID: after an entry with another start, whether later
// or earlier, the registry has only the new process, also if the entry was held after an outage.
func TestOtherStartIsOtherProcess(t *testing.T) {
	b := time.UnixMilli(1_700_000_000_000)
	entry := func(start time.Duration) discoverer.Target {
		return discoverer.Target{ID: "a", Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:80"), Start: b.Add(start)}
	}

	for name, x := range map[string]struct {
		change func(d *discoverer.Discoverer)
		// same is set when the process is the previous one, and moved when its address or group changed.
		same, moved bool
	}{
		"entry repeated": {func(d *discoverer.Discoverer) { d.Set(entry(0)) }, true, false},
		"draining": {func(d *discoverer.Discoverer) {
			y := entry(0)
			y.Draining = true
			d.Set(y)
		}, true, false},
		"later start":   {func(d *discoverer.Discoverer) { d.Set(entry(time.Hour)) }, false, false},
		"earlier start": {func(d *discoverer.Discoverer) { d.Set(entry(-time.Hour)) }, false, false},
		"no start":      {func(d *discoverer.Discoverer) { y := entry(0); y.Start = time.Time{}; d.Set(y) }, false, false},
		"complete list": {func(d *discoverer.Discoverer) { d.Reset(b, []discoverer.Target{entry(time.Hour)}) }, false, false},
		"held, same start": {func(d *discoverer.Discoverer) {
			d.RecordOutage(b, time.Minute)
			d.Remove(b, "a")
			d.Set(entry(0))
			d.ExpireHeld(b.Add(time.Minute))
		}, true, false},
		"held, earlier start": {func(d *discoverer.Discoverer) {
			d.RecordOutage(b, time.Minute)
			d.Remove(b, "a")
			d.Set(entry(-time.Hour))
			d.ExpireHeld(b.Add(time.Minute))
		}, false, false},
		"other address": {func(d *discoverer.Discoverer) {
			y := entry(0)
			y.Address = netip.MustParseAddrPort("10.0.0.2:80")
			d.Set(y)
		}, true, true},
		"other group and start": {func(d *discoverer.Discoverer) {
			y := entry(1)
			y.Group = "h"
			y.Start = b.Add(time.Second)
			d.Set(y)
		}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := discoverer.New(discoverer.DefaultSettings())
			d.Set(entry(0))
			o := d.Registry().Known["a"]

			x.change(d)

			r := d.Registry()
			n := r.Known["a"]
			is.Equal(n.Key() == o.Key(), x.same)
			is.Equal(n.Moved(o), x.moved)
			is.Equal(n.Rank(), o.Rank())
			is.Equal(len(r.Processes), 1)
			is.Equal(r.Processes[n.Process().Key()], n)
			is.Equal(r.Names[n.Key().Name()], n)
		})
	}
}

// Guards against applying notifications to the wrong target when two targets of a large fleet share a
// name: they must not be applied to the one that was entered last.
func TestSharedNameIsIgnored(t *testing.T) {
	is := is.New(t)
	d := discoverer.New(discoverer.DefaultSettings())

	for _, id := range []string{"t-30705", "t-94990", "other"} {
		d.Set(discoverer.Target{ID: id, Group: "g"})
	}

	r := d.Registry()
	a, b := r.Known["t-30705"], r.Known["t-94990"]
	is.Equal(a.Key().Name(), b.Key().Name())
	is.True(a.Key() != b.Key())
	is.Equal(r.Names, map[discoverer.Name]*discoverer.Target{r.Known["other"].Key().Name(): r.Known["other"]})
	is.Equal(len(r.Processes), 3)

	// Once one target is removed, the name identifies the other.
	d.Remove(time.Unix(1000, 0), "t-94990")
	is.Equal(d.Registry().Names[a.Key().Name()], a)
}

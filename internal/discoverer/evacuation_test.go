package discoverer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// Guards against calls to targets of an evacuated data centre, and against dropping these targets,
// whose cached prompts can still be fetched.
func TestEvacuatedTargetsAreKnownAndClosed(t *testing.T) {
	i := is.New(t)
	d := discoverer.New(discoverer.DefaultSettings())

	for id, c := range map[string]string{"t1": "a", "t2": "b", "t3": "b"} {
		d.Set(discoverer.Target{ID: id, Group: "g", DataCentre: c})
	}

	d.Set(discoverer.Target{ID: "t4", Group: "h", DataCentre: "b"})
	d.Set(discoverer.Target{ID: "t5", Group: "g", DataCentre: "a", Draining: true})

	all := d.Registry()
	r := all.WithEvacuated(func(c string) bool { return c == "b" }, nil)

	i.Equal(len(r.Groups["g"]), 1)
	i.Equal(len(r.Evacuated["g"]), 2)
	_, ok := r.Groups["h"]
	i.True(!ok)
	i.Equal(len(r.Known), 5)
	i.Equal(len(all.Groups["g"]), 3) // The original registry is unchanged.

	for id, want := range map[string]bool{"t1": true, "t2": false, "t4": false, "t5": false} {
		i.Equal(r.AcceptsCalls(r.Known[id]), want)
	}

	i.True(all.AcceptsCalls(all.Known["t2"]))
}

// Guards against a call that is sent to a selected target which has moved, been removed or restarted since.
func TestChangedTargetAcceptsNoCalls(t *testing.T) {
	for name, change := range map[string]func(d *discoverer.Discoverer){
		"removed":     func(d *discoverer.Discoverer) { d.Drop("t") },
		"drains":      func(d *discoverer.Discoverer) { d.Set(discoverer.Target{ID: "t", Group: "g", Draining: true}) },
		"restarted":   func(d *discoverer.Discoverer) { d.Set(discoverer.Target{ID: "t", Group: "g", Start: time.Unix(9, 0)}) },
		"other group": func(d *discoverer.Discoverer) { d.Set(discoverer.Target{ID: "t", Group: "h"}) },
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := discoverer.New(discoverer.DefaultSettings())
			d.Set(discoverer.Target{ID: "t", Group: "g"})

			x := d.Registry().Known["t"]
			i.True(d.Registry().AcceptsCalls(x))

			change(d)
			i.True(!d.Registry().AcceptsCalls(x))
		})
	}
}

package discoverer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
)

func listed(ids ...string) []discoverer.Target {
	var o []discoverer.Target
	for _, id := range ids {
		o = append(o, discoverer.Target{ID: id, Group: "g"})
	}

	return o
}

func names(d *discoverer.Discoverer) []string {
	o := []string{}
	for _, t := range d.Registry().Groups["g"] {
		o = append(o, t.ID)
	}

	return o
}

func TestLeaving(t *testing.T) {
	b := time.Unix(1000, 0)

	for name, x := range map[string]struct {
		change func(d *discoverer.Discoverer)
		want   []string
	}{
		"draining": {
			func(d *discoverer.Discoverer) { d.Set(discoverer.Target{ID: "a", Group: "g", Draining: true}) },
			[]string{"b"},
		},
		"removed without draining": {
			func(d *discoverer.Discoverer) { d.Remove(b, "a") },
			[]string{"b"},
		},
		"missing from the complete list": {
			func(d *discoverer.Discoverer) { d.Reset(b, listed("b", "c")) },
			[]string{"b", "c"},
		},
		"removed twice": {
			func(d *discoverer.Discoverer) { d.Remove(b, "a"); d.Remove(b, "a") },
			[]string{"b"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := discoverer.New(discoverer.DefaultSettings())
			d.Reset(b, listed("a", "b"))
			x.change(d)
			is.Equal(names(d), x.want)
		})
	}
}

// Guards against refused calls after an outage of the platform: the entries of all targets expired
// during the outage, their removals arrive all at once after it, and the targets register again a
// second later.
func TestEntriesExpiredDuringAnOutageAreHeld(t *testing.T) {
	is := is.New(t)
	b := time.Unix(1000, 0)
	d := discoverer.New(discoverer.DefaultSettings())
	d.Reset(b, listed("a", "b"))

	d.RecordOutage(b, 5*time.Second)
	is.True(!d.Remove(b.Add(10*time.Millisecond), "a"))
	is.True(!d.Remove(b.Add(10*time.Millisecond), "b"))
	is.Equal(names(d), []string{"a", "b"})

	d.Set(discoverer.Target{ID: "a", Group: "g"})
	is.Equal(len(d.ExpireHeld(b.Add(1900*time.Millisecond))), 0)
	is.Equal(d.ExpireHeld(b.Add(2*time.Second)), []string{"b"})
	is.Equal(names(d), []string{"a"})
}

// Guards against calls to a target in the two seconds after it was removed: the instance missed a few reads,
// which is no long outage, so it must not hold the entry for the grace period.
func TestEntriesAreNotHeldAfterAShortOutage(t *testing.T) {
	is := is.New(t)
	b := time.Unix(1000, 0)
	d := discoverer.New(discoverer.DefaultSettings())
	d.Reset(b, listed("a", "b"))

	d.RecordOutage(b, 700*time.Millisecond)
	is.True(d.Remove(b.Add(10*time.Millisecond), "a"))
	is.Equal(names(d), []string{"b"})
}

func TestRegistryKnowsDrainingTargets(t *testing.T) {
	is := is.New(t)
	d := discoverer.New(discoverer.DefaultSettings())
	d.Set(discoverer.Target{ID: "a", Group: "g", Draining: true})

	_, ok := d.Registry().Known["a"]
	is.True(ok)
	is.Equal(len(d.Registry().Names), 1)
	is.Equal(len(d.Registry().Groups), 0)
}

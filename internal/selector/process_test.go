package selector_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

// startedAt is when the targets of these tests started.
var startedAt = time.UnixMilli(1_700_000_000_000)

// entry returns a target's registry entry. start is the offset of its start from startedAt.
func entry(id string, start time.Duration) discoverer.Target {
	return discoverer.Target{
		ID: id, Group: group, DataCentre: "a", Slots: 64, Start: startedAt.Add(start),
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

// fourTargets returns a registry with four targets.
func fourTargets() *discoverer.Discoverer {
	d := discoverer.New(discoverer.DefaultSettings())
	for i := range 4 {
		d.Set(entry(fmt.Sprintf("t%d", i), 0))
	}

	return d
}

// difference returns the first observable difference between the state of two selectors, and an empty string if
// there is none.
func difference(now time.Time, c *selector.Selector, r *discoverer.Registry, d *selector.Selector, s *discoverer.Registry) string {
	x, y := describeState(c, now, r), describeState(d, now, s)

	for i := range min(len(x), len(y)) {
		if x[i] != y[i] {
			return fmt.Sprintf("%d: %s; %s", i, x[i], y[i])
		}
	}

	if len(x) != len(y) {
		return fmt.Sprintf("%d and %d choices", len(x), len(y))
	}

	return ""
}

// newSelector returns a selector without state.
func newSelector() *selector.Selector { return selector.New(selector.DefaultSettings()) }

// describeState returns everything about the state of a selector that affects calls.
func describeState(c *selector.Selector, now time.Time, r *discoverer.Registry) []string {
	var o []string

	for _, v := range c.TargetStates(now, r) {
		o = append(o, fmt.Sprintf("%s load %v excluded %v", v.Target.ID, v.Load, v.Excluded))
	}

	for n := range uint64(60) {
		x, ok := c.Choose(now, r, group, query(n))
		s := ""

		if x.FetchFrom != nil {
			s = x.FetchFrom.ID
		}

		if ok {
			o = append(o, fmt.Sprintf("%s load %v of %v cached %v from %q of %d", x.Target.ID, x.Load, x.Bound, x.Cached, s, x.Usable))
		}
	}

	return o
}

// observations are ways in which a selector acquires state about a target, by a call of its own or by a
// notification from another instance.
func observations() map[string]func(s *selector.Selector, now time.Time, r *discoverer.Registry, t *discoverer.Target) {
	finish := func(o selector.Outcome, times int) func(*selector.Selector, time.Time, *discoverer.Registry, *discoverer.Target) {
		return func(s *selector.Selector, now time.Time, _ *discoverer.Registry, t *discoverer.Target) {
			for range times {
				s.Start(now, t)
				s.Finish(now, t, o)
			}
		}
	}

	return map[string]func(*selector.Selector, time.Time, *discoverer.Registry, *discoverer.Target){
		"unreachable": finish(selector.Unreachable, 1),
		"failing":     finish(selector.Failed, 3),
		"gone":        finish(selector.Gone, 1),
		"shed":        finish(selector.Shed, 1),
		"slow": func(s *selector.Selector, now time.Time, r *discoverer.Registry, t *discoverer.Target) {
			for range 4 {
				for _, x := range r.Known {
					if x.ID != t.ID {
						s.ObserveLatency(now, x, 0.1)
					}
				}

				s.Start(now, t)
				s.ObserveLatency(now, t, 3)
				s.Finish(now, t, selector.Answered)
			}
		},
		"calls in progress": func(s *selector.Selector, now time.Time, _ *discoverer.Registry, t *discoverer.Target) {
			for range 20 {
				s.Start(now, t)
			}
		},
		"own load report": func(s *selector.Selector, now time.Time, _ *discoverer.Registry, t *discoverer.Target) {
			s.ReportLoad(now, t, selector.Load{Running: 40, Slots: 64})
		},
		"prompts": func(s *selector.Selector, now time.Time, r *discoverer.Registry, t *discoverer.Target) {
			for n := range uint64(60) {
				s.Choose(now, r, group, selector.Query{Prefixes: query(n).Prefixes, Tried: otherIDs(r, t)})
			}
		},
		"load report from a peer": func(s *selector.Selector, now time.Time, r *discoverer.Registry, t *discoverer.Target) {
			s.ApplyUpdate(now, r, selector.Update{Loads: []selector.TargetLoad{{Target: t.Key().Name(), Calls: 40, At: now}}})
		},
		"placements from a peer": func(s *selector.Selector, now time.Time, r *discoverer.Registry, t *discoverer.Target) {
			for n := range uint64(60) {
				s.ApplyUpdate(now, r, selector.Update{Placements: []selector.Placement{{Key: n, Target: t.Key().Name()}}})
			}
		},
		"gone by report of a peer": func(s *selector.Selector, now time.Time, r *discoverer.Registry, t *discoverer.Target) {
			s.ReportGone(now, r, t.Process())
		},
	}
}

// otherIDs returns the IDs of all targets but one.
func otherIDs(r *discoverer.Registry, t *discoverer.Target) []string {
	var o []string

	for id := range r.Known {
		if id != t.ID {
			o = append(o, id)
		}
	}

	return o
}

// restarts are ways in which the registry may show a new process under an ID.
func restarts() map[string]func(d *discoverer.Discoverer, now time.Time) {
	return map[string]func(d *discoverer.Discoverer, now time.Time){
		"later": func(d *discoverer.Discoverer, _ time.Time) { d.Set(entry("t0", time.Minute)) },
		"after a backward clock step": func(d *discoverer.Discoverer, _ time.Time) {
			d.Set(entry("t0", -time.Minute))
		},
		"at another address": func(d *discoverer.Discoverer, _ time.Time) {
			x := entry("t0", time.Minute)
			x.Address = netip.MustParseAddrPort("10.0.0.9:80")
			d.Set(x)
		},
		"by a full reset": func(d *discoverer.Discoverer, now time.Time) {
			d.Reset(now, []discoverer.Target{entry("t0", time.Minute), entry("t1", 0), entry("t2", 0), entry("t3", 0)})
		},
		"within the grace period after an outage": func(d *discoverer.Discoverer, now time.Time) {
			d.RecordOutage(now, time.Minute)
			d.Remove(now, "t0")
			d.Set(entry("t0", time.Minute))
			d.ExpireHeld(now.Add(time.Minute))
		},
		"after the grace period": func(d *discoverer.Discoverer, now time.Time) {
			d.RecordOutage(now, time.Minute)
			d.Remove(now, "t0")
			d.ExpireHeld(now.Add(time.Minute))
			d.Set(entry("t0", time.Minute))
		},
	}
}

// An engine crashed and restarted under the same ID. Guards against state of the earlier process that is
// applied to the new one: calls would fetch prompts that it lost, avoid it because of load that no longer exists, or
// find it excluded.
func TestNewProcessHasNoState(t *testing.T) {
	for name, observe := range observations() {
		for how, restart := range restarts() {
			t.Run(name+", "+how, func(t *testing.T) {
				is := is.New(t)
				now := time.Unix(1000, 0)
				d := fourTargets()
				s := newSelector()
				old := d.Registry().Known["t0"]

				observe(s, now, d.Registry(), old)

				restart(d, now)
				s.ApplyRegistry(now, d.Registry())
				is.Equal(difference(now, s, d.Registry(), newSelector(), d.Registry()), "")
			})
		}
	}
}

// An engine restarted under its ID. Calls to the earlier process finish, and other instances that have not
// read the new entry send updates on the old one. Guards against the new process being excluded, or considered
// a holder of prompts, because of them.
func TestLateOutcomesAreIgnoredForNewProcess(t *testing.T) {
	for name, observe := range observations() {
		if name == "prompts" || name == "calls in progress" {
			continue // Only a choice or a start creates this state, and both refer to the current process.
		}

		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			d := fourTargets()
			s := newSelector()
			old := d.Registry().Known["t0"]

			for range 5 {
				s.Start(now, old)
			}

			d.Set(entry("t0", time.Minute))
			s.ApplyRegistry(now, d.Registry())
			observe(s, now, d.Registry(), old)

			for range 5 {
				is.Equal(s.TargetStates(now, d.Registry()), newSelector().TargetStates(now, d.Registry()))
				s.Finish(now, old, selector.Failed)
			}

			is.Equal(difference(now, s, d.Registry(), newSelector(), d.Registry()), "")
			is.Equal(len(s.PendingUpdate().Loads), 0)
		})
	}
}

// Probe dials are sent to detect the end of a network partition. Guards against dials that start and fail after
// their targets were removed from the registry: two of them excluded the data centre, and the state of the targets
// remained until the next change of the registry.
func TestCallsToUnlistedProcessAreIgnored(t *testing.T) {
	for name, o := range map[string]selector.Outcome{
		"unreachable": selector.Unreachable, "failed": selector.Failed, "gone": selector.Gone, "shed": selector.Shed, "answered": selector.Answered,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			d := fourTargets()
			s := newSelector()
			old := d.Registry().Known["t0"]

			d.Set(entry("t0", time.Minute))
			s.ApplyRegistry(now, d.Registry())

			for range 3 {
				s.Start(now, old)
				s.ObserveLatency(now, old, 3)
				s.ReportLoad(now, old, selector.Load{Running: 40, Slots: 64})
				s.Finish(now, old, o)
			}

			is.Equal(len(s.HealthChanges()), 0)
			is.Equal(len(s.PendingUpdate().Loads), 0)
			is.Equal(difference(now, s, d.Registry(), newSelector(), d.Registry()), "")

			// The state does not return with the process either.
			d.Set(entry("t0", 0))
			s.ApplyRegistry(now, d.Registry())
			is.Equal(s.TargetStates(now, d.Registry()), newSelector().TargetStates(now, d.Registry()))

			x, ok := s.Choose(now, d.Registry(), group, query(1000))
			is.True(ok)
			is.Equal(x.Usable, 4)
		})
	}
}

// The registry shows the same process again, by a heartbeat or within the grace period after an outage. Guards
// against state that is dropped then: after each outage all prompts would be computed again.
func TestSameProcessKeepsState(t *testing.T) {
	for name, observe := range observations() {
		for how, change := range map[string]func(e *discoverer.Discoverer, now time.Time){
			"a heartbeat": func(e *discoverer.Discoverer, _ time.Time) { e.Set(entry("t0", 0)) },
			"a full reset": func(e *discoverer.Discoverer, now time.Time) {
				e.Reset(now, []discoverer.Target{entry("t0", 0), entry("t1", 0), entry("t2", 0), entry("t3", 0)})
			},
			"readmitted within the grace period": func(e *discoverer.Discoverer, now time.Time) {
				e.RecordOutage(now, time.Minute)
				e.Remove(now, "t0")
				e.Set(entry("t0", 0))
				e.ExpireHeld(now.Add(time.Minute))
			},
			"another restarted": func(e *discoverer.Discoverer, _ time.Time) { e.Set(entry("t1", time.Minute)) },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				is := is.New(t)
				now := time.Unix(1000, 0)
				e := fourTargets()
				s, d := newSelector(), newSelector()
				r := e.Registry()

				observe(s, now, r, r.Known["t0"])
				observe(d, now, r, r.Known["t0"])

				change(e, now)
				s.ApplyRegistry(now, e.Registry())

				is.Equal(difference(now, s, e.Registry(), d, r), "")
				observe(d, now, r, r.Known["t0"])
				is.True(difference(now, d, r, newSelector(), r) != "") // The observation has an effect.
			})
		}
	}
}

// A process is listed at another address. Its prompts and calls remain, while its health status is reset: a
// connection or a call failed at the other address.
func TestMovedProcessResetsHealth(t *testing.T) {
	kept := map[string]bool{
		"prompts": true, "calls in progress": true, "own load report": true, "shed": true,
		"load report from a peer": true, "placements from a peer": true,
	}

	for name, observe := range observations() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			d := fourTargets()
			s := newSelector()
			old := d.Registry().Known["t0"]

			s.Start(now, old)
			observe(s, now, d.Registry(), old)

			x := entry("t0", 0)
			x.Address = netip.MustParseAddrPort("10.0.0.9:80")
			d.Set(x)
			s.ApplyRegistry(now, d.Registry())
			s.Finish(now, old, selector.Unreachable) // The outcome refers to the earlier address.

			is.Equal(difference(now, s, d.Registry(), newSelector(), d.Registry()) != "", kept[name])
		})
	}
}

// A process is listed in another group. Its health status is reset too, since it was slow relative to the earlier
// group.
func TestProcessMovesToAnotherGroup(t *testing.T) {
	for name, observe := range observations() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			d := fourTargets()
			s := newSelector()
			old := d.Registry().Known["t0"]

			s.Start(now, old)
			observe(s, now, d.Registry(), old)

			b := s.TargetStates(now, d.Registry())[0].Load
			x := entry("t0", 0)
			x.Group = "others"
			d.Set(x)
			s.ApplyRegistry(now, d.Registry())

			v := s.TargetStates(now, d.Registry())[0]
			is.Equal(v, selector.TargetState{Target: d.Registry().Known["t0"], Load: b})

			s.Finish(now, old, selector.Failed)
			is.Equal(s.TargetStates(now, d.Registry())[0].Load, b-1)

			// A call without a prompt treats it like a target without state.
			y, ok := s.Choose(now.Add(time.Second), d.Registry(), "others", selector.Query{})
			is.True(ok)
			is.Equal(y.Usable, 1)
		})
	}
}

// The entry of a process expires because its heartbeats are late, and the process is listed again later. Guards
// against running calls that are no longer counted, or that are subtracted from the count of other calls when they
// finish.
func TestCallsAreCountedAcrossAbsence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := fourTargets()
	s := newSelector()
	old := d.Registry().Known["t0"]

	for range 3 {
		s.Start(now, old)
	}

	d.Remove(now, "t0")
	s.ApplyRegistry(now, d.Registry())
	s.Finish(now, old, selector.Failed)

	d.Set(entry("t0", 0))
	s.ApplyRegistry(now, d.Registry())
	is.Equal(s.TargetStates(now, d.Registry())[0].Load, 2.0)

	for range 2 {
		s.Finish(now, old, selector.Answered)
	}

	is.Equal(s.TargetStates(now, d.Registry())[0].Load, 0.0)
}

// Two targets share a short name. Guards against state of one that is applied to the other: an update from
// another instance that uses the short name may refer to either and must be ignored.
func TestTargetsWithSameShortName(t *testing.T) {
	const a, b = "t-30705", "t-94990"

	for name, observe := range observations() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			d := discoverer.New(discoverer.DefaultSettings())

			for _, id := range []string{a, b} {
				x := entry(id, 0)
				x.Start = time.Time{}
				d.Set(x)
			}

			r := d.Registry()
			is.Equal(r.Known[a].Key().Name(), r.Known[b].Key().Name())

			s, f := newSelector(), newSelector()
			observe(s, now, r, r.Known[a])

			// Only b is queried, and only a was observed.
			is.Equal(s.TargetStates(now, r)[1], f.TargetStates(now, r)[1])

			for n := range uint64(60) {
				q := selector.Query{Prefixes: query(n).Prefixes, Tried: []string{a}}
				x, _ := s.Choose(now, r, group, q)
				y, _ := f.Choose(now, r, group, q)
				is.Equal(x.Cached, y.Cached)
				is.Equal(x.Load, y.Load)
				is.Equal(x.Usable, y.Usable)

				if name == "placements from a peer" {
					is.Equal(x.FetchFrom, nil) // Neither target is considered a holder.
				}
			}
		})
	}
}

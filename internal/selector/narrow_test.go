package selector_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/sharder"
)

// Guards against calls that take the last places of a software version from streams that no other version may go on with, and
// against calls that leave such targets though all others are full.
func TestOtherCallsLeaveTargetsOfAVersion(t *testing.T) {
	v1, v2 := discoverer.VersionOf("v1"), discoverer.VersionOf("v2")

	for name, x := range map[string]struct {
		leave  []discoverer.Version
		prompt bool
		// others is the load of the targets of v2.
		others int
		want   discoverer.Version
	}{
		"nothing to leave, prompt cached":  {nil, true, 2, v1},
		"nothing to leave, no prompt":      {nil, false, 2, v1},
		"leaves it, prompt cached":         {[]discoverer.Version{v1}, true, 2, v2},
		"leaves it, no prompt":             {[]discoverer.Version{v1}, false, 2, v2},
		"leaves both versions":             {[]discoverer.Version{v1, v2}, true, 2, v1},
		"others are beyond their bound":    {[]discoverer.Version{v1}, true, 200, v1},
		"another version is to be left":    {[]discoverer.Version{discoverer.VersionOf("v3")}, true, 2, v1},
		"leaves it, others nearly as full": {[]discoverer.Version{v1}, true, 4, v2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := narrowRegistry(15)
			s := selector.New(selector.DefaultSettings())

			for _, k := range r.Groups[group] {
				n := 1
				if k.SoftwareVersion() == v2 {
					n = x.others
				}

				s.ReportLoad(now, k, selector.Load{Running: n, Slots: k.Slots})
			}

			q := query(7)
			if !x.prompt {
				q.Prefixes = nil
			}

			q.Leave = x.leave
			s.ApplyUpdate(now, r, selector.Update{Placements: []selector.Placement{{Key: 7, Target: r.Known["t0"].Key().Name()}}})

			o, ok := s.Choose(now, r, group, q)
			is.True(ok)
			is.Equal(o.Target.SoftwareVersion(), x.want)
			is.Equal(o.Narrowed, false)
		})
	}
}

// Guards against refusals of a customer whose shard has few targets left while targets crash: they have free slots, and the bound
// of the others is none for it. Calls for which all other targets are no choice at all are refused instead.
func TestNarrowedCallsBeyondTheBound(t *testing.T) {
	for name, x := range map[string]struct {
		query selector.Query
		ok    bool
	}{
		"a shard":                 {selector.Query{Sharded: true, Customer: 7}, true},
		"any target":              {selector.Query{}, true},
		"a version":               {selector.Query{Version: discoverer.VersionOf("v1")}, false},
		"a version of all":        {selector.Query{Version: discoverer.VersionOf("v2")}, true},
		"data centres":            {selector.Query{Centres: map[string]bool{"c": true}}, false},
		"all data centres":        {selector.Query{Centres: map[string]bool{"a": true, "b": true, "c": true}}, true},
		"a shard of a version":    {selector.Query{Sharded: true, Customer: 7, Version: discoverer.VersionOf("v1")}, false},
		"a version, the last try": {selector.Query{Version: discoverer.VersionOf("v1"), Tried: []string{"t0"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)

			r := narrowRegistry(2)
			if x.query.Version == discoverer.VersionOf("v2") {
				r = narrowRegistry(0)
			}

			s := selector.New(selector.DefaultSettings())

			h := sharder.Shard(7, r.Groups[group])

			// The targets that the call may use hold more than any other.
			for _, k := range r.Groups[group] {
				n := 1
				if k.SoftwareVersion() == discoverer.VersionOf("v1") || x.query.Centres["c"] && k.DataCentre == "c" || x.query.Sharded && slices.Contains(h, k) {
					n = 30
				}

				s.ReportLoad(now, k, selector.Load{Running: n, Slots: k.Slots})
			}

			x.query.Prefixes = query(7).Prefixes
			x.query.DataCentre = "a"
			o, ok := s.Choose(now, r, group, x.query)
			is.Equal(ok, x.ok)
			is.Equal(o.Crowded > 0, !x.ok)
			is.Equal(o.Target != nil, x.ok)
		})
	}
}

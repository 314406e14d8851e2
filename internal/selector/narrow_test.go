package selector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
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

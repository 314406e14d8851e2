package selector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/selector"
)

// ordered returns the targets of the group in the rendezvous order of a key.
func ordered(r *discoverer.Registry, key uint64) []*discoverer.Target {
	l := r.Groups[group]
	n := hasher.Rank(key, len(l), func(i int) uint64 { return uint64(hasher.Name(l[i].ID)) }, func(int) float64 { return 1 })

	o := make([]*discoverer.Target, len(l))
	for i, k := range n {
		o[i] = l[k]
	}

	return o
}

// expected returns the target that the rule selects: the first holder in the order within the bound, else the
// first target within the bound, else the least loaded.
func expected(l []*discoverer.Target, loads map[string]int, holders []string, bound float64) string {
	fits := func(t *discoverer.Target) bool { return float64(loads[t.ID]+1) <= bound }

	if i := slices.IndexFunc(l, func(t *discoverer.Target) bool { return fits(t) && slices.Contains(holders, t.ID) }); i >= 0 {
		return l[i].ID
	}

	if i := slices.IndexFunc(l, fits); i >= 0 {
		return l[i].ID
	}

	return slices.MinFunc(l, func(a, b *discoverer.Target) int { return loads[a.ID] - loads[b.ID] }).ID
}

// Guards against instances that order targets or break ties differently: they would spread the calls that
// exceed a target's bound over targets without the prompt.
func TestChoiceFollowsRendezvousOrder(t *testing.T) {
	for name, s := range map[string]selector.Settings{
		"gateway defaults":            selector.DefaultSettings(),
		"most exceed the bound":       {Factor: 0.5, Slack: 0.1},
		"nearly all exceed the bound": {Factor: 0.01, Slack: 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := rand.New(rand.NewPCG(5, 6))
			now := time.Unix(1000, 0)
			r := registry(12, "a", "b")

			for k := range uint64(300) {
				c := selector.New(s)
				loads := make(map[string]int)

				var holders []string

				for i := range 12 {
					id := fmt.Sprintf("t%d", i)
					loads[id] = x.IntN(6)
					c.ReportLoad(now, r.Known[id], selector.Load{Running: loads[id], Slots: 64})
				}

				for range x.IntN(4) {
					id := fmt.Sprintf("t%d", x.IntN(12))
					holders = append(holders, id)
					c.ApplyUpdate(now, r, selector.Update{Placements: []selector.Placement{{Key: k, Target: r.Known[id].Key().Name()}}})
				}

				o, ok := c.Choose(now, r, group, query(k))
				is.True(ok)
				is.Equal(o.Target.ID, expected(ordered(r, k), loads, holders, o.Bound))
				is.Equal(o.Load, float64(loads[o.Target.ID]))
				is.Equal(o.Cached, slices.Contains(holders, o.Target.ID))
			}
		})
	}
}

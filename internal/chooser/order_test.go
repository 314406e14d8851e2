package chooser_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/chooser"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/hasher"
)

// ordered returns the targets of the group in the key's own order.
func ordered(r *enroller.Roster, key uint64) []*enroller.Target {
	l := r.Groups[group]
	n := hasher.Rank(key, len(l), func(i int) uint64 { return uint64(hasher.Name(l[i].ID)) }, func(int) float64 { return 1 })

	o := make([]*enroller.Target, len(l))
	for i, k := range n {
		o[i] = l[k]
	}

	return o
}

// expected returns the target that the rule names: the first holder of the key's order
// within the bound, or the first target within it, or the least loaded.
func expected(l []*enroller.Target, loads map[string]int, holders []string, most float64) string {
	fits := func(t *enroller.Target) bool { return float64(loads[t.ID]+1) <= most }

	if i := slices.IndexFunc(l, func(t *enroller.Target) bool { return fits(t) && slices.Contains(holders, t.ID) }); i >= 0 {
		return l[i].ID
	}

	if i := slices.IndexFunc(l, fits); i >= 0 {
		return l[i].ID
	}

	return slices.MinFunc(l, func(a, b *enroller.Target) int { return loads[a.ID] - loads[b.ID] }).ID
}

// Instances that order targets in another way, or break ties in another way, spread what one
// target can't take over targets that are cold.
func TestChoiceIsTheFirstOfTheKeysOrder(t *testing.T) {
	for name, s := range map[string]chooser.Settings{
		"as a gateway's":        chooser.DefaultSettings(),
		"most are above":        {Factor: 0.5, Slack: 0.1},
		"all are above, or one": {Factor: 0.01, Slack: 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := rand.New(rand.NewPCG(5, 6))
			now := time.Unix(1000, 0)
			r := roster(12, "a", "b")

			for k := range uint64(300) {
				c := chooser.New(s)
				loads := make(map[string]int)

				var holders []string

				for i := range 12 {
					id := fmt.Sprintf("t%d", i)
					loads[id] = x.IntN(6)
					c.Report(now, r.Known[id], chooser.Report{Running: loads[id], Slots: 64})
				}

				for range x.IntN(4) {
					id := fmt.Sprintf("t%d", x.IntN(12))
					holders = append(holders, id)
					c.Learn(now, r, chooser.News{Places: []chooser.Place{{Key: k, Target: r.Known[id].Key().Name()}}})
				}

				o, ok := c.Choose(now, r, group, query(k))
				is.True(ok)
				is.Equal(o.Target.ID, expected(ordered(r, k), loads, holders, o.Bound))
				is.Equal(o.Load, float64(loads[o.Target.ID]))
				is.Equal(o.Held, slices.Contains(holders, o.Target.ID))
			}
		})
	}
}

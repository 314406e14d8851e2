package bencher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/bencher"
)

func run(t *testing.T, c bencher.Condition, policies ...string) []*bencher.Result {
	t.Helper()

	s := bencher.Sizes()[0]
	s.Duration, s.WarmUp = 80*time.Second, 40*time.Second

	var o []*bencher.Result

	err := bencher.Run([]bencher.Size{s}, []bencher.Condition{c}, policies, 7, func(r *bencher.Result) {
		r.CPU = 0
		o = append(o, r)
	})
	if err != nil {
		t.Fatal(err)
	}

	return o
}

func TestRunIsReproducible(t *testing.T) {
	i := is.New(t)

	for _, c := range bencher.Conditions() {
		i.Equal(run(t, c, bencher.Policies()...), run(t, c, bencher.Policies()...))
	}
}

// Plain hashing has the highest cache reuse but overloads engines, and selection by load
// balances well but reuses little. The policy must come close to the better baseline in
// both measures.
func TestPolicyBeatsBaselines(t *testing.T) {
	i := is.New(t)
	o := run(t, bencher.Steady, "homesNoToken", "rendezvous", "boundedRendezvous", "twoChoices")
	homes, plain, bounded, two := o[0], o[1], o[2], o[3]

	i.True(homes.SkewP99 <= 1.27)
	i.True(homes.SkewP99 < plain.SkewP99-0.2)
	i.True(homes.SkewP99 < bounded.SkewP99)
	i.True(homes.Reuse > bounded.Reuse)
	i.True(homes.Reuse > two.Reuse+0.2)
	i.True(homes.Reuse > plain.Reuse-0.03)
	i.Equal(homes.Refused, 0.0)
}

// A surge of three customers must not cause refusals of other customers.
func TestSurgeRefusesNoOtherCustomer(t *testing.T) {
	i := is.New(t)

	for _, r := range run(t, bencher.Surge, "homesNoToken") {
		i.Equal(r.Refused, 0.0)
		i.True(r.SkewP99 <= 1.30)
	}
}

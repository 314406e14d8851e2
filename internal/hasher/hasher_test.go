package hasher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/hasher"
)

// Guards against keys that move although their target remains: each removed target would then cost all
// other targets their prompt caches.
func TestRankMovesOnlyKeysOfRemovedCandidate(t *testing.T) {
	i := is.New(t)
	weight := func(int) float64 { return 1 }
	id := func(n int) uint64 { return uint64(n) }
	moved := 0

	for k := range uint64(2000) {
		a := hasher.Rank(k, 10, id, weight)
		b := hasher.Rank(k, 9, id, weight)

		if a[0] == 9 {
			moved++
			i.Equal(b[0], a[1]) // The second candidate becomes the first.
		} else {
			i.Equal(b[0], a[0]) // The other keys do not move.
		}
	}

	i.True(moved > 150 && moved < 250) // About a tenth ranked the removed one first.
}

func TestScoreIsProportionalToWeight(t *testing.T) {
	i := is.New(t)
	n := 0

	for k := range uint64(10000) {
		if hasher.Score(k, 1, 3) > hasher.Score(k, 2, 1) {
			n++
		}
	}

	i.True(n > 7300 && n < 7700)                // Three quarters.
	i.True(hasher.Score(1, 1, 0) < -1e300)      // A weight of zero never wins.
	i.True(hasher.Key("ab") != hasher.Key("a")) // Different keys.
	i.True(hasher.Key("ab", "c") != hasher.Key("a", "bc"))
}

package hasher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/hasher"
)

// A target leaves. Only the chats that had it first may move: if others moved
// too, each loss would cost the whole fleet its prompt caches.
func TestRankMovesOnlyTheKeysOfTheLost(t *testing.T) {
	i := is.New(t)
	one := func(int) float64 { return 1 }
	all := func(n int) uint64 { return uint64(n) }
	moved := 0

	for k := range uint64(2000) {
		a := hasher.Rank(k, 10, all, one)
		b := hasher.Rank(k, 9, all, one)

		if a[0] == 9 {
			moved++
			i.Equal(b[0], a[1]) // the next in order takes over
		} else {
			i.Equal(b[0], a[0]) // the others stay
		}
	}

	i.True(moved > 150 && moved < 250) // about a tenth had the lost one
}

func TestScoreFollowsWeights(t *testing.T) {
	i := is.New(t)
	n := 0

	for k := range uint64(10000) {
		if hasher.Score(k, 1, 3) > hasher.Score(k, 2, 1) {
			n++
		}
	}

	i.True(n > 7300 && n < 7700)                // three quarters
	i.True(hasher.Score(1, 1, 0) < -1e300)      // no weight never wins
	i.True(hasher.Key("ab") != hasher.Key("a")) // another key
	i.True(hasher.Key("ab", "c") != hasher.Key("a", "bc"))
}

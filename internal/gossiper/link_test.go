package gossiper_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/gossiper"
)

func TestClassOf(t *testing.T) {
	for name, x := range map[string]struct {
		rate float64
		want gossiper.LinkClass
	}{
		"unknown":    {0, 0},
		"10 Mbit/s":  {1.25e6, 0},
		"100 Mbit/s": {12.5e6, 1},
		"200 Mbit/s": {25e6, 1},
		"1 Gbit/s":   {125e6, 2},
		"10 Gbit/s":  {1.25e9, 3},
		"100 Gbit/s": {12.5e9, 3},
		"infinite":   {math.Inf(1), 3},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			i.Equal(gossiper.ClassOf(x.rate), x.want)
			i.Equal(gossiper.Member{ID: 1<<40 | uint64(x.want)}.Link(), x.want)
		})
	}
}

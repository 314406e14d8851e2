package pinner_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/pinner"
)

func members(n, centres int) []gossiper.Member {
	var o []gossiper.Member
	for i := range n {
		o = append(o, gossiper.Member{
			ID: uint64(i + 1), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 80), DataCentre: fmt.Sprint(i % centres),
		})
	}

	return o
}

// Guards against notes that nobody writes, or all instances: then the writes would grow with the instances.
func TestRecorders(t *testing.T) {
	for name, x := range map[string]struct{ instances, centres, want int }{
		"one instance":                {1, 1, 1},
		"six in four data centres":    {6, 4, 2},
		"eighty in five data centres": {80, 5, 4},
		"121 in five data centres":    {121, 5, 6},
		"380 in eight data centres":   {380, 8, 16},
		"986 in eight data centres":   {986, 8, 42},
		"one a data centre":           {3, 3, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := members(x.instances, x.centres)
			recording, writing, first := 0, 0, 0

			for _, m := range l {
				r := pinner.NewRecorders(m, l)
				is.Equal(r.Count(), x.want)
				is.True(r.Recording() || !r.Writing())

				if r.Writing() {
					writing++
				}

				if r.First() {
					first++
				}

				if r.Recording() {
					recording++
				}
			}

			is.Equal(recording, x.want)
			is.Equal(writing, min(x.want, 2))
			is.Equal(first, 1)
		})
	}
}

// Guards against two instances that take different recorders for those of a stream: the one that is asked would not know it.
func TestRecordersOfStreamAgree(t *testing.T) {
	is := is.New(t)
	l := members(120, 4)
	r := rand.New(rand.NewPCG(1, 1))

	for range 200 {
		s := pinner.Stream(r.Uint64())
		a, b := l[r.IntN(len(l))], l[r.IntN(len(l))]
		told, n := pinner.NewRecorders(a, l).Of(s)
		asked, _ := pinner.NewRecorders(b, l).Of(s)
		known := make(map[uint64]bool)

		for _, m := range append(asked, b) {
			known[m.ID] = true
		}

		is.True(n >= 1)
		is.True(n <= 2)

		for _, m := range told[:n] {
			is.True(known[m.ID])
			is.True(m.ID != a.ID)
		}
	}
}

package allocator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/allocator"
)

// simulate lets customers start requests up to their demands and returns the number of requests that each
// has in flight.
func simulate(demands map[uint32]int, weights map[uint32]float64, capacity float64) map[uint32]int {
	s := allocator.New()
	o := make(map[uint32]int)
	now := time.Unix(0, 0)

	for range 200 {
		now = now.Add(200 * time.Millisecond)

		for c := uint32(1); c <= uint32(len(demands)); c++ {
			// Requests above the share end and are not admitted again.
			if s.Admit(now, c, weights[c], 1, s.Used(), capacity) && o[c] < demands[c] {
				s.Start(now, c, weights[c], 1)

				o[c]++
			} else if o[c] > 0 {
				s.Finish(c, 1)

				o[c]--
			}
		}
	}

	return o
}

// Guards against a surge of a few customers that fills the pool, so that the calls of all others are
// refused. A customer with a demand below its share gets all of it, and the remaining capacity is divided
// by weight.
func TestAdmitSharesByWeight(t *testing.T) {
	for name, tc := range map[string]struct {
		demands map[uint32]int
		weights map[uint32]float64
		least   map[uint32]int
		most    map[uint32]int
	}{
		"demands below the share": {
			map[uint32]int{1: 10, 2: 10, 3: 500}, map[uint32]float64{1: 1, 2: 1, 3: 1},
			map[uint32]int{1: 9, 2: 9, 3: 60}, map[uint32]int{1: 10, 2: 10, 3: 90},
		},
		"demands above the share": {
			map[uint32]int{1: 500, 2: 500}, map[uint32]float64{1: 3, 2: 1},
			map[uint32]int{1: 55, 2: 15}, map[uint32]int{1: 75, 2: 35},
		},
		"idle capacity": {
			map[uint32]int{1: 80, 2: 1}, map[uint32]float64{1: 1, 2: 9},
			map[uint32]int{1: 75}, map[uint32]int{1: 80, 2: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			o := simulate(tc.demands, tc.weights, 100)

			for c, n := range tc.least {
				i.True(o[c] >= n) // At least its share.
			}

			for c, n := range tc.most {
				i.True(o[c] <= n) // No more than its share.
			}
		})
	}
}

func TestIdleCustomersAreForgotten(t *testing.T) {
	i := is.New(t)
	s := allocator.New()
	now := time.Unix(0, 0)

	for c := range uint32(1000) {
		i.True(s.Admit(now, c, 1, 1, s.Used(), 1e6))
		s.Start(now, c, 1, 1)
		s.Finish(c, 1)
	}

	s.Admit(now.Add(time.Minute), 1, 1, 1, 0, 1e6)
	i.True(s.Len() <= 1)
	i.Equal(s.Used(), 0.0)
}

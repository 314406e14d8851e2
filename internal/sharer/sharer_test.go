package sharer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/sharer"
)

// hold fills the sharer as customers do that always want another request, up to
// so many, and returns what each holds.
func hold(wants map[uint32]int, weights map[uint32]float64, capacity float64) map[uint32]int {
	s := sharer.New()
	o := make(map[uint32]int)
	now := time.Unix(0, 0)

	for range 200 {
		now = now.Add(200 * time.Millisecond)

		for c := uint32(1); c <= uint32(len(wants)); c++ {
			// What is over the share ends and is not let in again.
			if s.Admit(now, c, weights[c], 1, s.Used(), capacity) && o[c] < wants[c] {
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

// A few members surge and everyone else's calls are refused: the pool is full of
// the surge's requests. With shares, who asks for less than its part gets all
// of it, and the rest is divided by weight.
func TestAdmitSharesByWeight(t *testing.T) {
	for name, tc := range map[string]struct {
		wants   map[uint32]int
		weights map[uint32]float64
		least   map[uint32]int
		most    map[uint32]int
	}{
		"the small keep what they need": {
			map[uint32]int{1: 10, 2: 10, 3: 500}, map[uint32]float64{1: 1, 2: 1, 3: 1},
			map[uint32]int{1: 9, 2: 9, 3: 60}, map[uint32]int{1: 10, 2: 10, 3: 90},
		},
		"the large divide by weight": {
			map[uint32]int{1: 500, 2: 500}, map[uint32]float64{1: 3, 2: 1},
			map[uint32]int{1: 55, 2: 15}, map[uint32]int{1: 75, 2: 35},
		},
		"what is idle goes to who asks": {
			map[uint32]int{1: 80, 2: 1}, map[uint32]float64{1: 1, 2: 9},
			map[uint32]int{1: 75}, map[uint32]int{1: 80, 2: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			o := hold(tc.wants, tc.weights, 100)

			for c, n := range tc.least {
				i.True(o[c] >= n) // at least its share
			}

			for c, n := range tc.most {
				i.True(o[c] <= n) // and no more
			}
		})
	}
}

func TestSharerForgetsIdleCustomers(t *testing.T) {
	i := is.New(t)
	s := sharer.New()
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

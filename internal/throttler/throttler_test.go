package throttler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/throttler"
)

// rate is the sustainable rate of a cold target in calls per second.
const rate = 18

var bounds = throttler.Settings{Coverage: 1.5, Slack: 5}

// ids returns the IDs from the first number up to but excluding the second.
func ids(from, to uint64) []uint64 {
	var o []uint64
	for id := from; id < to; id++ {
		o = append(o, id)
	}

	return o
}

// Guards against shares whose sum exceeds the calls per second that a cold target may get.
func TestSumOfShares(t *testing.T) {
	for name, x := range map[string]struct {
		// views are the sets of instances that see each other.
		views [][]uint64
		most  int
		least int
	}{
		"one instance":                {views: [][]uint64{ids(0, 1)}, most: 1, least: 27},
		"eight":                       {views: [][]uint64{ids(0, 8)}, most: 8, least: 24},
		"as many as calls per second": {views: [][]uint64{ids(0, 27)}, most: 27, least: 27},
		"more than calls per second":  {views: [][]uint64{ids(0, 30)}, most: 30, least: 27},
		"85":                          {views: [][]uint64{ids(0, 85)}, most: 85, least: 27},
		"380":                         {views: [][]uint64{ids(0, 380)}, most: 380, least: 27},
		"eight, partitioned in two":   {views: [][]uint64{ids(0, 3), ids(3, 8)}, most: 8, least: 24},
		"85, partitioned in two":      {views: [][]uint64{ids(0, 21), ids(21, 85)}, most: 85, least: 25},
		"380, partitioned in four":    {views: [][]uint64{ids(0, 95), ids(95, 190), ids(190, 285), ids(285, 380)}, most: 380, least: 23},
		"85, each isolated":           {views: [][]uint64{ids(0, 1), ids(1, 2), ids(2, 3), ids(3, 4)}, most: 85},
		"fewer than before":           {views: [][]uint64{ids(0, 20)}, most: 85, least: 6},
		"more than seen before":       {views: [][]uint64{ids(0, 85)}, most: 20, least: 27},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			for k := range discoverer.Key(50) {
				n := 0

				for _, v := range x.views {
					for _, id := range v {
						n += bounds.Share(k, rate, throttler.Fleet{Self: id, Live: v, MaxInstances: x.most, Settled: true})
					}
				}

				i.True(n <= rate*3/2)
				i.True(n >= x.least)
			}
		})
	}
}

// Guards against an instance that has just started and considers itself the only one.
func TestStartingInstanceHasNoShare(t *testing.T) {
	i := is.New(t)
	i.Equal(bounds.Share(1, rate, throttler.Fleet{Live: ids(0, 1), MaxInstances: 1}), 0)
}

// Guards against calls sent in different seconds that arrive at the target within one.
func TestCallsInWindow(t *testing.T) {
	i := is.New(t)
	x := throttler.New(bounds)
	f := func() throttler.Fleet { return throttler.Fleet{Live: ids(0, 8), MaxInstances: 8, Settled: true} }
	n := time.Unix(0, 0)

	for range 3 {
		i.True(x.Allow(n, 1, rate, f))
		x.RecordSent(n, 1)
	}

	i.True(!x.Allow(n, 1, rate, f))
	i.True(x.Allow(n, 2, rate, f)) // Another target has its own count.
	i.True(!x.Allow(n.Add(1100*time.Millisecond), 1, rate, f))
	i.True(x.Allow(n.Add(1300*time.Millisecond), 1, rate, f))

	x.Set(throttler.Settings{Coverage: 3})
	i.True(x.Allow(n, 1, rate, f))
}

// Guards against a share that is computed for each call, and against one that is never updated.
func TestSharesAreCached(t *testing.T) {
	i := is.New(t)
	x := throttler.New(bounds)
	computed := 0
	f := func() throttler.Fleet {
		computed++

		return throttler.Fleet{Live: ids(0, 8), MaxInstances: 8, Settled: true}
	}
	n := time.Unix(0, 0)

	for k := range 100 {
		x.Allow(n.Add(time.Duration(k)*5*time.Millisecond), 1, rate, f)
	}

	i.Equal(computed, 1)
	x.Allow(n.Add(2*time.Second), 1, rate, f)
	i.Equal(computed, 2)
	x.Forget(1)
	x.Allow(n.Add(2*time.Second), 1, rate, f)
	i.Equal(computed, 3)
}

package sharder_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/sharder"
)

func targets(n int) []*discoverer.Target {
	e := discoverer.New(discoverer.DefaultSettings())
	for i := range n {
		e.Set(discoverer.Target{ID: fmt.Sprintf("t%d", i), Group: "g"})
	}

	return e.Registry().Groups["g"]
}

// Guards against sharding without need, which moves customers away from their cached prompts. Sharding
// must start only when many of a group's targets crash one after the other, not when they crash at the same time or
// when few of them crash.
func TestSharded(t *testing.T) {
	for name, x := range map[string]struct {
		targets, crashed int
		interval         time.Duration
		after            time.Duration
		// repeated is the number of the crashes, from the last one back, that repeat an earlier one.
		repeated int
		want     bool
	}{
		"none":                {targets: 18},
		"one after the other": {targets: 18, crashed: 8, interval: 500 * time.Millisecond, want: true},
		"in quick succession": {targets: 18, crashed: 12, interval: 250 * time.Millisecond, want: true},
		"simultaneous":        {targets: 18, crashed: 18},
		"two of four":         {targets: 4, crashed: 2, interval: time.Second},
		"four of four":        {targets: 4, crashed: 4, interval: time.Second, want: true},
		"a quarantined call":  {targets: 6, crashed: 3, interval: time.Second},
		"few of many":         {targets: 192, crashed: 20, interval: 400 * time.Millisecond},
		"outside the window":  {targets: 18, crashed: 8, interval: 500 * time.Millisecond, after: 10 * time.Second},
		"two calls at once":   {targets: 18, crashed: 4, interval: 20 * time.Millisecond, repeated: 3, want: true},
		"one call at once":    {targets: 18, crashed: 4, interval: 20 * time.Millisecond, repeated: 2},
		"two calls, many":     {targets: 192, crashed: 20, interval: 20 * time.Millisecond, repeated: 15},
		"two calls, few":      {targets: 15, crashed: 6, interval: 20 * time.Millisecond, repeated: 4},
		"two calls, earlier":  {targets: 18, crashed: 4, interval: 20 * time.Millisecond, repeated: 3, after: 10 * time.Second},
		"far apart":           {targets: 18, crashed: 18, interval: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			c := sharder.New()
			l := targets(x.targets)
			now := time.Unix(0, 0)

			for n, k := range l[:x.crashed] {
				c.RecordCrash(now, k, false)
				c.RecordCrash(now.Add(time.Second), k, n >= x.crashed-x.repeated) // Another instance reports the same crash.
				now = now.Add(x.interval)
			}

			now = now.Add(x.after)
			i.Equal(c.Sharded(now, "g", x.targets, noCause), x.want)
			i.Equal(c.Sharded(now, "other", x.targets, noCause), false)
		})
	}
}

// Guards against shards that overlap too much, so that one customer crashes most targets of another, and
// against shards that change much when a target is removed.
func TestShard(t *testing.T) {
	i := is.New(t)
	l := targets(18)

	in := func(x *discoverer.Target, l []*discoverer.Target) bool {
		for _, y := range l {
			if y.ID == x.ID {
				return true
			}
		}

		return false
	}

	first := sharder.Shard(1, l)
	i.Equal(len(first), 6)
	i.Equal(len(sharder.Shard(1, targets(1))), 1)
	i.Equal(len(sharder.Shard(1, nil)), 0)

	shared := 0

	for c := uint64(2); c < 1000; c++ {
		for _, x := range sharder.Shard(c, l) {
			if in(x, first) {
				shared++
			}
		}
	}

	i.True(shared < 998*6*4/10) // The expected overlap is a third.

	kept := 0

	for _, x := range sharder.Shard(1, targets(17)) {
		if in(x, first) {
			kept++
		}
	}

	i.True(kept >= 5)
}

// noCause is the function of a Sharder where no part of prompts is quarantined.
func noCause(discoverer.Key) digester.Digest { return 0 }

// Guards against customers that are confined to their shards, where targets have just crashed, although the part of prompts that
// crashed them is quarantined; and against all targets crashing again and again by ever new parts.
func TestKnownCausesAreNoReasonForSharding(t *testing.T) {
	for name, x := range map[string]struct {
		causes int
		want   bool
	}{
		"no part":     {0, true},
		"one part":    {1, false},
		"two parts":   {2, false},
		"three parts": {3, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := sharder.New()
			now := time.Unix(1_700_000_000, 0)
			causes := make(map[discoverer.Key]digester.Digest)

			for n, y := range targets(6) {
				now = now.Add(time.Second)
				c.RecordCrash(now, y, true)

				if x.causes > 0 {
					causes[y.Key()] = digester.OfPart(strconv.Itoa(n % x.causes))
				}
			}

			is.New(t).Equal(c.Sharded(now, "g", 6, func(k discoverer.Key) digester.Digest { return causes[k] }), x.want)
		})
	}
}

package confiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/confiner"
	"github.com/auburntray/auburntray/internal/enroller"
)

func targets(n int) []*enroller.Target {
	e := enroller.New(enroller.DefaultSettings())
	for i := range n {
		e.Set(enroller.Target{ID: fmt.Sprintf("t%d", i), Group: "g"})
	}

	return e.Roster().Groups["g"]
}

// Targets that end together, or few of many, are no reason to move customers: their prompts
// would be read again elsewhere. Targets that end one after the other are.
func TestConfined(t *testing.T) {
	for name, x := range map[string]struct {
		targets, ended int
		every          time.Duration
		after          time.Duration
		want           bool
	}{
		"none":                     {targets: 18},
		"one after the other":      {targets: 18, ended: 8, every: 500 * time.Millisecond, want: true},
		"in quick succession":      {targets: 18, ended: 12, every: 250 * time.Millisecond, want: true},
		"all together":             {targets: 18, ended: 18},
		"two of four":              {targets: 4, ended: 2, every: time.Second},
		"four of four":             {targets: 4, ended: 4, every: time.Second, want: true},
		"a call that is held back": {targets: 6, ended: 3, every: time.Second},
		"few of many":              {targets: 192, ended: 20, every: 400 * time.Millisecond},
		"long ago":                 {targets: 18, ended: 8, every: 500 * time.Millisecond, after: 10 * time.Second},
		"far apart":                {targets: 18, ended: 18, every: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			c := confiner.New()
			l := targets(x.targets)
			now := time.Unix(0, 0)

			for _, k := range l[:x.ended] {
				c.Ended(now, k)
				c.Ended(now.Add(time.Second), k) // Others tell it again.
				now = now.Add(x.every)
			}

			now = now.Add(x.after)
			i.Equal(c.Confined(now, "g", x.targets), x.want)
			i.Equal(c.Confined(now, "other", x.targets), false)
		})
	}
}

// A customer that ends its part of the targets takes no more than a part from any other, and a
// target that leaves moves few.
func TestPart(t *testing.T) {
	i := is.New(t)
	l := targets(18)

	in := func(x *enroller.Target, l []*enroller.Target) bool {
		for _, y := range l {
			if y.ID == x.ID {
				return true
			}
		}

		return false
	}

	first := confiner.Part(1, l)
	i.Equal(len(first), 6)
	i.Equal(len(confiner.Part(1, targets(1))), 1)
	i.Equal(len(confiner.Part(1, nil)), 0)

	shared := 0

	for c := uint64(2); c < 1000; c++ {
		for _, x := range confiner.Part(c, l) {
			if in(x, first) {
				shared++
			}
		}
	}

	i.True(shared < 998*6*4/10) // A third, but for chance.

	stay := 0

	for _, x := range confiner.Part(1, targets(17)) {
		if in(x, first) {
			stay++
		}
	}

	i.True(stay >= 5)
}

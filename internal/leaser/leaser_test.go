package leaser_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburntray/auburntray/internal/leaser"
)

// Fixes the seed, so that random tests draw the same values in each run.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestApply(t *testing.T) {
	type entry struct {
		at     time.Duration
		holder uint64
	}

	for name, tc := range map[string]struct {
		entries []entry
		at      time.Duration
		want    uint64
		fence   uint64
	}{
		"no records":            {nil, 0, 0, 0},
		"lowest offset wins":    {[]entry{{0, 1}, {0, 2}}, time.Second, 1, 1},
		"expired":               {[]entry{{0, 1}}, 10 * time.Second, 0, 0},
		"acquired after expiry": {[]entry{{0, 1}, {10 * time.Second, 2}}, 11 * time.Second, 2, 2},
		"request before expiry": {[]entry{{0, 1}, {9 * time.Second, 2}}, 11 * time.Second, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			l := leaser.New()
			start := time.Unix(1000, 0)

			for n, e := range tc.entries {
				r := leaser.Record{Target: 7, Holder: e.holder, Lifetime: 10 * time.Second}
				l.Apply(uint64(n), start.Add(e.at), r)
				l.Apply(uint64(n), start.Add(e.at), r)
			}

			x := l.Get(start.Add(tc.at), 7)
			i.Equal(x.Holder, tc.want)
			i.Equal(x.Fence, tc.fence)
		})
	}
}

// Guards against overlapping leases on a target and fencing numbers that do not rise, for
// requests by any holder at any time.
func TestLeasesNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := leaser.New()
		now := time.Unix(1000, 0)

		var last leaser.Lease

		for n := range rapid.IntRange(1, 50).Draw(t, "records") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
			l.Apply(uint64(n), now, leaser.Record{Target: 1, Holder: rapid.Uint64Range(1, 3).Draw(t, "holder"), Lifetime: 10 * time.Second})

			x := l.Get(now, 1)
			if x.Fence == last.Fence {
				continue
			}

			if x.Fence < last.Fence || now.Before(last.Expires) {
				t.Fatalf("%+v after %+v", x, last)
			}

			last = x
		}
	})
}

// Guards against a fencing number that goes back as the log assigns its offsets again: a target would refuse the
// commands of the present holder.
func TestFencesRiseAcrossEras(t *testing.T) {
	i := is.New(t)
	l := leaser.New()
	n := time.Unix(1000, 0)
	r := leaser.Record{Target: 7, Holder: 1, Lifetime: 10 * time.Second}

	l.Apply(500, n, r)
	f := l.Get(n, 7).Fence
	i.Equal(f, uint64(501))

	l.Rewind(1)
	i.Equal(l.Get(n, 7), leaser.Lease{})

	r.Holder = 2
	l.Apply(3, n, r)

	x := l.Get(n, 7)
	i.Equal(x.Holder, uint64(2))
	i.Equal(x.Offset, uint64(3))
	i.True(x.Fence > f)
}

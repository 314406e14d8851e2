package discoverer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// Guards against a cold target that counts as warm, or as cold for ever.
func TestColdTargets(t *testing.T) {
	const usual = 3 * time.Second

	n := time.Unix(100, 0)
	entry := func(d time.Duration, offset int64) discoverer.Target {
		return discoverer.Target{ID: "t", ColdTime: d, Offset: offset}
	}

	for name, x := range map[string]struct {
		entries []discoverer.Target
		// interval is the time between two entries.
		interval time.Duration
		want     time.Duration
	}{
		"stated":                      {entries: []discoverer.Target{entry(2*time.Second, 1)}, want: 2 * time.Second},
		"warm":                        {entries: []discoverer.Target{entry(0, 1)}},
		"the same record again":       {entries: []discoverer.Target{entry(2*time.Second, 1), entry(2*time.Second, 1)}, interval: time.Second, want: time.Second},
		"newer record":                {entries: []discoverer.Target{entry(2*time.Second, 1), entry(2*time.Second, 2)}, interval: time.Second, want: 2 * time.Second},
		"newer record states warm":    {entries: []discoverer.Target{entry(2*time.Second, 1), entry(0, 2)}},
		"cold again, same process":    {entries: []discoverer.Target{entry(0, 1), entry(time.Second, 2)}, interval: time.Minute, want: time.Second},
		"not stated":                  {entries: []discoverer.Target{entry(discoverer.ColdUnknown, 1)}, want: usual},
		"not stated for long":         {entries: []discoverer.Target{entry(discoverer.ColdUnknown, 1), entry(discoverer.ColdUnknown, 2)}, interval: time.Minute},
		"another process, not stated": {entries: []discoverer.Target{entry(0, 1), {ID: "t", Start: n, ColdTime: discoverer.ColdUnknown, Offset: 2}}, interval: time.Minute, want: usual},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			var (
				o   *discoverer.Target
				now = n
			)

			for k, e := range x.entries {
				now = n.Add(time.Duration(k) * x.interval)
				e = e.WithReadTime(now, o)
				o = &e
			}

			i.Equal(o.ColdAt(now, usual), x.want > 0)
			i.True(!o.ColdAt(now.Add(x.want), usual))

			if x.want > 0 {
				i.True(o.ColdAt(now.Add(x.want-time.Millisecond), usual))
			}
		})
	}
}

package estimator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/estimator"
)

func TestInstances(t *testing.T) {
	type observation struct {
		at    time.Duration
		live  map[string]int
		seeds int
	}

	all := map[string]int{"a": 29, "b": 26, "c": 25}

	for name, x := range map[string]struct {
		centres      []string
		observations []observation
		at           time.Duration
		want         int
	}{
		"unknown just after the start":                 {[]string{"a", "b", "c"}, []observation{{time.Second, all, 3}}, 2 * time.Second, 0},
		"all are seen":                                 {[]string{"a", "b", "c"}, []observation{{time.Second, all, 3}}, 4 * time.Second, 80},
		"start in a partition":                         {[]string{"a", "b", "c"}, []observation{{3 * time.Second, map[string]int{"a": 29}, 3}}, 4 * time.Second, 87},
		"start in a partition with no other instance":  {[]string{"a", "b", "c"}, []observation{{3 * time.Second, map[string]int{"a": 1}, 2}}, 4 * time.Second, 3},
		"two of three data centres are seen":           {[]string{"a", "b", "c"}, []observation{{time.Second, map[string]int{"a": 29, "b": 26}, 3}}, 4 * time.Second, 84},
		"a partition begins":                           {[]string{"a", "b", "c"}, []observation{{time.Second, all, 3}, {time.Minute, map[string]int{"a": 29}, 3}}, 10 * time.Minute, 80},
		"instances were removed more than an hour ago": {[]string{"a", "b", "c"}, []observation{{0, all, 3}, {61 * time.Minute, map[string]int{"a": 9}, 3}}, 61 * time.Minute, 9},
		"seeds are not all live":                       {[]string{"a"}, []observation{{time.Second, map[string]int{"a": 1}, 3}}, 4 * time.Second, 3},
		"nothing was observed":                         {nil, nil, 4 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := time.Unix(0, 0)
			e := estimator.New(b, "a", x.centres)

			for _, o := range x.observations {
				e.Observe(b.Add(o.at), o.live, o.seeds)
			}

			is.New(t).Equal(e.Instances(b.Add(x.at)), x.want)
		})
	}
}

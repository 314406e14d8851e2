package discoverer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// Guards against a target that became cold again and counts as warm: its entry of a new era has the offset of the entry
// that was read before, and was taken for it.
func TestColdTimeOfNewEra(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(10 * time.Second)

	for name, x := range map[string]struct {
		era  uint64
		cold bool
	}{
		"the same entry again":     {1, false},
		"another one of a new era": {2, true},
	} {
		t.Run(name, func(t *testing.T) {
			o := discoverer.Target{ID: "t", ColdTime: 2 * time.Second, Era: 1, Offset: 5}.WithReadTime(now, nil)
			n := discoverer.Target{ID: "t", ColdTime: 2 * time.Second, Era: x.era, Offset: 5}.WithReadTime(later, &o)

			is.New(t).Equal(n.ColdAt(later.Add(time.Second), 0), x.cold)
		})
	}
}

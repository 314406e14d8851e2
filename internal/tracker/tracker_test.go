package tracker_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/tracker"
)

// Guards against new requests to a leaving target, which are cut when it stops, because the platform's
// list lags and still reports it as live. Leaving applies to that incarnation, not to the next one.
func TestObserve(t *testing.T) {
	for name, tc := range map[string]struct {
		seen []tracker.State
		want tracker.State
	}{
		"no report":                         {nil, tracker.State{}},
		"live":                              {[]tracker.State{{5, false}}, tracker.State{Incarnation: 5}},
		"leaving":                           {[]tracker.State{{5, false}, {5, true}}, tracker.State{Incarnation: 5, Leaving: true}},
		"leaving, then a lagging list":      {[]tracker.State{{5, true}, {5, false}}, tracker.State{Incarnation: 5, Leaving: true}},
		"next process is live":              {[]tracker.State{{5, true}, {6, false}}, tracker.State{Incarnation: 6}},
		"late report of the former process": {[]tracker.State{{6, false}, {5, true}}, tracker.State{Incarnation: 6}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			x := tracker.New()

			for _, s := range tc.seen {
				x.Observe(1, s)
			}

			i.Equal(x.Get(1), tc.want)
		})
	}
}

package tracker_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/tracker"
)

// A target says that it leaves; then the platform's list, which lags, still
// calls it live. Taken at its word the target would get new work and cut it when
// it stops. Leaving must stick to that incarnation and not to the next.
func TestObserve(t *testing.T) {
	for name, tc := range map[string]struct {
		seen []tracker.State
		want tracker.State
	}{
		"nothing":                     {nil, tracker.State{}},
		"live":                        {[]tracker.State{{5, false}}, tracker.State{Incarnation: 5}},
		"leaving":                     {[]tracker.State{{5, false}, {5, true}}, tracker.State{Incarnation: 5, Leaving: true}},
		"leaving, then the late list": {[]tracker.State{{5, true}, {5, false}}, tracker.State{Incarnation: 5, Leaving: true}},
		"the next process is live":    {[]tracker.State{{5, true}, {6, false}}, tracker.State{Incarnation: 6}},
		"late word of the former one": {[]tracker.State{{6, false}, {5, true}}, tracker.State{Incarnation: 6}},
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

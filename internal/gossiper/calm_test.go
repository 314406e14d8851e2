package gossiper_test

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against routers that count as dead in a fleet that is too large for the time-outs: nobody fails, and each
// must remain live at all others.
func TestCalmFleetKeepsAllMembers(t *testing.T) {
	for name, tc := range map[string]struct {
		members, centres, seconds int
		loss                      float64
	}{
		"85":             {85, 4, 60, 0},
		"301":            {301, 6, 60, 0},
		"986":            {986, 6, 30, 0},
		"986, with loss": {986, 6, 30, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFleet(tc.members, tc.centres)
			f.loss = tc.loss
			f.run(tc.seconds)
			t.Logf("%.0f bytes/s sent, %.2f messages/s a node", float64(f.bytes)/float64(tc.seconds*tc.members), float64(f.messages)/float64(tc.seconds*tc.members))

			m, x := f.differences("")
			i.Equal(m, 0)
			i.Equal(x, 0)
			i.Equal(f.declared, 0)
		})
	}
}

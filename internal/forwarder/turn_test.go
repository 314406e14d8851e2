package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/standin/hearer"
)

// A caller complains that its call was refused, and no log has its ID: the instance that it came
// to was stopping, and turned each call away without a line. Each has one, as far as lines are
// bounded; the count has them all.
func TestCallsThatAreNotTakenAreLogged(t *testing.T) {
	for name, x := range map[string]struct {
		stopping bool
		calls    int
		reason   string
		most     int
	}{
		"while it stops": {stopping: true, calls: 1, reason: "stopping", most: 1},
		"too many calls": {calls: 1, reason: "busy", most: 1},
		"in a flood":     {calls: 10_000, reason: "busy", most: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			g := front(t)
			h := hearer.New(t)

			for range x.calls {
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/once/1", http.NoBody)
				r.Header.Set("Id", "call-1")

				w := httptest.NewRecorder()
				g.forwarder.Turn(w, r, x.stopping)

				i.Equal(w.Code, http.StatusServiceUnavailable)
				i.True(w.Header().Get("Retry-After") != "")
			}

			l := h.AllEntries()
			i.True(len(l) >= 1)
			i.True(len(l) <= x.most)
			i.Equal(l[0].Data["event"], "callRefused")
			i.Equal(l[0].Data["id"], "call-1")
			i.Equal(string(l[0].Data["reason"].(forwarder.Reason)), x.reason)
		})
	}
}

package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/standin/collector"
)

// Guards against rejected calls that no log mentions: a stopping instance rejected calls
// without logging them, so that a call could not be found by its ID. Each rejected call is logged,
// up to the rate limit; the metric counts all.
func TestRejectedCallsAreLogged(t *testing.T) {
	for name, x := range map[string]struct {
		stopping bool
		calls    int
		reason   string
		maxLines int
	}{
		"stopping instance": {stopping: true, calls: 1, reason: "stopping", maxLines: 1},
		"too many calls":    {calls: 1, reason: "busy", maxLines: 1},
		"high load":         {calls: 10_000, reason: "busy", maxLines: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			g := newGateway(t)
			h := collector.New(t)

			for range x.calls {
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/once/1", http.NoBody)
				r.Header.Set("Id", "call-1")

				w := httptest.NewRecorder()
				g.forwarder.Reject(w, r, x.stopping)

				i.Equal(w.Code, http.StatusServiceUnavailable)
				i.True(w.Header().Get("Retry-After") != "")
			}

			l := h.AllEntries()
			i.True(len(l) >= 1)
			i.True(len(l) <= x.maxLines)
			i.Equal(l[0].Data["event"], "callRefused")
			i.Equal(l[0].Data["id"], "call-1")
			i.Equal(string(l[0].Data["reason"].(forwarder.Reason)), x.reason)
		})
	}
}

// Guards against a log without bound: each call without a rule, which anybody may send, had a line of its own.
func TestLinesOfCallsWithoutRuleAreLimited(t *testing.T) {
	const calls, maxLines = 10_000, 1000

	i := is.New(t)
	g := newGateway(t)
	h := collector.New(t)

	for range calls {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/nowhere", http.NoBody)
		w := httptest.NewRecorder()
		g.forwarder.ServeHTTP(w, r)
		i.True(w.Code >= http.StatusBadRequest)
	}

	l := h.AllEntries()
	i.True(len(l) >= 1)
	i.True(len(l) <= maxLines)
	i.Equal(l[0].Data["event"], "callRefused")
}

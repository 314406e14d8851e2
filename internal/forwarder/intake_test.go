package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusals during a start of all instances of a large fleet, when each receives its
// catalog only after most of a second because the platform sends a long one to all. With a fixed
// wait, callers with seconds left were refused by one instance after the other. A call must instead
// wait for a fraction of its own time-out; a caller with little time must be refused while it can
// still retry.
func TestCallsWaitForTheFirstCatalog(t *testing.T) {
	for name, x := range map[string]struct {
		timeout string
		after   time.Duration
		status  int
	}{
		"catalog known soon":            {timeout: "600", after: 50 * time.Millisecond, status: http.StatusOK},
		"caller with a short time-out":  {timeout: "600", after: 500 * time.Millisecond, status: http.StatusServiceUnavailable},
		"caller with a long time-out":   {timeout: "4000", after: 500 * time.Millisecond, status: http.StatusOK},
		"caller without a time-out":     {after: 100 * time.Millisecond, status: http.StatusOK},
		"platform outage":               {timeout: "60000", after: 2500 * time.Millisecond, status: http.StatusServiceUnavailable},
		"catalog known before the call": {timeout: "600", status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			g := newGateway(t, &target{answer: answerOK})
			c := g.state.catalog
			g.state.setCatalog(nil)

			s := time.AfterFunc(x.after, func() { g.state.setCatalog(c) })
			defer s.Stop()

			b := time.Now()
			o := g.call(t, http.MethodGet, "/once/", "", "Key", "key-1", "Patience-Ms", x.timeout)
			i.Equal(o.status, x.status)

			if x.status != http.StatusOK {
				i.True(time.Since(b) < x.after) // Early enough for the caller to retry.
			}
		})
	}
}

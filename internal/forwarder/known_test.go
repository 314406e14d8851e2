package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// All instances of a large fleet start at once, and each has its catalog only after most of a
// second: the platform sends a long one to all of them. Callers with seconds to wait were refused
// after a fixed moment, came back to another such instance, and were refused for good. A call waits
// for a part of its own time; one that has little is told to come back while it can.
func TestCallsWaitForTheFirstCatalog(t *testing.T) {
	for name, x := range map[string]struct {
		patience string
		after    time.Duration
		status   int
	}{
		"known soon":             {patience: "600", after: 50 * time.Millisecond, status: http.StatusOK},
		"a caller in a hurry":    {patience: "600", after: 500 * time.Millisecond, status: http.StatusServiceUnavailable},
		"one that has its time":  {patience: "4000", after: 500 * time.Millisecond, status: http.StatusOK},
		"one that does not say":  {after: 100 * time.Millisecond, status: http.StatusOK},
		"an outage":              {patience: "60000", after: 2500 * time.Millisecond, status: http.StatusServiceUnavailable},
		"known before it begins": {patience: "600", status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			g := front(t, &target{answer: ok})
			c := g.facts.catalog
			g.facts.learn(nil)

			s := time.AfterFunc(x.after, func() { g.facts.learn(c) })
			defer s.Stop()

			b := time.Now()
			o := g.call(t, http.MethodGet, "/once/", "", "Key", "key-1", "Patience-Ms", x.patience)
			i.Equal(o.status, x.status)

			if x.status != http.StatusOK {
				i.True(time.Since(b) < x.after) // It is told while it can come back.
			}
		})
	}
}

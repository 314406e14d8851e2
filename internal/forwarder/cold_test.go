package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/cataloger"
)

// Guards against cold targets that receive more calls than their rate limit, and against calls that
// wait for them until their deadline instead of being refused.
func TestColdTargetsAreThrottled(t *testing.T) {
	i := is.New(t)
	a := &target{answer: answerOK}
	g := newGateway(t, a)
	c, err := cataloger.New(cataloger.Document{
		Version: 2, Rules: rules(), Groups: []cataloger.Group{{Name: "g", ColdFor: time.Minute, ColdRate: 5}},
		Customers: []cataloger.Customer{{Name: "customer-1", Keys: []string{"key-1"}}},
	})
	i.NoErr(err)
	g.state.setCatalog(c)

	x := *g.state.Registry().Known["t0"]
	x.ColdTime = time.Minute
	g.setTargets(x.WithReadTime(time.Now(), nil))

	for k := range 8 {
		o := g.call(t, http.MethodGet, "/once/", "")

		if k < 5 {
			i.Equal(o.status, http.StatusOK)

			continue
		}

		i.Equal(o.status, http.StatusServiceUnavailable)
		i.True(o.header.Get("Retry-After") != "")
	}

	i.Equal(a.count(), 5)
}

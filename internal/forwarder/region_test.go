package forwarder_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/cataloger"
)

// Guards against calls that reach a region that their rule or customer does not permit.
func TestRegions(t *testing.T) {
	for name, x := range map[string]struct {
		rule, customer []string
		path           string
		status         int
		calls          []int
	}{
		"no regions": {path: "/once/", status: http.StatusOK, calls: []int{1, 0}},
		"rule":       {rule: []string{"r1"}, path: "/once/", status: http.StatusOK, calls: []int{0, 1}},
		"customer":   {customer: []string{"r1"}, path: "/once/", status: http.StatusOK, calls: []int{0, 1}},
		"rule and customer, one region in common": {rule: []string{"r0", "r1"}, customer: []string{"r1"}, path: "/idempotent/", status: http.StatusOK, calls: []int{0, 1}},
		"rule and customer, no region in common":  {rule: []string{"r0"}, customer: []string{"r1"}, path: "/idempotent/", status: http.StatusServiceUnavailable, calls: []int{0, 0}},
		"region without targets":                  {rule: []string{"r9"}, path: "/once/", status: http.StatusServiceUnavailable, calls: []int{0, 0}},
		"rule, an empty list":                     {rule: []string{}, path: "/once/", status: http.StatusServiceUnavailable, calls: []int{0, 0}},
		"customer, an empty list":                 {customer: []string{}, path: "/idempotent/", status: http.StatusServiceUnavailable, calls: []int{0, 0}},
		"empty name":                              {rule: []string{""}, path: "/once/", status: http.StatusServiceUnavailable, calls: []int{0, 0}},
		"public rule ignores customer":            {customer: []string{"r1"}, path: "/public/", status: http.StatusOK, calls: []int{1, 0}},
		"second attempt stays in the region":      {rule: []string{"r0"}, path: "/idempotent/", status: http.StatusBadGateway, calls: []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a, b := &target{answer: answerOK}, &target{answer: answerOK}

			if x.status == http.StatusBadGateway {
				a.answer = func(n net.Conn, _ received) { reset(n) }
			}

			g := newGateway(t, a, b)
			l := rules()

			for k := range l {
				l[k].Regions = x.rule
			}

			c, err := cataloger.New(cataloger.Document{
				Version: 2, Rules: l, Groups: []cataloger.Group{{Name: "g"}},
				Customers: []cataloger.Customer{{Name: "customer-1", Keys: []string{"key-1"}, Regions: x.customer}},
			})
			i.NoErr(err)
			g.state.setCatalog(c)

			n := time.Now()
			o := g.call(t, http.MethodGet, x.path, "")
			i.Equal(o.status, x.status)
			i.Equal([]int{a.count(), b.count()}, x.calls)
			i.True(time.Since(n) < 500*time.Millisecond)
		})
	}
}

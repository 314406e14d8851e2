package router_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/standin/garbler"
)

// Guards against an answer that is not valid HTTP and that a caller gets as an answer, with another status or none.
func TestInvalidStatuses(t *testing.T) {
	checkGarbled(t, garbler.Statuses)
}

// Guards against an answer with a name in its head that is not valid, and that a caller gets without that line, or with a body that is not the target's.
func TestInvalidNames(t *testing.T) {
	checkGarbled(t, garbler.Names)
}

// checkGarbled checks that a router passes on none of the answers, and that they do not count as not run.
func checkGarbled(t *testing.T, answers func(fields string) map[string]string) {
	t.Helper()

	for name, b := range answers("") {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				i := is.New(t)
				f := newFleet(t, 0, 0)
				f.addTarget("s0", "service", f.serve(garbler.Serve(func(*http.Request) string { return b })))
				f.publish(1)

				r := f.add("dc-1").do(t.Context(), method, "/x", "k", "")
				i.NoErr(r.err)
				i.True(r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable)
				i.True(r.body != garbler.Body)
				i.Equal(r.outcome(), string(exchanger.Unknown))
			})
		}
	}
}

package forwarder_test

import (
	"net/http"
	"testing"
)

// BenchmarkCall is the cost of a call through the gateway to a target and back, both
// ends, the caller and its lines of log in one process.
func BenchmarkCall(b *testing.B) {
	x := &target{answer: ok}
	g := front(b, x)

	b.ReportAllocs()

	for b.Loop() {
		if a := g.call(b, http.MethodGet, "/again/", ""); a.status != http.StatusOK {
			b.Fatal(a.status)
		}
	}
}

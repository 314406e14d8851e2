package forwarder_test

import (
	"net/http"
	"testing"
)

// BenchmarkCall measures a call through the gateway to a target and back, with the caller, the
// target and the logging in one process.
func BenchmarkCall(b *testing.B) {
	x := &target{answer: answerOK}
	g := newGateway(b, x)

	b.ReportAllocs()

	for b.Loop() {
		if a := g.call(b, http.MethodGet, "/idempotent/", ""); a.status != http.StatusOK {
			b.Fatal(a.status)
		}
	}
}

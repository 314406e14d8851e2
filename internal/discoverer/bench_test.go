package discoverer_test

import (
	"fmt"
	"testing"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// BenchmarkRegistry measures the cost of a change to the list by the number of targets.
func BenchmarkRegistry(b *testing.B) {
	for name, n := range map[string]int{"60": 60, "3000": 3000} {
		b.Run(name, func(b *testing.B) {
			d := discoverer.New(discoverer.DefaultSettings())
			for i := range n {
				d.Set(discoverer.Target{ID: fmt.Sprintf("t%d", i), Group: fmt.Sprintf("g%d", i%20)})
			}

			b.ReportAllocs()

			for b.Loop() {
				d.Set(discoverer.Target{ID: "t0", Group: "g0"})
				d.Registry()
			}
		})
	}
}

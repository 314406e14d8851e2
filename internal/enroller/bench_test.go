package enroller_test

import (
	"fmt"
	"testing"

	"github.com/auburntray/auburntray/internal/enroller"
)

// BenchmarkRoster is the cost of a change of the list, by the number of targets.
func BenchmarkRoster(b *testing.B) {
	for name, n := range map[string]int{"60": 60, "3000": 3000} {
		b.Run(name, func(b *testing.B) {
			e := enroller.New(enroller.DefaultSettings())
			for i := range n {
				e.Set(enroller.Target{ID: fmt.Sprintf("t%d", i), Group: fmt.Sprintf("g%d", i%20)})
			}

			b.ReportAllocs()

			for b.Loop() {
				e.Set(enroller.Target{ID: "t0", Group: "g0"})
				e.Roster()
			}
		})
	}
}

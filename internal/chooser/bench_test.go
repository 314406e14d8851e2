package chooser_test

import (
	"testing"
	"time"

	"github.com/auburntray/auburntray/internal/chooser"
)

// BenchmarkChoose is the cost of one choice and its end, by the number of targets.
func BenchmarkChoose(b *testing.B) {
	for name, n := range map[string]int{"9": 9, "60": 60, "600": 600} {
		b.Run(name, func(b *testing.B) {
			r := roster(n, "a", "b", "c", "d")
			c := chooser.New(chooser.DefaultSettings())
			now := time.Unix(0, 0)
			k := uint64(0)

			b.ReportAllocs()

			for b.Loop() {
				k++
				now = now.Add(time.Millisecond)
				o := choose(c, now, r, query(k%1000+1))
				c.Begun(now, o.Target, 0.1)
				c.Finish(now, o.Target, chooser.Good)
			}
		})
	}
}

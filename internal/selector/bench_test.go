package selector_test

import (
	"testing"
	"time"

	"github.com/auburntray/auburntray/internal/selector"
)

// BenchmarkChoose measures one choice and the end of its call, by the number of targets.
func BenchmarkChoose(b *testing.B) {
	for name, n := range map[string]int{"9": 9, "60": 60, "600": 600} {
		b.Run(name, func(b *testing.B) {
			r := registry(n, "a", "b", "c", "d")
			s := selector.New(selector.DefaultSettings())
			now := time.Unix(0, 0)
			k := uint64(0)

			b.ReportAllocs()

			for b.Loop() {
				k++
				now = now.Add(time.Millisecond)
				o := choose(s, now, r, query(k%1000+1))
				s.ObserveLatency(now, o.Target, 0.1)
				s.Finish(now, o.Target, selector.Answered)
			}
		})
	}
}

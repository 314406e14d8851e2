package quarantiner_test

import (
	"testing"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

// full returns a Quarantiner that remembers as many calls as it may, with three ends each.
func full() *quarantiner.Quarantiner {
	s := quarantiner.DefaultSettings()
	q := quarantiner.New(s)

	for i := range s.Most {
		for n := range 3 {
			q.Ended(start().Add(time.Duration(n)*time.Second), digester.Digest(i), enroller.Name(n))
		}
	}

	return q
}

func BenchmarkCome(b *testing.B) {
	q := full()
	now := start().Add(time.Minute)

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		q.Come(now, digester.Digest(i%8192))
	}
}

func BenchmarkState(b *testing.B) {
	q := full()

	b.ReportAllocs()

	for b.Loop() {
		q.State()
	}
}

// BenchmarkFull shows by its allocated bytes what a full Quarantiner takes at most.
func BenchmarkFull(b *testing.B) {
	b.ReportAllocs()

	for b.Loop() {
		full()
	}
}

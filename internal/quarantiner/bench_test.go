package quarantiner_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

// fullQuarantiner returns a Quarantiner at its limit of calls, with three crashes each.
func fullQuarantiner() *quarantiner.Quarantiner {
	s := quarantiner.DefaultSettings()
	q := quarantiner.New(s)

	for i := range s.MaxSubjects {
		for n := range 3 {
			q.RecordCrash(start().Add(time.Duration(n)*time.Second), digester.Digest(i), discoverer.Name(n))
		}
	}

	return q
}

func BenchmarkCheck(b *testing.B) {
	q := fullQuarantiner()
	now := start().Add(time.Minute)

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		q.Check(now, digester.Digest(i%8192))
	}
}

func BenchmarkFingerprint(b *testing.B) {
	q := fullQuarantiner()

	b.ReportAllocs()

	for b.Loop() {
		q.Fingerprint()
	}
}

// BenchmarkFull shows the memory of a full Quarantiner by its allocated bytes.
func BenchmarkFull(b *testing.B) {
	b.ReportAllocs()

	for b.Loop() {
		fullQuarantiner()
	}
}

// BenchmarkNewCause shows what it takes to find one more part that crashes targets beside as many as are remembered.
func BenchmarkNewCause(b *testing.B) {
	s := quarantiner.DefaultSettings()
	q := quarantiner.New(s)

	for i := range s.MaxSubjects {
		for n := range 3 {
			q.RecordCrash(start().Add(time.Duration(n)*time.Second), digester.OfPart(strconv.Itoa(i)), discoverer.Name(3*i+n))
		}
	}

	b.ReportAllocs()

	for i := s.MaxSubjects; b.Loop(); i++ {
		for n := range 3 {
			q.RecordCrash(start().Add(time.Duration(n)*time.Second), digester.OfPart(strconv.Itoa(i)), discoverer.Name(3*i+n))
		}
	}
}

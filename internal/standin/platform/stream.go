package platform

import (
	"slices"
	"sync"
	"time"
)

// Record is an entry of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// stream is an append-only stream of records. It is safe for concurrent use.
type stream struct {
	mu        sync.Mutex
	records   []Record
	next      uint64
	era       uint64
	retention time.Duration
	changed   chan struct{}
}

func newStream(retention time.Duration, era uint64) *stream {
	return &stream{era: era, retention: retention, changed: make(chan struct{})}
}

// append appends records atomically and returns the offset of the first.
func (s *stream) append(now time.Time, data [][]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.next

	for _, d := range data {
		s.records = append(s.records, Record{Offset: s.next, Time: now, Data: d})
		s.next++
	}

	close(s.changed)
	s.changed = make(chan struct{})

	return o
}

// batch is the result of a read: the records, the oldest available offset, the next
// offset to be written, and the era of all of them. The channel is closed at the next change.
type batch struct {
	records      []Record
	oldest, next uint64
	era          uint64
	changed      chan struct{}
}

// read removes expired records and returns up to limit records from an offset.
func (s *stream) read(now time.Time, from uint64, limit int) batch {
	s.mu.Lock()
	defer s.mu.Unlock()

	i := 0
	for i < len(s.records) && now.Sub(s.records[i].Time) > s.retention {
		i++
	}

	s.records = s.records[i:]
	b := batch{records: []Record{}, oldest: s.next - uint64(len(s.records)), next: s.next, era: s.era, changed: s.changed}

	for _, r := range s.records {
		if r.Offset >= from && len(b.records) < limit {
			b.records = append(b.records, r)
		}
	}

	return b
}

// restore replaces the records by those of a copy, in a new era. Later offsets are given out again.
func (s *stream) restore(l []Record, next, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.records, s.next, s.era = slices.Clone(l), next, era
	close(s.changed)
	s.changed = make(chan struct{})
}

package platform

import (
	"sync"
	"time"
)

// Record is one entry of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// stream is one append-only stream. It is safe for concurrent use.
type stream struct {
	mu        sync.Mutex
	records   []Record
	next      uint64
	retention time.Duration
	grown     chan struct{}
}

func newStream(retention time.Duration) *stream {
	return &stream{retention: retention, grown: make(chan struct{})}
}

// append adds records together and returns the offset of the first.
func (s *stream) append(now time.Time, data [][]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.next

	for _, d := range data {
		s.records = append(s.records, Record{Offset: s.next, Time: now, Data: d})
		s.next++
	}

	close(s.grown)
	s.grown = make(chan struct{})

	return o
}

// read returns up to limit records from an offset, with the range that is kept.
func (s *stream) read(now time.Time, from uint64, limit int) (l []Record, oldest, next uint64, grown chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	i := 0
	for i < len(s.records) && now.Sub(s.records[i].Time) > s.retention {
		i++
	}

	s.records = s.records[i:]
	oldest = s.next - uint64(len(s.records))

	for _, r := range s.records {
		if r.Offset >= from && len(l) < limit {
			l = append(l, r)
		}
	}

	return l, oldest, s.next, s.grown
}

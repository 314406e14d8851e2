package platform

import (
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
	retention time.Duration
	changed   chan struct{}
}

func newStream(retention time.Duration) *stream {
	return &stream{retention: retention, changed: make(chan struct{})}
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

// read removes expired records and returns up to limit records from an offset, the
// oldest available offset, the next offset to be written, and a channel that is closed
// at the next append.
func (s *stream) read(now time.Time, from uint64, limit int) (l []Record, oldest, next uint64, changed chan struct{}) {
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

	return l, oldest, s.next, s.changed
}

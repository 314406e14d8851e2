// Package streamer appends to one stream of the platform's log in groups, and
// folds it.
package streamer

import (
	"context"
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/recorder"
)

const (
	appendTimeout = 2 * time.Second
	readTimeout   = 2 * time.Second
	// maxGroup is how many records go in one append.
	maxGroup = 500
)

// Log reads and appends to the platform's log.
type Log interface {
	Read(c context.Context, stream string, from uint64, wait time.Duration) (recorder.Batch, error)
	Append(c context.Context, stream string, data [][]byte) (uint64, error)
}

// Fold holds what follows from the records of a stream. The Streamer calls it
// under the lock that View takes, with each record that the log keeps once and in
// their order.
type Fold interface {
	// Record folds the record at an offset, which the log appended at a time.
	Record(offset uint64, at time.Time, data []byte)
}

// Streamer is one stream with what this router has folded of it. It is safe for
// concurrent use.
type Streamer struct {
	log    Log
	stream string

	// writing is held by the caller that appends for all that wait.
	writing sync.Mutex

	mu   sync.Mutex
	fold Fold
	// next is the offset of the first record that is not folded yet.
	next  uint64
	queue []*pending
	// flushed is when the last append began.
	flushed time.Time
	// clock is the log's clock at a time of this router's own clock.
	clock, read time.Time
}

// pending is a record that waits for its append.
type pending struct {
	data []byte
	done chan struct{}
	next uint64
	err  error
}

// New returns a Streamer that has read nothing.
func New(l Log, stream string, f Fold) *Streamer {
	return &Streamer{log: l, stream: stream, fold: f}
}

// Append puts a record into the stream, together with those of other callers
// that come meanwhile: while one append is under way the others gather for the
// next, so the appends a second stay few however many records come. It returns
// the offset after the record, or the log's error.
func (s *Streamer) Append(c context.Context, data []byte) (uint64, error) {
	return s.finish(c, s.enqueue(data))
}

// AppendAfter does as Append does, but where there was an append within the given
// time it waits for the rest of that time, or for another record to go along
// with. So such records cost a busy stream few appends and a quiet one no delay.
func (s *Streamer) AppendAfter(c context.Context, data []byte, gap time.Duration) (uint64, error) {
	x := s.enqueue(data)

	s.mu.Lock()
	w := gap - time.Since(s.flushed)
	s.mu.Unlock()

	t := time.NewTimer(max(w, 0))
	defer t.Stop()

	select {
	case <-x.done:
		return x.next, x.err
	case <-t.C:
		return s.finish(c, x)
	}
}

// finish appends what waits, a record with it, and returns what became of it.
func (s *Streamer) finish(c context.Context, x *pending) (uint64, error) {
	s.writing.Lock()
	s.flush(c)
	s.writing.Unlock()

	<-x.done

	return x.next, x.err
}

func (s *Streamer) enqueue(data []byte) *pending {
	x := &pending{data: data, done: make(chan struct{})}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.queue = append(s.queue, x)

	return x
}

// CatchUp folds the stream until the given offset, or to its present end when
// the offset is zero.
func (s *Streamer) CatchUp(c context.Context, until uint64) error {
	for {
		s.mu.Lock()
		n := s.next
		s.mu.Unlock()

		if until > 0 && n >= until {
			return nil
		}

		e, err := s.step(c, n)
		if err != nil {
			return err
		}

		if e && until == 0 {
			return nil
		}
	}
}

// View calls f with the time by the log's clock, while nothing is folded.
func (s *Streamer) View(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	f(s.clock.Add(time.Since(s.read)))
}

// flush appends what waits. The caller holds writing.
func (s *Streamer) flush(c context.Context) {
	s.mu.Lock()
	q := s.queue[:min(len(s.queue), maxGroup)]
	s.queue = s.queue[len(q):]
	s.mu.Unlock()

	if len(q) == 0 {
		return
	}

	s.mu.Lock()
	s.flushed = time.Now()
	s.mu.Unlock()

	d := make([][]byte, len(q))
	for i, x := range q {
		d[i] = x.data
	}

	// The group holds other callers' records, so it doesn't end with the
	// context of the one that appends it.
	x, stop := context.WithTimeout(context.WithoutCancel(c), appendTimeout)
	defer stop()

	o, err := s.log.Append(x, s.stream, d)

	for i, y := range q {
		y.next = o + uint64(i) + 1
		y.err = err
		close(y.done)
	}
}

// step reads once and says whether the end was reached.
func (s *Streamer) step(c context.Context, from uint64) (bool, error) {
	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	b, err := s.log.Read(x, s.stream, from, 0)
	if err != nil {
		return false, err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.clock = b.Now
	s.read = time.Now()
	// What the log has dropped is older than what any fold still needs.
	s.next = max(s.next, b.Oldest)

	for _, r := range b.Records {
		// Two readers may have read the same.
		if r.Offset < s.next {
			continue
		}

		s.next = r.Offset + 1
		s.fold.Record(r.Offset, r.Time, r.Data)
	}

	return s.next >= b.Next, nil
}

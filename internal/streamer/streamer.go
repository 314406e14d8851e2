// Package streamer appends records to a stream of the platform's log in batches, and applies
// the records of the stream to a reducer.
package streamer

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/recorder"
)

const (
	appendTimeout = 2 * time.Second
	readTimeout   = 2 * time.Second
	// maxBatch is the maximum number of records in one append.
	maxBatch = 500
)

// Log reads and appends to the platform's log.
type Log interface {
	Read(c context.Context, stream string, from uint64, wait time.Duration) (recorder.Batch, error)
	Append(c context.Context, stream string, data [][]byte) (uint64, error)
}

// Reducer derives its state from the records of a stream. The Streamer calls it
// with each retained record once, in the order of the log. During such a call, View is
// blocked.
type Reducer interface {
	// ApplyRecord applies the record at an offset, which the log appended at the given time.
	ApplyRecord(offset uint64, at time.Time, data []byte)
	// Rewind is called when the log has come back from an older copy, in an era. All
	// retained records follow again: those of the copy, and others with later offsets.
	Rewind(era uint64)
}

// Streamer holds a stream and the state that this router has derived from it. It is safe for
// concurrent use.
type Streamer struct {
	log    Log
	stream string

	// writing is held by the caller of Append or AppendAfter that is appending the queued records,
	// including those of other callers.
	writing sync.Mutex

	mu      sync.Mutex
	reducer Reducer
	// next is the offset of the first record that has not been applied, in the era.
	next, era uint64
	// rewinds is how often the log has come back from a copy.
	rewinds int
	queue   []*pending
	// reading is the read in progress, or nil. reads is the number of reads that have begun.
	reading *sharedRead
	reads   int
	// lastAppend is when the last append started.
	lastAppend time.Time
	// logTime is the time of the log's clock when this router's clock showed localTime.
	logTime, localTime time.Time
}

// pending is a record that is queued for an append.
type pending struct {
	data []byte
	done chan struct{}
	next uint64
	err  error
}

// New returns a Streamer at the start of a stream, with no records applied.
func New(l Log, stream string, f Reducer) *Streamer {
	return &Streamer{log: l, stream: stream, reducer: f}
}

// Append appends a record to the stream and returns the offset after it, or the log's error.
// Records that arrive during an append are batched into the next one, which limits the rate
// of appends at any rate of records.
func (s *Streamer) Append(c context.Context, data []byte) (uint64, error) {
	return s.flushAndWait(c, s.enqueue(data))
}

// AppendAfter is like Append, but waits until the given gap has passed since the start of the
// last append, or until the record is appended in a batch of another caller. Such records
// cost a busy stream few appends and an idle stream no delay.
func (s *Streamer) AppendAfter(c context.Context, data []byte, gap time.Duration) (uint64, error) {
	x := s.enqueue(data)

	s.mu.Lock()
	w := gap - time.Since(s.lastAppend)
	s.mu.Unlock()

	t := time.NewTimer(max(w, 0))
	defer t.Stop()

	select {
	case <-x.done:
		return x.next, x.err
	case <-t.C:
		return s.flushAndWait(c, x)
	}
}

// flushAndWait appends the queued records and waits until the given one is appended.
func (s *Streamer) flushAndWait(c context.Context, x *pending) (uint64, error) {
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

// View calls f with the present time of the log's clock. No records are applied meanwhile.
func (s *Streamer) View(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	f(s.logTime.Add(time.Since(s.localTime)))
}

// flush appends up to maxBatch queued records. Requires s.writing to be held.
func (s *Streamer) flush(c context.Context) {
	s.mu.Lock()
	q := s.queue[:min(len(s.queue), maxBatch)]
	s.queue = s.queue[len(q):]
	s.mu.Unlock()

	if len(q) == 0 {
		return
	}

	s.mu.Lock()
	s.lastAppend = time.Now()
	n, w := s.next, s.rewinds
	s.mu.Unlock()

	d := make([][]byte, len(q))
	for i, x := range q {
		d[i] = x.data
	}

	// The batch includes records of other callers, so the append is not cancelled with the
	// context of this caller.
	x, stop := context.WithTimeout(context.WithoutCancel(c), appendTimeout)
	defer stop()

	o, err := s.log.Append(x, s.stream, d)
	if err == nil && o < n {
		s.startOver(w, n)
	}

	for i, y := range q {
		y.next = o + uint64(i) + 1
		y.err = err
		close(y.done)
	}
}

// startOver starts over after an append got an offset below one that was already read: the log has come back from a copy.
func (s *Streamer) startOver(rewinds int, read uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.rewinds == rewinds {
		s.rewind(recorder.Batch{Era: s.era}, read)
	}
}

// rewind starts over, because the log has come back from a copy. s.mu must be held.
func (s *Streamer) rewind(b recorder.Batch, read uint64) {
	if read > 0 {
		logrus.WithFields(logrus.Fields{
			"event": "logRewound", "stream": s.stream, "era": b.Era, "next": b.Next, "earlierEra": s.era, "read": read,
		}).Warn()
	}

	s.era, s.next = b.Era, 0
	s.rewinds++
	s.reducer.Rewind(b.Era)
}

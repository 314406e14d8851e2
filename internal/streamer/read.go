package streamer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/recorder"
)

// sharedRead is a read of the stream, with the result for all callers that wait for it.
type sharedRead struct {
	// number counts the reads of a Streamer, from 1 on.
	number int
	// done is closed once the fields below are set and the records are applied.
	done chan struct{}
	// end reports whether the end of the stream was reached.
	end bool
	err error
}

// CatchUp reads and applies the records before the given offset or, if the offset is zero, all
// records up to the present end of the stream. Concurrent callers share their reads. CatchUp returns the log's
// error if a read that began after the call fails, or the context's error. If the stream ends before the offset,
// the log has lost the records up to it.
func (s *Streamer) CatchUp(c context.Context, until uint64) error {
	s.mu.Lock()
	earlier := s.reads
	s.mu.Unlock()

	for {
		if until > 0 && s.hasApplied(until) {
			return nil
		}

		r := s.joinRead(c)

		select {
		case <-r.done:
		case <-c.Done():
			return c.Err()
		}

		// A read that began before the call may lack the records of the time between, and its failure
		// is no evidence that the log is unavailable now.
		if r.number <= earlier {
			continue
		}

		if r.err != nil {
			return r.err
		}

		if r.end && (until == 0 || !s.hasApplied(until)) {
			return nil
		}
	}
}

// hasApplied reports whether the records before an offset are applied.
func (s *Streamer) hasApplied(until uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.next >= until
}

// joinRead returns the read in progress, or begins one. Without sharing, all callers that wait for one append
// would each read the same records, and their answers would delay each other.
func (s *Streamer) joinRead(c context.Context) *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.reading == nil {
		s.reads++
		s.reading = &sharedRead{number: s.reads, done: make(chan struct{})}

		// The read is not cancelled with the context of the caller that begins it, because others wait for it.
		go s.read(context.WithoutCancel(c), s.reading, s.next, s.rewinds)
	}

	return s.reading
}

// read performs a shared read from an offset on.
func (s *Streamer) read(c context.Context, r *sharedRead, from uint64, rewinds int) {
	r.end, r.err = s.readBatch(c, from, rewinds)

	s.mu.Lock()
	s.reading = nil
	s.mu.Unlock()

	close(r.done)
}

// readBatch reads and applies one batch of records, and reports whether the end of the stream
// was reached. The offset is that of the next record after the given number of rewinds.
func (s *Streamer) readBatch(c context.Context, from uint64, rewinds int) (bool, error) {
	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	b, err := s.log.Read(x, s.stream, from, 0)
	if err != nil {
		return false, err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	// An append has detected that the log came back from a copy.
	if s.rewinds != rewinds {
		return false, nil
	}

	if b.Era < s.era {
		return false, errors.Mark(errors.Newf("the answer is of era %d, before %d", b.Era, s.era), recorder.ErrDown)
	}

	s.logTime = b.Now
	s.localTime = time.Now()

	if b.Rewound(s.era, from) {
		s.rewind(b, from)

		// A batch from the first offset on is the beginning of the new era.
		if from > 0 {
			return false, nil
		}
	}

	// No reducer needs records that are old enough for the log to have dropped them.
	s.next = max(s.next, b.Oldest)

	for _, r := range b.Records {
		if r.Offset < s.next {
			continue
		}

		s.next = r.Offset + 1
		s.reducer.ApplyRecord(r.Offset, r.Time, r.Data)
	}

	return s.next >= b.Next, nil
}

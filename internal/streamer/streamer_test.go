package streamer_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/streamer"
)

// latency is the time that slowLog takes for one request.
const latency = 100 * time.Millisecond

// slowLog is a log in memory. A read returns the records that the log has when the read begins.
type slowLog struct {
	mu      sync.Mutex
	records []recorder.Record
	reads   atomic.Int64
	// failures is the number of reads that fail, from the first on.
	failures int64
}

func (l *slowLog) Append(_ context.Context, _ string, data [][]byte) (uint64, error) {
	time.Sleep(latency)

	l.mu.Lock()
	defer l.mu.Unlock()

	o := uint64(len(l.records))
	for i, d := range data {
		l.records = append(l.records, recorder.Record{Offset: o + uint64(i), Data: d})
	}

	return o, nil
}

func (l *slowLog) Read(c context.Context, _ string, from uint64, _ time.Duration) (recorder.Batch, error) {
	n := l.reads.Add(1)

	l.mu.Lock()
	b := recorder.Batch{Records: l.records[from:len(l.records):len(l.records)], Next: uint64(len(l.records))}
	l.mu.Unlock()

	select {
	case <-time.After(latency):
	case <-c.Done():
		return recorder.Batch{}, c.Err()
	}

	if n <= l.failures {
		return recorder.Batch{}, recorder.ErrDown
	}

	return b, nil
}

// applied counts the records that were applied.
type applied struct{ records int }

func (a *applied) ApplyRecord(uint64, time.Time, []byte) { a.records++ }
func (*applied) Rewind(uint64)                           {}

// catchUpAll calls CatchUp n times at once and returns the number of calls that failed.
func catchUpAll(c context.Context, s *streamer.Streamer, n int, until uint64) int64 {
	var (
		g      sync.WaitGroup
		failed atomic.Int64
	)

	for range n {
		g.Go(func() {
			if s.CatchUp(c, until) != nil {
				failed.Add(1)
			}
		})
	}

	g.Wait()

	return failed.Load()
}

// Guards against one read per waiting caller: as many answers with the same records then compete for the
// connection, and all callers fail together when the read time-out passes.
func TestReadsAreShared(t *testing.T) {
	for name, until := range map[string]uint64{"up to an offset": 50, "up to the end": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				l, a := &slowLog{}, &applied{}
				_, err := l.Append(t.Context(), "s", make([][]byte, 50))
				i.NoErr(err)

				i.Equal(catchUpAll(t.Context(), streamer.New(l, "s", a), 200, until), int64(0))
				i.True(l.reads.Load() <= 2) // The first caller's read may begin before the other calls.
				i.Equal(a.records, 50)
			})
		})
	}
}

// Guards against a claim that is decided without records that were appended before the call: a shared read
// that began earlier does not contain them.
func TestEarlierReadDoesNotShowTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		l, a := &slowLog{}, &applied{}
		s := streamer.New(l, "s", a)

		var g sync.WaitGroup

		g.Go(func() { i.NoErr(s.CatchUp(t.Context(), 0)) })
		synctest.Wait()

		l.mu.Lock()
		l.records = append(l.records, recorder.Record{})
		l.mu.Unlock()

		i.NoErr(s.CatchUp(t.Context(), 0))
		i.Equal(a.records, 1)
		g.Wait()
	})
}

// Guards against callers that fail with a shared read for a cause of another caller: its context ended, or
// the read failed after it had begun before their call.
func TestSharedReadFailsItsOwnCallersOnly(t *testing.T) {
	for name, tc := range map[string]struct {
		failures int64
		cancel   bool
	}{
		"context of the first caller ends": {cancel: true},
		"read of the first caller fails":   {failures: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				l, a := &slowLog{failures: tc.failures}, &applied{}
				_, err := l.Append(t.Context(), "s", make([][]byte, 5))
				i.NoErr(err)

				s := streamer.New(l, "s", a)
				c, cancel := context.WithCancel(t.Context())
				first := make(chan error, 1)

				go func() { first <- s.CatchUp(c, 0) }()

				synctest.Wait()

				if tc.cancel {
					time.AfterFunc(latency/2, cancel)
				}

				i.Equal(catchUpAll(t.Context(), s, 20, 5), int64(0))
				i.Equal(a.records, 5)
				cancel()

				if err := <-first; tc.cancel {
					i.True(errors.Is(err, context.Canceled))
				} else {
					i.True(errors.Is(err, recorder.ErrDown))
				}
			})
		})
	}
}

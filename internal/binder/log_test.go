package binder_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/watcher"
)

// logDelay is the time that the log takes for a request.
const logDelay = 4 * time.Millisecond

var errAway = errors.New("the log is away")

// log is a log in memory.
type log struct {
	mu      sync.Mutex
	records []watcher.Record
	era     uint64
	// away has all requests fail, and delay is what each takes.
	away  bool
	delay time.Duration
	// reads and writes count the requests.
	reads, writes int
}

func newLog() *log { return &log{delay: logDelay} }

// set sets whether requests fail, and what each takes.
func (l *log) set(away bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.away, l.delay = away, delay
}

// restore has the log come back from a copy that holds the given records.
func (l *log) restore(o []watcher.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.records = slices.Clone(o)
	l.era++
}

func (l *log) copy() []watcher.Record {
	l.mu.Lock()
	defer l.mu.Unlock()

	return slices.Clone(l.records)
}

// counts returns the numbers of reads and writes.
func (l *log) counts() (reads, writes int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.reads, l.writes
}

// request counts a request and waits until it is answered.
func (l *log) request(c context.Context, counter *int) error {
	l.mu.Lock()
	*counter++
	d := l.delay
	l.mu.Unlock()

	select {
	case <-time.After(d):
	case <-c.Done():
		return c.Err()
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if l.away {
		return errAway
	}

	return nil
}

func (l *log) position() watcher.Position {
	return watcher.Position{Era: l.era, Offset: int64(len(l.records))}
}

func (l *log) Newest(c context.Context) ([]watcher.Record, watcher.Position, error) {
	if err := l.request(c, &l.reads); err != nil {
		return nil, watcher.Unread(), err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	m := make(map[string]watcher.Record)
	for _, r := range l.records {
		m[r.Key] = r
	}

	var o []watcher.Record

	for _, r := range m {
		if len(r.Value) > 0 {
			o = append(o, r)
		}
	}

	return o, l.position(), nil
}

func (l *log) Follow(c context.Context, from watcher.Position, _ time.Duration) (watcher.Batch, error) {
	if err := l.request(c, &l.reads); err != nil {
		return watcher.Batch{}, err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if from.Era != l.era {
		return watcher.Batch{}, watcher.ErrTruncated
	}

	return watcher.Batch{Records: slices.Clone(l.records[from.Offset:]), Next: l.position()}, nil
}

func (l *log) Put(c context.Context, key string, value []byte) error {
	if err := l.request(c, &l.writes); err != nil {
		return err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.records = append(l.records, watcher.Record{Key: key, Value: value, Offset: int64(len(l.records))})

	return nil
}

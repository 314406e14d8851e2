package watcher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/watcher"
)

var errUnavailable = errors.New("unavailable")

// source is a stream whose replies are set by the tests.
type source struct {
	mu     sync.Mutex
	newest []watcher.Record
	end    int64
	era    uint64
	err    error
	// silent makes reads block until they time out.
	silent bool
	reads  int
}

func (s *source) Newest(context.Context) ([]watcher.Record, watcher.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++

	// A stream that has dropped records still has the newest of each key.
	if s.err != nil && !errors.Is(s.err, watcher.ErrTruncated) {
		return nil, watcher.Unread(), s.err
	}

	return s.newest, watcher.Position{Era: s.era, Offset: s.end}, nil
}

func (s *source) Follow(c context.Context, from watcher.Position, wait time.Duration) (watcher.Batch, error) {
	s.mu.Lock()
	s.reads++
	silent, err, era := s.silent, s.err, s.era
	s.mu.Unlock()

	if silent {
		<-c.Done()

		return watcher.Batch{}, c.Err()
	}

	if err != nil {
		return watcher.Batch{}, err
	}

	if from.Era != era {
		return watcher.Batch{}, watcher.ErrTruncated
	}

	b := time.Now()

	for time.Since(b) < wait && c.Err() == nil {
		if l := s.since(from.Offset); len(l) > 0 {
			return watcher.Batch{Records: l, Next: watcher.Position{Era: era, Offset: from.Offset + int64(len(l))}}, nil
		}

		time.Sleep(time.Millisecond)
	}

	return watcher.Batch{Next: from}, nil
}

func (s *source) since(from int64) []watcher.Record {
	s.mu.Lock()
	defer s.mu.Unlock()

	var o []watcher.Record

	for _, r := range s.newest {
		if r.Offset >= from {
			o = append(o, r)
		}
	}

	return o
}

// update calls f, which changes or reads the source, under its lock.
func (s *source) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// handler records its calls.
type handler struct {
	mu     sync.Mutex
	values map[string]string
	resets int
	outage time.Duration
	failed int
	// err is returned by Reset.
	err error
}

func (h *handler) Reset(l []watcher.Record, _ watcher.Position) error {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.err != nil {
		return h.err
	}

	h.resets++
	h.values = map[string]string{}

	for _, r := range l {
		h.values[r.Key] = string(r.Value)
	}

	return nil
}

func (h *handler) Change(r watcher.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.values[r.Key] = string(r.Value)
}

func (h *handler) Read(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outage = max(h.outage, d)
}

func (h *handler) Failed(error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed++
}

func (h *handler) get(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.values[key]
}

func run(t *testing.T, s *source) (*handler, context.CancelFunc) {
	t.Helper()
	logrus.SetLevel(logrus.FatalLevel)

	h := &handler{}
	c, stop := context.WithCancel(t.Context())

	go watcher.New("s", s, h, 100*time.Millisecond, 2*time.Second).Run(c)

	return h, stop
}

func TestChangesArriveAfterFaults(t *testing.T) {
	// Each fault lasts five seconds; a change made one second after its end must
	// be received within two seconds.
	for name, x := range map[string]struct{ start, stop func(s *source) }{
		"no fault":      {func(*source) {}, func(*source) {}},
		"refuse":        {func(s *source) { s.err = errUnavailable }, func(s *source) { s.err = nil }},
		"blocked reads": {func(s *source) { s.silent = true }, func(s *source) { s.silent = false }},
		"dropped records": {
			func(s *source) { s.err = watcher.ErrTruncated },
			func(s *source) { s.err = nil },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &source{newest: []watcher.Record{{Key: "k", Value: []byte("1"), Offset: 0}}, end: 1}
				h, stop := run(t, s)

				time.Sleep(time.Second)
				is.Equal(h.get("k"), "1")

				s.update(func() { x.start(s) })
				time.Sleep(5 * time.Second)
				s.update(func() { x.stop(s) })
				time.Sleep(time.Second)
				s.update(func() {
					s.newest = []watcher.Record{{Key: "k", Value: []byte("2"), Offset: 1}}
					s.end = 2
				})
				time.Sleep(2 * time.Second)
				is.Equal(h.get("k"), "2")

				stop()
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a revoked or added key that reverts: after its history was dropped, the platform answers
// from an older state.
func TestStaleListIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{newest: []watcher.Record{{Key: "k", Value: []byte("new"), Offset: 7}}, end: 8}
		h, stop := run(t, s)

		time.Sleep(time.Second)
		s.update(func() {
			s.err = watcher.ErrTruncated
			s.newest = []watcher.Record{{Key: "k", Value: []byte("old"), Offset: 3}}
			s.end = 4
		})
		time.Sleep(3 * time.Second)
		is.Equal(h.get("k"), "new")

		stop()
		time.Sleep(time.Second)
	})
}

// Guards against a new target that gets no calls: the handler rejected a list from an older state, the stream
// was followed from that list's end, and the records in between were never read.
func TestRejectedListIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{newest: []watcher.Record{{Key: "k", Value: []byte("old"), Offset: 3}}, end: 8}
		h := &handler{err: errUnavailable}

		c, stop := context.WithCancel(t.Context())
		go watcher.New("s", s, h, 100*time.Millisecond, 2*time.Second).Run(c)

		time.Sleep(2 * time.Second)
		h.mu.Lock()
		is.True(h.failed > 1)
		is.Equal(h.resets, 0)
		h.err = nil
		h.mu.Unlock()
		s.update(func() { s.newest = []watcher.Record{{Key: "k", Value: []byte("new"), Offset: 7}} })

		time.Sleep(2 * time.Second)
		is.Equal(h.get("k"), "new")

		stop()
		time.Sleep(time.Second)
	})
}

// Guards against the cost of billed reads: an unchanged stream is read at most 45 times in 30 s, and a failing
// one less than 40 times in 10 s, but often enough to notice its recovery.
func TestReadRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{end: 0}
		_, stop := run(t, s)

		time.Sleep(30 * time.Second)
		s.update(func() { is.True(s.reads <= 45) })

		s.update(func() { s.err = errUnavailable; s.reads = 0 })
		time.Sleep(10 * time.Second)
		s.update(func() { is.True(s.reads > 12 && s.reads < 40) })

		stop()
		time.Sleep(time.Second)
	})
}

func TestOutageIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{}
		h, stop := run(t, s)

		time.Sleep(time.Second)
		s.update(func() { s.err = errUnavailable })
		time.Sleep(4 * time.Second)
		s.update(func() { s.err = nil })
		time.Sleep(time.Second)
		stop()
		time.Sleep(time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()

		is.True(h.failed > 0)
		is.True(h.outage > 2*time.Second && h.outage < 5*time.Second)
	})
}

// Guards against a source that comes back from an older copy: its list ends lower than what was read, was refused as
// late until the stream had grown past that, and the records below were never read.
func TestNewEraReplacesAllRecords(t *testing.T) {
	newEra := func(s *source, err error) {
		s.era, s.err = s.era+1, err
		s.newest = []watcher.Record{{Key: "k", Value: []byte("rewritten"), Offset: 2}}
		s.end = 3
	}

	for name, x := range map[string]struct {
		change func(s *source)
		want   string
	}{
		"the history is missing":     {func(s *source) { newEra(s, nil) }, "rewritten"},
		"reads fail with truncation": {func(s *source) { newEra(s, watcher.ErrTruncated) }, "rewritten"},
		"two eras": {func(s *source) {
			newEra(s, nil)
			newEra(s, nil)
		}, "rewritten"},
		"an earlier era": {func(s *source) {
			newEra(s, watcher.ErrTruncated)
			s.era = 0
		}, "new"},
		"the same era": {func(s *source) {
			newEra(s, watcher.ErrTruncated)
			s.era = 1
		}, "new"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &source{newest: []watcher.Record{{Key: "k", Value: []byte("new"), Offset: 7}}, end: 8, era: 1}
				h, stop := run(t, s)

				time.Sleep(time.Second)
				s.update(func() { x.change(s) })
				time.Sleep(3 * time.Second)
				is.Equal(h.get("k"), x.want)

				stop()
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against positions of two eras that are compared by their offsets.
func TestPositionsAreOrderedByEra(t *testing.T) {
	is := is.New(t)
	l := []watcher.Position{watcher.Unread(), {}, {Offset: 9}, {Era: 1}, {Era: 1, Offset: 3}, {Era: 2}}

	for a := range l {
		for b := range l {
			is.Equal(l[a].Before(l[b]), a < b)
		}
	}
}

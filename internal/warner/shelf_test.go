package warner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/warner"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// shelf keeps records in memory.
type shelf struct {
	mu      sync.Mutex
	records map[string][]byte
	away    bool
	reads   int
	// long is how long an answer to a read is on its way.
	long time.Duration
}

func newShelf() *shelf { return &shelf{records: make(map[string][]byte)} }

func (s *shelf) Newest(c context.Context) ([]watcher.Record, int64, error) {
	for d := time.Duration(0); d < s.long; d += 100 * time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		extender.Extend(c)

		if c.Err() != nil {
			return nil, 0, c.Err()
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.reads++

	if s.away {
		return nil, 0, errors.New("away")
	}

	var o []watcher.Record
	for k, v := range s.records {
		o = append(o, watcher.Record{Key: k, Value: v})
	}

	return o, 0, nil
}

func (s *shelf) Put(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.away {
		return errors.New("away")
	}

	if s.records[key] = value; value == nil {
		delete(s.records, key)
	}

	return nil
}

func (s *shelf) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.away = away
}

func (s *shelf) keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.records)
}

// Guards against a list of held calls that is given up on its way over a thin link, and begun anew.
func TestLongListOfHeldCallsIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		s := newShelf()
		s.long = 2 * time.Second

		startWith(t, 1, s)
		time.Sleep(3 * time.Second)

		s.mu.Lock()
		defer s.mu.Unlock()

		i.Equal(s.reads, 1)
	})
}

// All instances lose their power after a call has ended three targets, and start again. The
// call comes on, at several of them at once. Without what was written it ended three targets
// more, with each of its repeats at least one.
func TestHeldCallsOutlastAllInstances(t *testing.T) {
	for name, away := range map[string]bool{"the shelf is there": false, "it is away as the calls are held and as all start": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newShelf()
				s.set(away)

				f := startWith(t, 6, s)
				time.Sleep(time.Second)
				f.end(0, 3)
				time.Sleep(5 * time.Second)
				s.set(false)
				time.Sleep(5 * time.Second)
				is.Equal(s.keys(), 1)

				s.set(away)

				g := startWith(t, 6, s)
				time.Sleep(bound)
				s.set(false)

				if away {
					time.Sleep(bound)
				}

				is.Equal(g.holding(), 6)

				// Served after all, it goes from the shelf.
				g.instances[3].Served(call)
				time.Sleep(time.Second)
				is.Equal(s.keys(), 0)
			})
		})
	}
}

// Three hundred instances start at once while the shelf is away. Each has asked it once; after
// that a few do, and tell the others when it is back.
func TestFewAskAShelfThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newShelf()
		s.set(true)
		startWith(t, 300, s)
		time.Sleep(10 * time.Second)
		s.set(false)
		time.Sleep(bound)

		// The eleven with the lowest IDs have asked some more times, the others once more.
		is.True(s.reads <= 2*300+50)

		b := s.reads

		time.Sleep(time.Minute)
		is.Equal(s.reads, b)
	})
}

// Records on the shelf that can't be used are passed over, and old ones are dropped.
func TestRecordsOnTheShelf(t *testing.T) {
	good := wire.Suspect{Call: uint64(call), Ends: []wire.SuspectEnd{{Target: 1, AgeMs: 2000}, {Target: 2, AgeMs: 1000}, {Target: 3}}}

	encode := func(s wire.Suspect, written time.Time) []byte {
		b, err := (&wire.ShelvedSuspect{Suspect: s, WrittenMs: written.UnixMilli()}).MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}

		return b
	}

	for name, x := range map[string]struct {
		key   string
		value func(now time.Time) []byte
		held  bool
		kept  int
	}{
		"good":                      {call.String(), func(n time.Time) []byte { return encode(good, n.Add(-time.Minute)) }, true, 1},
		"by a clock that is ahead":  {call.String(), func(n time.Time) []byte { return encode(good, n.Add(time.Minute)) }, true, 1},
		"old":                       {call.String(), func(n time.Time) []byte { return encode(good, n.Add(-5*time.Hour)) }, false, 0},
		"not to be read":            {call.String(), func(time.Time) []byte { return []byte{0xc1} }, false, 1},
		"under another call's name": {(call + 1).String(), func(n time.Time) []byte { return encode(good, n) }, false, 1},
		"nothing":                   {call.String(), func(time.Time) []byte { return []byte{} }, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newShelf()
				s.records[x.key] = x.value(time.Now())

				f := startWith(t, 1, s)
				time.Sleep(bound)
				is.Equal(f.instances[0].Come(call).Status == quarantiner.Quarantined, x.held)
				is.Equal(s.keys(), x.kept)
			})
		})
	}
}

var _ warner.Shelf = (*shelf)(nil)

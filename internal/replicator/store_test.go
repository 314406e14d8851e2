package replicator_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/replicator"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// memoryStore stores records in memory.
type memoryStore struct {
	mu          sync.Mutex
	records     map[string][]byte
	unavailable bool
	reads       int
	// readTime is how long the answer to a read is in transfer.
	readTime time.Duration
}

func newMemoryStore() *memoryStore { return &memoryStore{records: make(map[string][]byte)} }

func (s *memoryStore) Newest(c context.Context) ([]watcher.Record, watcher.Position, error) {
	for d := time.Duration(0); d < s.readTime; d += 100 * time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		extender.Extend(c)

		if c.Err() != nil {
			return nil, watcher.Unread(), c.Err()
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.reads++

	if s.unavailable {
		return nil, watcher.Unread(), errors.New("unavailable")
	}

	var o []watcher.Record
	for k, v := range s.records {
		o = append(o, watcher.Record{Key: k, Value: v})
	}

	return o, watcher.Position{}, nil
}

// readCount returns how often the records were read.
func (s *memoryStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.reads
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.unavailable {
		return errors.New("unavailable")
	}

	if s.records[key] = value; value == nil {
		delete(s.records, key)
	}

	return nil
}

func (s *memoryStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.unavailable = unavailable
}

func (s *memoryStore) keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.records)
}

// Guards against a list of quarantined calls that is aborted while it arrives over a narrow-bandwidth link,
// and read again from the beginning.
func TestLongListOfQuarantinedCallsIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		s := newMemoryStore()
		s.readTime = 2 * time.Second

		startWith(t, 1, s)
		time.Sleep(3 * time.Second)

		i.Equal(s.readCount(), 1)
	})
}

// Guards against losing the quarantine records when all instances fail at once. All instances lose power after
// a call has crashed three targets, and restart. The call keeps arriving, at several of them at once. Without
// stored records it would crash three more targets, and at least one with each repeat.
func TestRecordsSurviveRestartOfAllInstances(t *testing.T) {
	for name, unavailable := range map[string]bool{"store available": false, "store unavailable during crashes and start": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newMemoryStore()
				s.setUnavailable(unavailable)

				f := startWith(t, 6, s)
				time.Sleep(time.Second)
				f.crash(0, 3)
				time.Sleep(5 * time.Second)
				s.setUnavailable(false)
				time.Sleep(5 * time.Second)
				is.Equal(s.keys(), 1)

				s.setUnavailable(unavailable)

				g := startWith(t, 6, s)
				time.Sleep(bound)
				s.setUnavailable(false)

				if unavailable {
					time.Sleep(bound)
				}

				is.Equal(g.quarantined(), 6)

				// Once the call is served, its record is deleted.
				g.instances[3].RecordServed([]digester.Digest{call})
				time.Sleep(time.Second)
				is.Equal(s.keys(), 0)
			})
		})
	}
}

// Guards against a store that is flooded with requests: 300 instances start while it is unavailable. Each
// reads once; after that a few retry, and notify the others when the store is back.
func TestFewInstancesRetryUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newMemoryStore()
		s.setUnavailable(true)
		startWith(t, 300, s)
		time.Sleep(10 * time.Second)
		s.setUnavailable(false)
		time.Sleep(bound)

		// The eleven instances with the lowest IDs have retried several times, the others once more.
		is.True(s.readCount() <= 2*300+50)

		b := s.readCount()

		time.Sleep(time.Minute)
		is.Equal(s.readCount(), b)
	})
}

// Guards against a read of the store by each of many instances that start together: only the seeds read it, and the
// others have the records as soon. Without the seeds, each reads it itself.
func TestSeedsReadTheStoreForOthers(t *testing.T) {
	for name, tc := range map[string]struct{ members, partitioned, reads int }{
		"all seeds answer":    {300, 0, 3},
		"one seed is cut off": {300, 1, 3},
		"all are cut off":     {30, 3, 30},
		"only seeds":          {3, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				s := newMemoryStore()

				f := startWith(t, 3, s)
				f.crash(0, 3)
				time.Sleep(time.Second)
				i.Equal(s.keys(), 1)

				b := s.readCount()
				g := startSeeded(t, tc.members, 3, s)
				g.mu.Lock()

				for k := range tc.partitioned {
					g.partitioned[k] = true
				}

				g.mu.Unlock()
				time.Sleep(time.Second)
				i.True(s.readCount() > b && s.readCount()-b <= tc.reads)
				i.Equal(g.quarantined(), tc.members)
			})
		})
	}
}

// Guards against invalid stored records: they are skipped, and expired ones are deleted.
func TestStoredRecords(t *testing.T) {
	valid := wire.Suspect{Call: uint64(call), Crashes: []wire.SuspectCrash{{Target: 1, AgeMs: 2000}, {Target: 2, AgeMs: 1000}, {Target: 3}}}

	encode := func(s wire.Suspect, written time.Time) []byte {
		b, err := (&wire.QuarantineRecord{Suspect: s, WrittenMs: written.UnixMilli()}).MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}

		return b
	}

	for name, x := range map[string]struct {
		key         string
		value       func(now time.Time) []byte
		quarantined bool
		kept        int
	}{
		"valid":               {call.String(), func(n time.Time) []byte { return encode(valid, n.Add(-time.Minute)) }, true, 1},
		"clock ahead":         {call.String(), func(n time.Time) []byte { return encode(valid, n.Add(time.Minute)) }, true, 1},
		"expired":             {call.String(), func(n time.Time) []byte { return encode(valid, n.Add(-5*time.Hour)) }, false, 0},
		"not msgpack":         {call.String(), func(time.Time) []byte { return []byte{0xc1} }, false, 1},
		"key of another call": {(call + 1).String(), func(n time.Time) []byte { return encode(valid, n) }, false, 1},
		"empty":               {call.String(), func(time.Time) []byte { return []byte{} }, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newMemoryStore()
				s.records[x.key] = x.value(time.Now())

				f := startWith(t, 1, s)
				time.Sleep(bound)
				is.Equal(f.instances[0].Check(call).Status == quarantiner.Quarantined, x.quarantined)
				is.Equal(s.keys(), x.kept)
			})
		})
	}
}

var _ replicator.Store = (*memoryStore)(nil)

// stored returns a stored record of a call that has crashed three targets, written some time ago.
func stored(t *testing.T, d digester.Digest, lastSeenMs uint32, written time.Time) []byte {
	t.Helper()

	b, err := (&wire.QuarantineRecord{
		WrittenMs: written.UnixMilli(),
		Suspect: wire.Suspect{Call: uint64(d), LastSeenMs: lastSeenMs, Crashes: []wire.SuspectCrash{
			{Target: 1, AgeMs: lastSeenMs}, {Target: 2, AgeMs: lastSeenMs}, {Target: 3, AgeMs: lastSeenMs},
		}},
	}).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}

	return b
}

// Guards against an odd record of another writer that ends an instance, or hides the record of a quarantined call.
func TestOddStoredRecords(t *testing.T) {
	for name, value := range map[string]string{
		"empty array":        "\x90",
		"text":               "null",
		"open":               "\x92\x93",
		"deeply nested":      strings.Repeat("\x91", 200_000),
		"deeply nested maps": strings.Repeat("\x81\x01", 200_000),
		"four billion calls": "\x92\x93\x01\x01\xdd\xff\xff\xff\xff",
		"65536 crashes":      "\x92\x93\x01\x01\xdd\x00\x01\x00\x00",
		"negative call":      "\x92\x93\xff\x01\x90\x01",
		"age beyond 32 bits": "\x92\x93\x01\xcf\xff\xff\xff\xff\xff\xff\xff\xff\x90\x01",
		"float":              "\x92\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00\x01",
		"NUL":                "\x00",
		"never used":         "\xc1",
		"other call":         "\x92\x93\x02\x01\x90\x01",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				s := newMemoryStore()
				s.records[call.String()] = stored(t, call, 1000, time.Now())
				s.records[digester.Digest(1).String()] = []byte(value)
				s.records["odd"] = []byte(value)
				s.records[""] = []byte(value)

				f := startWith(t, 2, s)
				time.Sleep(bound)
				i.Equal(f.quarantined(), 2)
			})
		})
	}
}

// Guards against a call that is quarantined by a record of long ago, whose age does not fit a message.
func TestAgesOfStoredRecords(t *testing.T) {
	const days = 24 * time.Hour

	for name, x := range map[string]struct {
		lastSeenMs  uint32
		age         time.Duration
		quarantined bool
	}{
		"just written":         {0, 0, true},
		"before the retention": {0, 3 * time.Hour, true},
		"after the retention":  {0, 5 * time.Hour, false},
		"49 days":              {0, 49 * days, false},
		"2^32 ms":              {0, 1 << 32 * time.Millisecond, false},
		"2^32 ms and a second": {0, 1<<32*time.Millisecond + time.Second, false},
		"centuries":            {0, 100_000 * days, false},
		"largest age":          {1<<32 - 1, 0, false},
		"largest age, later":   {1<<32 - 1, time.Second, false},
		"in the future":        {0, -100_000 * days, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				s := newMemoryStore()
				s.records[call.String()] = stored(t, call, x.lastSeenMs, time.Now().Add(-x.age))

				f := startWith(t, 1, s)
				time.Sleep(bound)
				i.Equal(f.quarantined() == 1, x.quarantined)
				i.Equal(s.keys() == 1, x.quarantined)
			})
		})
	}
}

package replicator_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/wire"
)

// copy returns the records, and restore replaces them by those of a copy.
func (s *memoryStore) copy() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()

	return maps.Clone(s.records)
}

func (s *memoryStore) restore(c map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.records = maps.Clone(c)
}

func (f *fleet) verifyStored() {
	for _, x := range f.instances {
		x.VerifyStored()
	}
}

// Guards against quarantined calls whose records the store has lost as it came back from a copy: nobody else writes
// them again, and after a restart of all instances the calls would crash targets again.
func TestLostRecordsAreWrittenAgain(t *testing.T) {
	for name, x := range map[string]struct {
		// unavailable is how long the store is unavailable after its return.
		unavailable time.Duration
		// partitioned are instances that are partitioned from the others.
		partitioned []int
		// drills is the number of returns from a copy.
		drills int
	}{
		"available":              {drills: 1},
		"unavailable":            {unavailable: 5 * time.Second, drills: 1},
		"twice in a row":         {drills: 2},
		"an instance is cut off": {drills: 1, partitioned: []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newMemoryStore()
				f := startWith(t, 6, s)

				time.Sleep(time.Second)

				c := s.copy()

				f.crash(0, 3)
				time.Sleep(bound)
				is.Equal(s.keys(), 1)

				f.mu.Lock()
				for _, n := range x.partitioned {
					f.partitioned[n] = true
				}
				f.mu.Unlock()

				for range x.drills {
					s.restore(c)
					s.setUnavailable(x.unavailable > 0)
					f.verifyStored()
					time.Sleep(x.unavailable)
					s.setUnavailable(false)
				}

				time.Sleep(12 * time.Second)
				is.Equal(s.keys(), 1)

				g := startWith(t, 6, s)
				time.Sleep(bound)
				is.Equal(g.quarantined(), 6)
			})
		})
	}
}

// Guards against a released call that is quarantined again after a restart of all instances: the store has lost the
// deletion of its record.
func TestLostDeletionsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newMemoryStore()
		f := startWith(t, 6, s)

		time.Sleep(time.Second)
		f.crash(0, 3)
		time.Sleep(bound)

		c := s.copy()

		f.instances[3].RecordServed([]digester.Digest{call})
		time.Sleep(bound)
		is.Equal(s.keys(), 0)

		s.restore(c)
		is.Equal(s.keys(), 1)
		f.verifyStored()
		time.Sleep(bound)
		is.Equal(s.keys(), 0)
		is.Equal(f.quarantined(), 0)
	})
}

// storedCrashes returns the number of crashes in the stored record of the call.
func storedCrashes(t *testing.T, s *memoryStore) int {
	t.Helper()

	var h wire.QuarantineRecord
	if _, err := h.UnmarshalMsg(s.copy()[call.String()]); err != nil {
		t.Fatal(err)
	}

	return len(h.Suspect.Crashes)
}

// Guards against a record that was lost with its last crash: the call would get its next trial too early.
func TestLostCrashIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newMemoryStore()
		f := startWith(t, 2, s)

		time.Sleep(time.Second)
		f.crash(0, 3)
		time.Sleep(bound)

		c := s.copy()

		f.instances[0].RecordCrash([]digester.Digest{call}, 99)
		time.Sleep(bound)

		is.Equal(storedCrashes(t, s), 4)
		s.restore(c)
		is.Equal(storedCrashes(t, s), 3)
		f.verifyStored()
		time.Sleep(bound)
		is.Equal(storedCrashes(t, s), 4)
	})
}

// Guards against a record that only the store has: a call that no instance remembers stays quarantined.
func TestUnknownStoredRecordsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newMemoryStore()
		f := startWith(t, 2, s)

		time.Sleep(time.Second)
		f.crash(0, 3)
		time.Sleep(bound)

		other := newMemoryStore()
		g := startWith(t, 2, other)

		time.Sleep(time.Second)
		is.Equal(g.quarantined(), 0)
		other.restore(s.copy())
		g.verifyStored()
		time.Sleep(bound)
		is.Equal(other.keys(), 1)
		is.Equal(g.quarantined(), 2)
	})
}

// Guards against a store that is flooded with requests: 300 instances notice at once that it came back from a copy.
func TestFewInstancesVerify(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newMemoryStore()
		f := startWith(t, 300, s)

		time.Sleep(time.Second)

		s.mu.Lock()
		b := s.reads
		s.mu.Unlock()

		f.verifyStored()
		time.Sleep(time.Minute)

		s.mu.Lock()
		defer s.mu.Unlock()

		is.Equal(s.reads-b, 11)
	})
}

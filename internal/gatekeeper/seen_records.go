package gatekeeper

import (
	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/watcher"
)

// errStaleList marks a full list that is older than a state that was already observed.
var errStaleList = errors.New("list is older than a state already observed")

// maxUnapplied limits the stored keys whose newest record was not applied: a writer that keeps creating
// keys could exhaust the memory. At about 300 bytes each they take at most 1.2 MB. Above the limit all
// of them are deleted. A stale list that contains one of them is then recognized only by its end or
// by other keys.
const maxUnapplied = 4096

// outcome is what happened to the newest record of a key.
type outcome int

const (
	applied outcome = iota
	invalid
	deleted
)

// seenRecord is the newest observed record of a key.
type seenRecord struct {
	offset  int64
	outcome outcome
}

// seenRecords holds the newest observed record of each key. The zero value is not ready for use.
// It is not safe for concurrent use.
type seenRecords struct {
	keys      map[string]seenRecord
	unapplied int
}

func newSeenRecords() *seenRecords {
	return &seenRecords{keys: make(map[string]seenRecord)}
}

// contains reports whether a record, or a newer one of its key, was observed.
func (s *seenRecords) contains(r watcher.Record) bool {
	x, ok := s.keys[r.Key]

	return ok && r.Offset <= x.offset
}

// set stores the newest record of a key.
func (s *seenRecords) set(key string, x seenRecord) {
	if o, ok := s.keys[key]; ok && o.outcome != applied {
		s.unapplied--
	}

	s.keys[key] = x

	if x.outcome == applied {
		return
	}

	if s.unapplied++; s.unapplied > maxUnapplied {
		s.pruneUnapplied()
	}
}

// pruneUnapplied removes the keys whose newest record was invalid or deleted.
func (s *seenRecords) pruneUnapplied() {
	for k, x := range s.keys {
		if x.outcome != applied {
			delete(s.keys, k)
		}
	}

	s.unapplied = 0
}

// markMissingDeleted marks the keys that are missing from a list as deleted.
func (s *seenRecords) markMissingDeleted(newest map[string]int64) {
	for k, x := range s.keys {
		if _, ok := newest[k]; !ok && x.outcome != deleted {
			s.set(k, seenRecord{offset: x.offset, outcome: deleted})
		}
	}
}

// checkNotStale fails with errStaleList when a list, identified by the offsets of its keys and its
// end, is older than a state that was already observed.
//
// Applying such a list would restore targets that left, whose addresses may belong to other
// processes by now, and remove targets that joined. Calls to the restored targets would fail, and
// the removed targets would get no calls until the next full list. Offsets only increase, so a key
// with a lower offset than already observed proves an older state, whatever end the list states. A
// key that is missing from the list but was observed at or after the list's end also proves an
// older state. Any other list is accepted: a key that is missing from a list with a newer end was
// deleted.
func (s *seenRecords) checkNotStale(newest map[string]int64, end int64) error {
	for k, x := range s.keys {
		o, ok := newest[k]
		if ok && o < x.offset || !ok && x.offset >= end && x.outcome != deleted {
			return errors.Mark(errors.Newf("key %q was already observed at offset %d", k, x.offset), errStaleList)
		}
	}

	return nil
}

// newestOffsets returns the newest offset of each key.
func newestOffsets(l []watcher.Record) map[string]int64 {
	o := make(map[string]int64, len(l))

	for _, r := range l {
		if n, ok := o[r.Key]; !ok || r.Offset > n {
			o[r.Key] = r.Offset
		}
	}

	return o
}

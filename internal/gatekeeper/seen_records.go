package gatekeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/watcher"
)

// rewriteTime is how long after a new era was noticed records that the stream has lost may take to be written again.
// Operators write at once, and targets that are alive with each heartbeat of 1.2 s; the entry of another target,
// which the stream lists again, expires after three heartbeats. A longer time would keep what has ended since: a
// key that is missing may also have been deleted in the new era before it was read.
const rewriteTime = 6 * time.Second

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
	// offset is negative if the present era has no record of the key yet.
	offset  int64
	outcome outcome
}

// seenRecords holds the newest observed record of each key. The zero value is not ready for use.
// It is not safe for concurrent use.
type seenRecords struct {
	keys      map[string]seenRecord
	unapplied int
	// era is the era of all offsets.
	era uint64
	// deferred are the records of the present era that are older than the state in force, by key. They are not
	// applied before their writers had the time to write again what was lost.
	deferred map[string]watcher.Record
	// releaseAt is when the records that are deferred are applied after all.
	releaseAt time.Time
}

func newSeenRecords() *seenRecords {
	return &seenRecords{keys: make(map[string]seenRecord), deferred: make(map[string]watcher.Record)}
}

// contains reports whether a record, or a newer one of its key, was observed.
func (s *seenRecords) contains(r watcher.Record) bool {
	x, ok := s.keys[r.Key]

	return ok && r.Offset <= x.offset
}

// set stores the newest record of a key, which replaces one that is deferred.
func (s *seenRecords) set(key string, x seenRecord) {
	delete(s.deferred, key)

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
		if _, ok := newest[k]; ok {
			continue
		}

		delete(s.deferred, k)

		if x.outcome != deleted {
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

// beginEra begins an era whose list has the given newest records, and returns those that are not older than the state
// in force. The others are deferred until their key is written again, or else until releaseAt.
//
// The stream has come back from a copy, so a key may have an older record than the one already observed: a target
// that has left is listed again, or an evacuation that is in force is missing. All offsets up to the end of the copy
// are those of the era before, so a key with a lower offset than observed has lost records. One with a higher offset
// was written since.
func (s *seenRecords) beginEra(era uint64, newest map[string]watcher.Record, releaseAt time.Time) []watcher.Record {
	s.era, s.releaseAt = era, releaseAt

	var o []watcher.Record

	for k, r := range newest {
		x, ok := s.keys[k]
		_, held := s.deferred[k]

		if ok && (r.Offset < x.offset || held && r.Offset == x.offset) {
			s.deferred[k] = r
		} else {
			o = append(o, r)
			delete(s.deferred, k)
		}
	}

	for k, x := range s.keys {
		r, listed := newest[k]
		x.offset = -1

		if _, held := s.deferred[k]; held && listed {
			x.offset = r.Offset
		} else if !listed && x.outcome == applied {
			s.deferred[k] = watcher.Record{Key: k, Offset: -1}
		}

		s.keys[k] = x
	}

	return o
}

// isDeferred reports whether a record of the present era, or a newer one of its key, is deferred.
func (s *seenRecords) isDeferred(key string, offset int64) bool {
	r, ok := s.deferred[key]

	return ok && offset <= r.Offset
}

// release returns the records that were deferred until now.
func (s *seenRecords) release(now time.Time) []watcher.Record {
	if len(s.deferred) == 0 || now.Before(s.releaseAt) {
		return nil
	}

	o := slices.Collect(maps.Values(s.deferred))
	clear(s.deferred)

	return o
}

// newestRecords returns the newest record of each key.
func newestRecords(l []watcher.Record) map[string]watcher.Record {
	o := make(map[string]watcher.Record, len(l))

	for _, r := range l {
		if n, ok := o[r.Key]; !ok || r.Offset > n.Offset {
			o[r.Key] = r
		}
	}

	return o
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

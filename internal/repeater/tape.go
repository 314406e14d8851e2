package repeater

import (
	"sort"
	"time"

	"github.com/auburntray/auburntray/internal/watcher"
)

// maxDropped is how many dropped keys a tape remembers. Instances that are
// behind by more read everything anew.
const maxDropped = 1024

// tape is what an instance has read of a stream: the newest record of each key,
// also of those that were dropped lately. It is not safe for concurrent use.
type tape struct {
	records map[string]watcher.Record
	// next is the offset after the last record; below zero before the first
	// read.
	next int64
	// floor is the offset from which on nothing is missing.
	floor int64
	// heard is when the platform last said that this was all.
	heard   time.Time
	dropped int
	// packed are the long values in their short form, made when first told.
	packed map[string]packed
}

// packed is the short form of a record's value.
type packed struct {
	offset int64
	value  []byte
}

func newTape() *tape {
	return &tape{records: make(map[string]watcher.Record), packed: make(map[string]packed), next: -1}
}

// reset takes the newest record of each key.
func (t *tape) reset(heard time.Time, l []watcher.Record, next int64) {
	clear(t.records)
	clear(t.packed)

	for _, r := range l {
		t.records[r.Key] = r
	}

	t.next, t.floor, t.dropped, t.heard = next, next, 0, heard
}

// add takes records that came after those it has.
func (t *tape) add(heard time.Time, l []watcher.Record, next int64) {
	for _, r := range l {
		if o, ok := t.records[r.Key]; ok && o.Offset > r.Offset {
			continue
		}

		t.records[r.Key] = r

		if len(r.Value) == 0 {
			t.dropped++
		}
	}

	t.next = max(t.next, next)
	t.heard = heard

	if t.dropped > maxDropped {
		t.prune()
	}
}

// newerThan says that a key of a list was seen at a later offset. Offsets only rise, so the
// list is from an older state then, whatever end it names.
func (t *tape) newerThan(l []watcher.Record) bool {
	n := make(map[string]int64, len(l))
	for _, r := range l {
		n[r.Key] = max(n[r.Key], r.Offset)
	}

	for k, o := range n {
		if r, ok := t.records[k]; ok && r.Offset > o {
			return true
		}
	}

	return false
}

// prune forgets the dropped keys.
func (t *tape) prune() {
	for k, r := range t.records {
		if len(r.Value) == 0 {
			delete(t.records, k)
		}
	}

	t.floor, t.dropped = t.next, 0
}

// short returns a record's value in its short form, and false when it was not kept.
func (t *tape) short(r watcher.Record) ([]byte, bool) {
	p, ok := t.packed[r.Key]

	return p.value, ok && p.offset == r.Offset
}

// keep keeps a record's short form, unless there is one of a later record.
func (t *tape) keep(r watcher.Record, v []byte) {
	if p, ok := t.packed[r.Key]; !ok || p.offset < r.Offset {
		t.packed[r.Key] = packed{offset: r.Offset, value: v}
	}
}

// since returns the records from an offset on in their order, or, when some of
// them are no longer known, the newest of each key.
func (t *tape) since(from int64) (l []watcher.Record, whole bool) {
	whole = from < t.floor

	for _, r := range t.records {
		if whole && len(r.Value) > 0 || !whole && r.Offset >= from {
			l = append(l, r)
		}
	}

	sort.Slice(l, func(a, b int) bool { return l[a].Offset < l[b].Offset })

	return l, whole
}

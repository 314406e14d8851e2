package repeater

import (
	"sort"
	"time"

	"github.com/auburntray/auburntray/internal/watcher"
)

// maxDeleted is how many deleted keys a cache retains. An instance that lags by more deletions reads all keys again.
const maxDeleted = 1024

// cache holds what an instance has read of a stream: the newest record of each key, including recently deleted
// ones. It is not safe for concurrent use.
type cache struct {
	records map[string]watcher.Record
	// next is the position after the last record. All records are of its era.
	next watcher.Position
	// completeFrom: of each key that changed at or after this offset, the newest record is cached, deletions
	// included.
	completeFrom int64
	// confirmed is when the platform last confirmed that there are no newer records.
	confirmed time.Time
	// deleted counts the records of deleted keys since completeFrom was set.
	deleted int
	// compressed holds the compressed long values. They are added on their first use.
	compressed map[string]compressedValue
}

// compressedValue is the compressed value of the record at an offset.
type compressedValue struct {
	offset int64
	value  []byte
}

func newCache() *cache {
	return &cache{records: make(map[string]watcher.Record), compressed: make(map[string]compressedValue), next: watcher.Unread()}
}

// reset replaces all records by the newest of each key.
func (c *cache) reset(confirmed time.Time, l []watcher.Record, next watcher.Position) {
	clear(c.records)
	clear(c.compressed)

	for _, r := range l {
		c.records[r.Key] = r
	}

	c.next, c.completeFrom, c.deleted, c.confirmed = next, next.Offset, 0, confirmed
}

// add adds records that follow the cached ones. Records of another era do not, and are not added.
func (c *cache) add(confirmed time.Time, l []watcher.Record, next watcher.Position) {
	if next.Era != c.next.Era {
		return
	}

	for _, r := range l {
		if o, ok := c.records[r.Key]; ok && o.Offset > r.Offset {
			continue
		}

		c.records[r.Key] = r

		if len(r.Value) == 0 {
			c.deleted++
		}
	}

	c.next.Offset = max(c.next.Offset, next.Offset)
	c.confirmed = confirmed

	if c.deleted > maxDeleted {
		c.prune()
	}
}

// newerThan reports whether the cache has a later record than a list of the same era for one of the list's keys.
// Offsets of an era only increase, so the list is then from an older state, regardless of the end that it reports.
func (c *cache) newerThan(l []watcher.Record) bool {
	n := make(map[string]int64, len(l))
	for _, r := range l {
		n[r.Key] = max(n[r.Key], r.Offset)
	}

	for k, o := range n {
		if r, ok := c.records[k]; ok && r.Offset > o {
			return true
		}
	}

	return false
}

// prune removes the deleted keys.
func (c *cache) prune() {
	for k, r := range c.records {
		if len(r.Value) == 0 {
			delete(c.records, k)
		}
	}

	c.completeFrom, c.deleted = c.next.Offset, 0
}

// compressedValue returns the compressed value of a record of an era, and false when it is not cached.
func (c *cache) compressedValue(r watcher.Record, era uint64) ([]byte, bool) {
	p, ok := c.compressed[r.Key]

	return p.value, ok && p.offset == r.Offset && era == c.next.Era
}

// putCompressed caches the compressed value of a record of an era, unless that of a later record is cached or a later
// era has begun.
func (c *cache) putCompressed(r watcher.Record, era uint64, v []byte) {
	if era != c.next.Era {
		return
	}

	if p, ok := c.compressed[r.Key]; !ok || p.offset < r.Offset {
		c.compressed[r.Key] = compressedValue{offset: r.Offset, value: v}
	}
}

// since returns the records from a position on, in order. When some of them are no longer cached, or the position is
// of an earlier era, it returns the newest record of each key that is not deleted, and true as the second result.
func (c *cache) since(from watcher.Position) (l []watcher.Record, all bool) {
	all = from.Era != c.next.Era || from.Offset < c.completeFrom

	for _, r := range c.records {
		if all && len(r.Value) > 0 || !all && r.Offset >= from.Offset {
			l = append(l, r)
		}
	}

	sort.Slice(l, func(a, b int) bool { return l[a].Offset < l[b].Offset })

	return l, all
}

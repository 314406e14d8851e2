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
	// next is the offset after the last record; negative before the first read.
	next int64
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
	return &cache{records: make(map[string]watcher.Record), compressed: make(map[string]compressedValue), next: -1}
}

// reset replaces all records by the newest of each key.
func (c *cache) reset(confirmed time.Time, l []watcher.Record, next int64) {
	clear(c.records)
	clear(c.compressed)

	for _, r := range l {
		c.records[r.Key] = r
	}

	c.next, c.completeFrom, c.deleted, c.confirmed = next, next, 0, confirmed
}

// add adds records that follow the cached ones.
func (c *cache) add(confirmed time.Time, l []watcher.Record, next int64) {
	for _, r := range l {
		if o, ok := c.records[r.Key]; ok && o.Offset > r.Offset {
			continue
		}

		c.records[r.Key] = r

		if len(r.Value) == 0 {
			c.deleted++
		}
	}

	c.next = max(c.next, next)
	c.confirmed = confirmed

	if c.deleted > maxDeleted {
		c.prune()
	}
}

// newerThan reports whether the cache has a later record than a list for one of the list's keys. Offsets only
// increase, so the list is then from an older state, regardless of the end offset that it reports.
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

	c.completeFrom, c.deleted = c.next, 0
}

// compressedValue returns a record's compressed value, and false when it is not cached.
func (c *cache) compressedValue(r watcher.Record) ([]byte, bool) {
	p, ok := c.compressed[r.Key]

	return p.value, ok && p.offset == r.Offset
}

// putCompressed caches a record's compressed value, unless that of a later record is cached.
func (c *cache) putCompressed(r watcher.Record, v []byte) {
	if p, ok := c.compressed[r.Key]; !ok || p.offset < r.Offset {
		c.compressed[r.Key] = compressedValue{offset: r.Offset, value: v}
	}
}

// since returns the records from an offset on, in order. When some of them are no longer cached, it returns the
// newest record of each key that is not deleted, and true as the second result.
func (c *cache) since(from int64) (l []watcher.Record, all bool) {
	all = from < c.completeFrom

	for _, r := range c.records {
		if all && len(r.Value) > 0 || !all && r.Offset >= from {
			l = append(l, r)
		}
	}

	sort.Slice(l, func(a, b int) bool { return l[a].Offset < l[b].Offset })

	return l, all
}

package repeater

import (
	"slices"
	"sort"
	"time"

	"github.com/auburntray/auburntray/internal/compactor"
	"github.com/auburntray/auburntray/internal/watcher"
)

// maxDeleted is how many deleted keys a cache retains. An instance that lags by more deletions reads all keys again.
const maxDeleted = 1024

// maxRecent is how many of the last changes a cache finds without a search through all records.
const maxRecent = 1024

// cache holds what an instance has read of a stream: the newest record of each key, including recently deleted
// ones. It is not safe for concurrent use.
type cache struct {
	records map[string]storedRecord
	// compactor holds the values of the records but for the long ones, which are in long.
	compactor *compactor.Compactor
	long      map[string][]byte
	// recent are the last changes, in the order of their offsets: all from recentFrom on.
	recent     []change
	recentFrom int64
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

// storedRecord is the newest record of a key.
type storedRecord struct {
	value  compactor.Value
	offset int64
}

// change is a record that may have been replaced since.
type change struct {
	key    string
	offset int64
}

// compressedValue is the compressed value of the record at an offset.
type compressedValue struct {
	offset int64
	value  []byte
}

func newCache() *cache {
	return &cache{
		records: make(map[string]storedRecord), compactor: compactor.New(), long: make(map[string][]byte),
		compressed: make(map[string]compressedValue), next: watcher.Unread(),
	}
}

// reset replaces all records by the newest of each key.
func (c *cache) reset(confirmed time.Time, l []watcher.Record, next watcher.Position) {
	clear(c.records)
	clear(c.long)
	clear(c.compressed)
	c.compactor = compactor.New()

	for _, r := range l {
		c.set(r)
	}

	c.recent, c.recentFrom = nil, next.Offset
	c.next, c.completeFrom, c.deleted, c.confirmed = next, next.Offset, 0, confirmed
}

// set stores a record.
func (c *cache) set(r watcher.Record) {
	delete(c.long, r.Key)

	if len(r.Value) > compactor.MaxLength {
		c.long[r.Key] = r.Value
		c.records[r.Key] = storedRecord{offset: r.Offset}

		return
	}

	c.records[r.Key] = storedRecord{value: c.compactor.Pack(r.Value), offset: r.Offset}
}

// get returns the newest record of a key.
func (c *cache) get(key string) (watcher.Record, bool) {
	r, ok := c.records[key]
	if !ok {
		return watcher.Record{}, false
	}

	o := watcher.Record{Key: key, Offset: r.offset, Value: c.long[key]}
	if o.Value == nil {
		o.Value = c.compactor.Unpack(r.value)
	}

	return o, true
}

// isDeleted reports whether the newest record of a key deletes it.
func (c *cache) isDeleted(key string) bool {
	return c.records[key].value == "" && c.long[key] == nil
}

// add adds records that follow the cached ones. Records of another era do not, and are not added.
func (c *cache) add(confirmed time.Time, l []watcher.Record, next watcher.Position) {
	if next.Era != c.next.Era {
		return
	}

	for _, r := range l {
		if o, ok := c.records[r.Key]; ok && o.offset > r.Offset {
			continue
		}

		c.set(r)
		c.noteChange(change{key: r.Key, offset: r.Offset})

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

// noteChange adds a change to the recent ones. Changes usually arrive in their order.
func (c *cache) noteChange(x change) {
	n := len(c.recent)
	for n > 0 && c.recent[n-1].offset > x.offset {
		n--
	}

	c.recent = slices.Insert(c.recent, n, x)

	if len(c.recent) > 2*maxRecent {
		n := len(c.recent) - maxRecent
		c.recentFrom = c.recent[n-1].offset + 1
		c.recent = slices.Clone(c.recent[n:])
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
		if r, ok := c.records[k]; ok && r.offset > o {
			return true
		}
	}

	return false
}

// prune removes the deleted keys.
func (c *cache) prune() {
	for k := range c.records {
		if c.isDeleted(k) {
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

	if !all && from.Offset >= c.recentFrom {
		return c.changesSince(from.Offset), false
	}

	for k, r := range c.records {
		if all && !c.isDeleted(k) || !all && r.offset >= from.Offset {
			x, _ := c.get(k)
			l = append(l, x)
		}
	}

	sort.Slice(l, func(a, b int) bool { return l[a].Offset < l[b].Offset })

	return l, all
}

// changesSince returns the newest records of the keys that have changed at or after a recent offset, in order.
func (c *cache) changesSince(from int64) []watcher.Record {
	var l []watcher.Record

	n := sort.Search(len(c.recent), func(i int) bool { return c.recent[i].offset >= from })
	for _, x := range c.recent[n:] {
		if r, ok := c.get(x.key); ok && r.Offset == x.offset {
			l = append(l, r)
		}
	}

	return l
}

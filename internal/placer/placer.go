// Package placer stores the placement of each chat, the target that served it last, in
// bounded memory.
//
// Placements are soft state: losing them costs prompt-cache reuse and nothing else.
package placer

import "time"

const (
	// ways is the number of entries in a bucket. Each bucket evicts its least recently
	// used chat; eight ways come close to a full LRU.
	ways = 8
	// EntryBytes is the memory of one entry.
	EntryBytes = 16
	// tokenUnit is the resolution of a chat's stored length, in tokens.
	tokenUnit     = 32
	maxTokenUnits = 1<<16 - 1
	// lastUsedUnit is the resolution of the stored time of last use. Its 16 bits wrap after 18
	// hours, longer than a prefix stays in a cache.
	lastUsedUnit = time.Second
)

// Placement is the target that served a chat last.
type Placement struct {
	Target uint32
	// Tokens is the length of the prompt and answer at that time, rounded down to a
	// multiple of 32.
	Tokens int
}

type entry struct {
	chat       uint64
	target     uint32
	tokenUnits uint16
	lastUsed   uint16
}

// Placer is a set-associative table of placements. It is not safe for concurrent use.
type Placer struct {
	entries    []entry
	mask       uint64
	size       int
	maxBuckets uint64
}

// minBuckets is the initial number of buckets.
const minBuckets = 16

// New returns an empty Placer that grows as chats are added, up to the given number of
// bytes. Zero means the smallest table, of 16 buckets.
func New(maxBytes int) *Placer {
	n := uint64(minBuckets)
	for n*2*ways*EntryBytes <= uint64(max(maxBytes, 0)) {
		n *= 2
	}

	return &Placer{entries: make([]entry, minBuckets*ways), mask: minBuckets - 1, maxBuckets: n}
}

// Get returns the placement of a chat, and false if none is stored.
func (p *Placer) Get(chat uint64) (Placement, bool) {
	for i := range p.bucket(chat) {
		s := &p.bucket(chat)[i]
		if s.target != 0 && s.chat == chat {
			return Placement{Target: s.target, Tokens: int(s.tokenUnits) * tokenUnit}, true
		}
	}

	return Placement{}, false
}

// Put stores the placement of a chat as of the given time. A target of zero is ignored.
func (p *Placer) Put(now time.Time, chat uint64, x Placement) {
	if x.Target == 0 {
		return
	}

	if p.size*10 > len(p.entries)*7 && p.mask+1 < p.maxBuckets {
		p.grow()
	}

	p.set(entry{
		chat:       chat,
		target:     x.Target,
		tokenUnits: uint16(min(max(x.Tokens, 0)/tokenUnit, maxTokenUnits)),
		lastUsed:   uint16(now.Unix() / int64(lastUsedUnit/time.Second)), //nolint:gosec // Wraps by design.
	})
}

// Len returns the number of stored chats.
func (p *Placer) Len() int {
	return p.size
}

// Bytes returns the memory that the table occupies.
func (p *Placer) Bytes() int {
	return len(p.entries) * EntryBytes
}

// Chat is a stored chat with its placement.
type Chat struct {
	Placement

	Chat uint64
}

// Scan returns up to n stored chats from the given position of the table, and the position
// to continue from, which is zero at the end of the table. A scan begins at zero.
func (p *Placer) Scan(from, n int) ([]Chat, int) {
	var o []Chat

	for i := from; i < len(p.entries); i++ {
		if len(o) == n {
			return o, i
		}

		if s := p.entries[i]; s.target != 0 {
			o = append(o, Chat{Chat: s.chat, Placement: Placement{Target: s.target, Tokens: int(s.tokenUnits) * tokenUnit}})
		}
	}

	return o, 0
}

func (p *Placer) bucket(chat uint64) []entry {
	i := (chat & p.mask) * ways

	return p.entries[i : i+ways]
}

// set stores an entry over the chat's own entry, a free entry, or the least recently used
// one, in this order of preference.
func (p *Placer) set(n entry) {
	b := p.bucket(n.chat)
	v := 0

	for i := range b {
		if b[i].target != 0 && b[i].chat == n.chat {
			b[i] = n

			return
		}

		if evictsBefore(b[i], b[v], n.lastUsed) {
			v = i
		}
	}

	if b[v].target == 0 {
		p.size++
	}

	b[v] = n
}

// evictsBefore reports whether entry a is overwritten in preference to entry b. Ages are
// 16-bit differences from now, so that they stay correct when the stored time wraps.
func evictsBefore(a, b entry, now uint16) bool {
	if b.target == 0 {
		return false
	}

	return a.target == 0 || now-a.lastUsed > now-b.lastUsed
}

// grow doubles the table. This is rare: a table grows from 2 KB to 8 MB in
// twelve doublings.
func (p *Placer) grow() {
	o := p.entries
	p.mask = p.mask*2 + 1
	p.entries = make([]entry, len(o)*2)
	p.size = 0

	for _, s := range o {
		if s.target != 0 {
			p.set(s)
		}
	}
}

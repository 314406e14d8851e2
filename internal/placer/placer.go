// Package placer remembers which target served a chat last, in bounded memory.
//
// What it holds is soft state: losing it costs prompt-cache reuse and nothing
// else.
package placer

import "time"

const (
	// ways is how many chats share a bucket. Within a bucket the chat that was
	// seen longest ago gives way; eight ways come close to a full LRU.
	ways = 8
	// EntryBytes is the memory that one remembered chat takes.
	EntryBytes = 16
	// tokenUnit is the step in which a chat's length is remembered.
	tokenUnit = 32
	maxUnits  = 1<<16 - 1
	// seenUnit is the step in which the last use is remembered; 16 bits of it
	// pass 18 hours before they wrap, longer than a prefix stays in a cache.
	seenUnit = time.Second
)

// Place is where a chat was served last.
type Place struct {
	Target uint32
	// Tokens is about the length of the prompt and answer then, in tokens.
	Tokens int
}

type slot struct {
	chat   uint64
	target uint32
	units  uint16
	seen   uint16
}

// Placer is a set-associative table of places. It is not safe for concurrent
// use.
type Placer struct {
	slots   []slot
	mask    uint64
	size    int
	maximum uint64
}

// minBuckets is the size that a Placer starts with.
const minBuckets = 16

// New returns a Placer that grows as chats come, up to the given number of
// bytes. Zero means the smallest table.
func New(maxBytes int) *Placer {
	n := uint64(minBuckets)
	for n*2*ways*EntryBytes <= uint64(max(maxBytes, 0)) {
		n *= 2
	}

	return &Placer{slots: make([]slot, minBuckets*ways), mask: minBuckets - 1, maximum: n}
}

// Get returns the place of a chat, and false when none is remembered.
func (p *Placer) Get(chat uint64) (Place, bool) {
	for i := range p.bucket(chat) {
		s := &p.bucket(chat)[i]
		if s.target != 0 && s.chat == chat {
			return Place{Target: s.target, Tokens: int(s.units) * tokenUnit}, true
		}
	}

	return Place{}, false
}

// Put remembers the place of a chat as of a time. A target of zero is not
// remembered.
func (p *Placer) Put(now time.Time, chat uint64, x Place) {
	if x.Target == 0 {
		return
	}

	if p.size*10 > len(p.slots)*7 && p.mask+1 < p.maximum {
		p.grow()
	}

	p.set(slot{
		chat:   chat,
		target: x.Target,
		units:  uint16(min(max(x.Tokens, 0)/tokenUnit, maxUnits)),
		seen:   uint16(now.Unix() / int64(seenUnit/time.Second)), //nolint:gosec // Wraps by design.
	})
}

// Len returns how many chats are remembered.
func (p *Placer) Len() int {
	return p.size
}

// Bytes returns the memory that the table takes.
func (p *Placer) Bytes() int {
	return len(p.slots) * EntryBytes
}

// Chat is a remembered chat with its place.
type Chat struct {
	Place

	Chat uint64
}

// Scan returns up to n remembered chats from a position of the table on, and the
// position after them, which is zero at the end. Zero begins.
func (p *Placer) Scan(from, n int) ([]Chat, int) {
	var o []Chat

	for i := from; i < len(p.slots); i++ {
		if len(o) == n {
			return o, i
		}

		if s := p.slots[i]; s.target != 0 {
			o = append(o, Chat{Chat: s.chat, Place: Place{Target: s.target, Tokens: int(s.units) * tokenUnit}})
		}
	}

	return o, 0
}

func (p *Placer) bucket(chat uint64) []slot {
	i := (chat & p.mask) * ways

	return p.slots[i : i+ways]
}

// set writes a slot over the chat's own, a free one, or the one seen longest
// ago, in this order.
func (p *Placer) set(n slot) {
	b := p.bucket(n.chat)
	v := 0

	for i := range b {
		if b[i].target != 0 && b[i].chat == n.chat {
			b[i] = n

			return
		}

		if older(b[i], b[v], n.seen) {
			v = i
		}
	}

	if b[v].target == 0 {
		p.size++
	}

	b[v] = n
}

// older says that slot a gives way before slot b. Ages are differences from
// now in 16 bits, so that the wrap of the clock does no harm.
func older(a, b slot, now uint16) bool {
	if b.target == 0 {
		return false
	}

	return a.target == 0 || now-a.seen > now-b.seen
}

// grow doubles the table. It happens rarely: a table of 8 MB has doubled
// sixteen times.
func (p *Placer) grow() {
	o := p.slots
	p.mask = p.mask*2 + 1
	p.slots = make([]slot, len(o)*2)
	p.size = 0

	for _, s := range o {
		if s.target != 0 {
			p.set(s)
		}
	}
}

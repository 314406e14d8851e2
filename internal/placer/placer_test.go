package placer_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/placer"
)

// A fixed seed makes random tests draw the same values in each run.
func init() { _ = flag.Set("rapid.seed", "1") }

func at(s int) time.Time { return time.Unix(int64(1_800_000_000+s), 0) }

func TestPlacerIsBounded(t *testing.T) {
	i := is.New(t)
	p := placer.New(64 << 10)

	for k := range 100_000 {
		p.Put(at(k/1000), hasher.Key("c", string(rune(k))), placer.Placement{Target: 1})
	}

	i.True(p.Bytes() <= 64<<10)
	i.True(p.Len() > 3000) // most of its 4,096 entries are in use
}

func TestPlacerEvictsLeastRecentlyUsed(t *testing.T) {
	i := is.New(t)
	p := placer.New(0)

	// The smallest table has 16 buckets of 8 entries; these chats share one bucket.
	for n := range uint64(8) {
		p.Put(at(int(n)), n<<4, placer.Placement{Target: 5, Tokens: 640})
	}

	p.Put(at(9), 0, placer.Placement{Target: 6})
	p.Put(at(10), 8<<4, placer.Placement{Target: 7})

	_, ok := p.Get(1 << 4)
	i.True(!ok) // chat 0 was stored again, so chat 1 is the least recently used

	x, ok := p.Get(0)
	i.True(ok)
	i.Equal(x.Target, uint32(6))
}

// Guards against the eviction of recent chats when the stored time, in seconds, wraps after
// 18 hours: a chat seen just before the wrap must not appear the oldest after it.
func TestPlacerAgesAcrossWrap(t *testing.T) {
	i := is.New(t)
	p := placer.New(0)
	wrap := int(1<<16 - 1_800_000_000%(1<<16))

	for n := range uint64(8) {
		p.Put(at(wrap-8+int(n)), n<<4, placer.Placement{Target: 5})
	}

	p.Put(at(wrap+2), 8<<4, placer.Placement{Target: 6})

	_, ok := p.Get(7 << 4)
	i.True(ok)

	_, ok = p.Get(0)
	i.True(!ok)
}

// Stored placements are correct, and a chat is evicted only after eight more recent ones
// in its bucket. Chats that share a bucket of a larger table also share one of the smallest
// table, which has sixteen.
func TestPlacerEvictsOnlyForNewerChats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := placer.New(1 << 20)
		m := make(map[uint64]uint32)

		for k, c := range rapid.SliceOfN(rapid.Uint64(), 0, 500).Draw(t, "chats") {
			c = hasher.Key(string(rune(c % 300)))
			m[c] = uint32(k + 1)
			p.Put(at(k), c, placer.Placement{Target: uint32(k + 1), Tokens: k * 32})
		}

		n := 0

		for c, last := range m {
			x, ok := p.Get(c)
			if ok {
				n++
			}

			if ok && (x.Target != last || x.Tokens != int(last-1)*32) {
				t.Fatalf("chat %d has placement %+v, not target %d", c, x, last)
			}

			if !ok && newer(m, c) < 8 {
				t.Fatalf("chat %d was evicted after only %d newer ones", c, newer(m, c))
			}
		}

		if l, next := p.Scan(0, 1000); len(l) != n || next != 0 || p.Len() != n {
			t.Fatalf("scanned %d and counted %d of %d chats", len(l), p.Len(), n)
		}
	})
}

// newer counts the more recent chats that share a chat's bucket of the smallest table.
func newer(m map[uint64]uint32, chat uint64) int {
	n := 0

	for c, k := range m {
		if c%16 == chat%16 && k > m[chat] {
			n++
		}
	}

	return n
}

func BenchmarkPut(b *testing.B) {
	p := placer.New(32 << 20)
	k := uint64(0)

	for b.Loop() {
		k += 0x9e3779b97f4a7c15
		p.Put(at(int(k%100)), k, placer.Placement{Target: 1})
	}

	b.ReportMetric(float64(p.Bytes())/float64(p.Len()), "bytes/chat")
}

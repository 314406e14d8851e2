package repeater

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/compactor"
	"github.com/auburntray/auburntray/internal/watcher"
)

// Guards against a value that is compressed while a new era begins, and then sent for another record with its offset.
func TestCompressedValueOfEarlierEraIsNotCached(t *testing.T) {
	i := is.New(t)
	c := newCache()
	r := watcher.Record{Key: "k", Value: []byte("lost"), Offset: 1}

	c.reset(time.Now(), []watcher.Record{r}, watcher.Position{Era: 1, Offset: 2})
	c.reset(time.Now(), []watcher.Record{{Key: "k", Value: []byte("new"), Offset: 1}}, watcher.Position{Era: 2, Offset: 2})
	c.putCompressed(r, 1, []byte("packed"))

	_, ok := c.compressedValue(r, 2)
	i.True(!ok)

	_, ok = c.compressedValue(r, 1)
	i.True(!ok)
}

// Guards against a search through all records that misses a change, or an old one that is sent again: the recent changes
// are found without it.
func TestRecentChangesAreAllChanges(t *testing.T) {
	i := is.New(t)
	c := newCache()
	r := rand.New(rand.NewPCG(1, 1))
	newest := make(map[string]watcher.Record)
	c.reset(time.Now(), nil, watcher.Position{Offset: 0})

	for n := range int64(5 * maxRecent) {
		x := watcher.Record{Key: strconv.Itoa(r.IntN(300)), Value: []byte("v" + strconv.FormatInt(n, 10)), Offset: n}
		if r.IntN(10) == 0 {
			x.Value = nil
		}

		if r.IntN(50) == 0 {
			x.Value = bytes.Repeat([]byte{'1'}, 2*compactor.MaxLength)
		}

		newest[x.Key] = x
		c.add(time.Now(), []watcher.Record{x}, watcher.Position{Offset: n + 1})

		if n%97 != 0 {
			continue
		}

		from := max(c.completeFrom, n-r.Int64N(3*maxRecent))

		var want []watcher.Record

		for _, x := range newest {
			if x.Offset >= from {
				want = append(want, x)
			}
		}

		slices.SortFunc(want, func(a, b watcher.Record) int { return cmp.Compare(a.Offset, b.Offset) })

		l, all := c.since(watcher.Position{Offset: from})
		i.True(!all)
		i.Equal(len(l), len(want))

		for k := range l {
			i.Equal(l[k].Key, want[k].Key)
			i.True(bytes.Equal(l[k].Value, want[k].Value))
		}
	}
}

// Guards against records that are collected and compressed again for each of hundreds of instances that request the same.
func TestEqualRequestsShareAnAnswer(t *testing.T) {
	i := is.New(t)
	r := New(nil, nil, nil, 1)
	s := r.AddStream("s", nil, time.Second)

	var l []watcher.Record

	for n := range 2000 {
		l = append(l, watcher.Record{Key: strconv.Itoa(n), Value: []byte("value " + strconv.Itoa(n)), Offset: int64(n)})
	}

	i.NoErr(s.reset(time.Now(), nil, watcher.Position{Offset: 0}))
	s.add(time.Now(), l, watcher.Position{Offset: 2000})

	p := s.reply(watcher.Position{Offset: 10})
	i.True(len(p.Packed) > 0)
	i.True(testing.AllocsPerRun(100, func() { s.reply(watcher.Position{Offset: 10}) }) <= 5)
	i.True(testing.AllocsPerRun(100, func() { s.reply(watcher.Position{Offset: 2000}) }) <= 5)

	// A later record is in the next answer.
	s.add(time.Now(), []watcher.Record{{Key: "late", Value: []byte("v"), Offset: 2000}}, watcher.Position{Offset: 2001})
	i.Equal(s.reply(watcher.Position{Offset: 10}).Next, int64(2001))
	i.Equal(len(s.reply(watcher.Position{Offset: 2000}).Records), 1)
}

// BenchmarkSince asks for what changed lately, and for all, of ten thousand records.
func BenchmarkSince(b *testing.B) {
	const records = 10_000

	c := newCache()
	c.reset(time.Now(), nil, watcher.Position{Offset: 0})

	for n := range int64(records) {
		c.add(time.Now(), []watcher.Record{{Key: strconv.FormatInt(n, 10), Value: []byte("value"), Offset: n}}, watcher.Position{Offset: n + 1})
	}

	for name, from := range map[string]int64{"nothing": records, "ten": records - 10, "all": 0} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c.since(watcher.Position{Offset: from})
			}
		})
	}
}

// Guards against records of an earlier era that are added to those of a later one.
func TestRecordsOfAnotherEraAreNotAdded(t *testing.T) {
	i := is.New(t)
	c := newCache()

	c.reset(time.Now(), nil, watcher.Position{Era: 2, Offset: 2})
	c.add(time.Now(), []watcher.Record{{Key: "k", Value: []byte("lost"), Offset: 9}}, watcher.Position{Era: 1, Offset: 10})

	l, _ := c.since(watcher.Unread())
	i.Equal(len(l), 0)
	i.Equal(c.next, watcher.Position{Era: 2, Offset: 2})
}

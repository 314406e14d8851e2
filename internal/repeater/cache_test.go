package repeater

import (
	"testing"
	"time"

	"github.com/matryer/is"

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

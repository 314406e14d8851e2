package engine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// A cache block covers 16 tokens of four bytes each.
const (
	blockTokens   = 16
	bytesPerToken = 4
	blockBytes    = blockTokens * bytesPerToken
	maxEvents     = 4096
)

// Event is a change of the prefix cache.
type Event struct {
	Number  uint64    `json:"number"`
	Time    time.Time `json:"time"`
	Block   uint64    `json:"block"`
	Evicted bool      `json:"evicted"`
}

// cache is a prefix cache with limited memory. A block's key is the hash of the prompt
// up to the block's end, so a block only matches after the same prefix.
type cache struct {
	mu         sync.Mutex
	blocks     *simplelru.LRU[uint64, struct{}]
	events     []Event
	lastNumber uint64
}

func newCache(tokens int) (*cache, error) {
	c := &cache{}

	l, err := simplelru.NewLRU[uint64, struct{}](max(tokens/blockTokens, 1), func(k uint64, _ struct{}) {
		c.recordEvent(k, true)
	})
	if err != nil {
		return nil, err
	}

	c.blocks = l

	return c, nil
}

// lookup returns the number of leading tokens of a prompt that were cached, and caches
// the prompt.
func (c *cache) lookup(prompt []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	d := xxhash.New()
	n := 0
	h := true

	for i := 0; i+blockBytes <= len(prompt); i += blockBytes {
		_, _ = d.Write(prompt[i : i+blockBytes])
		k := d.Sum64()

		if _, ok := c.blocks.Get(k); ok {
			if h {
				n += blockTokens
			}

			continue
		}

		h = false

		c.blocks.Add(k, struct{}{})
		c.recordEvent(k, false)
	}

	return n
}

// recordEvent records an event and drops the oldest over maxEvents.
func (c *cache) recordEvent(block uint64, evicted bool) {
	c.lastNumber++
	c.events = append(c.events, Event{Number: c.lastNumber, Time: time.Now(), Block: block, Evicted: evicted})

	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events with a higher number than the given one that are at least as old
// as the lag. It omits every gap-th event; zero omits none.
func (c *cache) eventsAfter(number uint64, lag time.Duration, gap uint64) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()

	o := []Event{}

	for _, e := range c.events {
		if e.Number > number && time.Since(e.Time) >= lag && (gap == 0 || e.Number%gap != 0) {
			o = append(o, e)
		}
	}

	return o
}

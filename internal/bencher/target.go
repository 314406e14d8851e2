package bencher

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// prefillCost is the work of an uncached prompt token relative to an output token.
	prefillCost = 0.1
	// tokenTime is the time per output token and prefillTime the time per uncached
	// prompt token.
	tokenTime   = 38 * time.Millisecond
	prefillTime = 100 * time.Microsecond
	// reportLag is the delay with which routers receive an engine's load report.
	reportLag = 1500 * time.Millisecond
)

// target is a simulated model engine with a prefix cache, whose requests run for a time
// that depends on their tokens.
type target struct {
	index  int
	region int
	centre int
	model  int

	capacity int
	down     bool
	running  int
	// work is the actual work in flight, in output tokens.
	work         float64
	cache        *simplelru.LRU[uint64, int]
	cachedTokens int
	cacheLimit   int
	// recentRunning holds the running counts of the last ticks, the oldest first.
	recentRunning []int
}

func newTarget(i int, s Size) *target {
	t := &target{index: i, capacity: s.Capacity, cacheLimit: s.CacheTokens}
	t.clearCache()

	return t
}

func (t *target) clearCache() {
	t.cachedTokens = 0
	// store enforces the limit in tokens, so the limit of entries is never reached.
	t.cache, _ = simplelru.NewLRU[uint64, int](math.MaxInt32, func(_ uint64, n int) { t.cachedTokens -= n })
}

// lookup returns the number of cached tokens of a prefix.
func (t *target) lookup(key uint64) int {
	n, _ := t.cache.Get(key)

	return n
}

// store caches n tokens of a prefix and evicts the least recently used prefixes over
// the limit.
func (t *target) store(key uint64, n int) {
	o, _ := t.cache.Peek(key)
	t.cache.Add(key, n)
	t.cachedTokens += n - o

	for t.cachedTokens > t.cacheLimit {
		t.cache.RemoveOldest()
	}
}

// start starts a request and returns its duration and the number of prompt tokens
// that were cached.
func (t *target) start(q *request) (time.Duration, int) {
	h := t.lookup(q.chat.key)
	if h == 0 {
		h = min(t.lookup(q.chat.customer.prefixKey), q.chat.customer.sharedTokens)
	}

	h = min(h, q.promptTokens)
	t.store(q.chat.customer.prefixKey, q.chat.customer.sharedTokens)
	t.store(q.chat.key, q.promptTokens+q.outputTokens)

	u := q.promptTokens - h
	q.work = float64(u)*prefillCost + float64(q.outputTokens)
	t.running++
	t.work += q.work

	d := time.Duration(u)*prefillTime + time.Duration(q.outputTokens)*tokenTime
	// A request that starts over capacity takes longer in proportion to the excess,
	// since it waits for others.
	if t.running > t.capacity {
		d = d * time.Duration(t.running) / time.Duration(t.capacity)
	}

	return d, h
}

func (t *target) finish(q *request) {
	t.running--
	t.work -= q.work
}

// tick records the running count, which reportedRunning returns reportLag later.
func (t *target) tick() {
	t.recentRunning = append(t.recentRunning, t.running)

	if n := int(reportLag / tickInterval); len(t.recentRunning) > n {
		t.recentRunning = t.recentRunning[len(t.recentRunning)-n:]
	}
}

// reportedRunning returns the running count that routers know, reportLag old.
func (t *target) reportedRunning() int {
	if len(t.recentRunning) == 0 {
		return 0
	}

	return t.recentRunning[0]
}

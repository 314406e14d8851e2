// Package engine is a small stand-in for a model engine: it batches requests
// into limited slots, caches prompt prefixes in limited memory, streams
// answers, resumes and cancels them, reports its load with a lag and takes
// orders.
package engine

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
)

// Headers of the engine's interface.
const (
	headerRequestID   = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerRequests    = "X-Load-Requests"
	headerIncarnation = "X-Incarnation"
	headerLeaving     = "X-Leaving"
	headerNotRun      = "X-Not-Run"
)

const (
	maxBody     = 8 << 20
	maxMessages = 4096
	// streamsKept is how long a finished stream can be read again.
	streamsKept = 20 * time.Second
)

// Settings says how the stand-in behaves.
type Settings struct {
	Name                   string
	Slots                  int
	CacheTokens            int
	PrefillTokensPerSecond float64
	TokenInterval          time.Duration
	ReportLag              time.Duration
	EventLag               time.Duration
	// EventGap drops every n-th cache event; zero drops none.
	EventGap uint64
	// ChecksFence makes orders with an old fencing number refused.
	ChecksFence bool
}

// Faults are the failures that the stand-in causes; the zero value causes none.
type Faults struct {
	// Fail answers 500 before anything is generated.
	Fail bool `json:"fail"`
	// BreakAfter closes a stream's connection after so many tokens; the answer
	// goes on and can be resumed.
	BreakAfter int `json:"breakAfter"`
	// LoseStreams makes broken streams impossible to resume.
	LoseStreams bool `json:"loseStreams"`
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	settings    Settings
	incarnation uint64
	batch       *batch
	cache       *cache
	leaving     atomic.Bool
	reported    atomic.Int64
	canceled    atomic.Int64
	group       sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	model   string
	fence   uint64
	orders  int
}

// New returns an Engine and its clean-up function.
func New(s Settings) (*Engine, func(), error) {
	c, err := newCache(s.CacheTokens)
	if err != nil {
		return nil, nil, err
	}

	e := &Engine{
		settings:    s,
		incarnation: uint64(time.Now().UnixNano()),
		batch:       newBatch(max(s.Slots, 1)),
		cache:       c,
		streams:     make(map[string]*stream),
	}

	x, stop := context.WithCancel(context.Background())

	e.group.Add(1)

	go e.report(x)

	return e, func() { stop(); e.group.Wait() }, nil
}

// Leave makes the engine say that it is leaving.
func (e *Engine) Leave() {
	e.leaving.Store(true)
}

// Running returns the number of requests that run or wait.
func (e *Engine) Running() int {
	return e.batch.load()
}

// Canceled returns how many streams were cancelled.
func (e *Engine) Canceled() int {
	return int(e.canceled.Load())
}

// Incarnation returns the number that is higher for each new process.
func (e *Engine) Incarnation() uint64 {
	return e.incarnation
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.faults = f
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	// Without gin's recovery an aborted handler closes its connection; with it a
	// broken answer would end like a whole one.
	gin.SetMode(gin.ReleaseMode)

	g := gin.New()
	g.Use(e.describe)
	g.GET("/health", e.health)
	g.GET("/events", e.events)
	g.POST("/v1/chat/completions", e.complete)
	g.GET("/v1/streams/:id", e.resume)
	g.DELETE("/v1/streams/:id", e.cancel)
	g.GET("/admin/orders", e.ordered)
	g.POST("/admin/orders", e.order)
	g.POST("/admin/leave", func(c *gin.Context) { e.Leave(); c.Status(http.StatusNoContent) })
	g.POST("/admin/faults", func(c *gin.Context) {
		var f Faults
		if c.BindJSON(&f) == nil {
			e.SetFaults(f)
			c.Status(http.StatusNoContent)
		}
	})

	return g
}

// report renews the reported load; the lag is the time between two renewals.
func (e *Engine) report(c context.Context) {
	defer e.group.Done()

	if e.settings.ReportLag <= 0 {
		return
	}

	t := time.NewTicker(e.settings.ReportLag)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			e.reported.Store(int64(e.batch.load()))
		case <-c.Done():
			return
		}
	}
}

func (e *Engine) describe(c *gin.Context) {
	n := e.reported.Load()
	if e.settings.ReportLag <= 0 {
		n = int64(e.batch.load())
	}

	c.Header(headerRequests, strconv.FormatInt(n, 10))
	c.Header(headerIncarnation, strconv.FormatUint(e.incarnation, 10))
	c.Header(headerLeaving, strconv.FormatBool(e.leaving.Load()))
}

func (e *Engine) health(c *gin.Context) {
	if e.leaving.Load() {
		c.Status(http.StatusServiceUnavailable)

		return
	}

	c.Status(http.StatusOK)
}

func (e *Engine) events(c *gin.Context) {
	n, err := strconv.ParseUint(c.DefaultQuery("since", "0"), 10, 64)
	if err != nil {
		c.AbortWithStatusJSON(http.StatusBadRequest, gin.H{"error": "since: must be a number"})

		return
	}

	c.JSON(http.StatusOK, e.cache.since(n, e.settings.EventLag, e.settings.EventGap))
}

// Order is an instruction to load a model. Fence is the fencing number of the
// lease under which it was given.
type Order struct {
	Model string `json:"model"`
	Fence uint64 `json:"fence"`
}

func (e *Engine) order(c *gin.Context) {
	var o Order
	if err := c.BindJSON(&o); err != nil {
		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	if e.settings.ChecksFence && o.Fence < e.fence {
		c.AbortWithStatusJSON(http.StatusConflict, gin.H{"error": "an older fencing number", "fence": e.fence})

		return
	}

	e.fence = max(e.fence, o.Fence)
	e.model = o.Model
	e.orders++
	c.Status(http.StatusNoContent)
}

func (e *Engine) ordered(c *gin.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()

	c.JSON(http.StatusOK, gin.H{"model": e.model, "fence": e.fence, "orders": e.orders})
}

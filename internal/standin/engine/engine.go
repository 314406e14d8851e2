// Package engine is a stand-in for a model engine. It runs requests in a limited number
// of slots, caches prompt prefixes in limited memory, streams answers, which can be
// resumed and cancelled, reports its load with a lag and accepts commands.
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

// Headers of the engine's HTTP interface.
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
	// streamRetention is how long a finished stream can be resumed.
	streamRetention = 20 * time.Second
)

// Settings configures the stand-in.
type Settings struct {
	Name                   string
	Slots                  int
	CacheTokens            int
	PrefillTokensPerSecond float64
	TokenInterval          time.Duration
	ReportLag              time.Duration
	EventLag               time.Duration
	// EventGap omits every n-th cache event; zero omits none.
	EventGap uint64
	// ChecksFence refuses commands with an old fencing number.
	ChecksFence bool
}

// Faults are the failures that the stand-in injects; the zero value injects none.
type Faults struct {
	// Fail answers completions with 500 without generating anything.
	Fail bool `json:"fail"`
	// BreakAfter closes a stream's connection after this many tokens; generation
	// continues and the stream can be resumed. Zero never closes it.
	BreakAfter int `json:"breakAfter"`
	// LoseStreams makes resuming a stream fail with 404.
	LoseStreams bool `json:"loseStreams"`
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	settings    Settings
	incarnation uint64
	batch       *batch
	cache       *cache
	leaving     atomic.Bool
	reported    atomic.Int64
	canceled    atomic.Int64
	group       sync.WaitGroup

	mu       sync.Mutex
	faults   Faults
	streams  map[string]*stream
	model    string
	fence    uint64
	commands int
}

// New starts an Engine and returns it with its clean-up function, which waits until all
// answers are generated. It fails if the cache cannot be created.
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

	go e.updateReport(x)

	return e, func() { stop(); e.group.Wait() }, nil
}

// Leave makes the engine report that it is leaving and fail its health checks.
func (e *Engine) Leave() {
	e.leaving.Store(true)
}

// Running returns the number of requests that run or wait.
func (e *Engine) Running() int {
	return e.batch.load()
}

// Canceled returns the number of cancellations of streams.
func (e *Engine) Canceled() int {
	return int(e.canceled.Load())
}

// Incarnation returns the number of this process, which is higher than that of earlier
// ones.
func (e *Engine) Incarnation() uint64 {
	return e.incarnation
}

// SetFaults replaces all faults. Answers that are being sent keep their BreakAfter.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.faults = f
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	// gin.New has no recovery middleware, so an aborted handler closes its connection.
	// With recovery, a broken answer would end like a complete one.
	gin.SetMode(gin.ReleaseMode)

	g := gin.New()
	g.Use(e.addLoadHeaders)
	g.GET("/health", e.health)
	g.GET("/events", e.events)
	g.POST("/v1/chat/completions", e.complete)
	g.GET("/v1/streams/:id", e.resume)
	g.DELETE("/v1/streams/:id", e.cancel)
	g.GET("/admin/orders", e.commandStatus)
	g.POST("/admin/orders", e.handleCommand)
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

// updateReport updates the reported load every ReportLag.
func (e *Engine) updateReport(c context.Context) {
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

func (e *Engine) addLoadHeaders(c *gin.Context) {
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

	c.JSON(http.StatusOK, e.cache.eventsAfter(n, e.settings.EventLag, e.settings.EventGap))
}

// Command is an instruction to load a model. Fence is the fencing number of the lease
// under which it was issued.
type Command struct {
	Model string `json:"model"`
	Fence uint64 `json:"fence"`
}

func (e *Engine) handleCommand(c *gin.Context) {
	var o Command
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
	e.commands++
	c.Status(http.StatusNoContent)
}

func (e *Engine) commandStatus(c *gin.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()

	c.JSON(http.StatusOK, gin.H{"model": e.model, "fence": e.fence, "orders": e.commands})
}

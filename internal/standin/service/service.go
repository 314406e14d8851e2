// Package service is a stand-in for a plain service, some of whose calls may not be
// repeated. It counts the executions per idempotency key.
package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/auburntray/auburntray/internal/hasher"
)

// Headers of the service's HTTP interface.
const (
	headerKey         = "Idempotency-Key"
	headerNotRun      = "X-Not-Run"
	headerRequests    = "X-Load-Requests"
	headerIncarnation = "X-Incarnation"
	headerLeaving     = "X-Leaving"
	maxBody           = 1 << 20
)

// Settings configures the stand-in.
type Settings struct {
	Name    string
	Latency time.Duration
}

// Faults are the failures that the stand-in injects; the zero value injects none.
type Faults struct {
	// Fail runs the call and answers 500.
	Fail bool `json:"fail"`
	// Refuse answers that the call was not run, without running it.
	Refuse bool `json:"refuse"`
	// DropConnection runs the call and closes the connection without an answer.
	DropConnection bool `json:"cut"`
}

// Service is a stand-in for a plain service. It is safe for concurrent use.
type Service struct {
	settings    Settings
	incarnation uint64
	running     atomic.Int64
	leaving     atomic.Bool

	mu     sync.Mutex
	faults Faults
	counts map[string]int
}

// New returns a Service without executions.
func New(s Settings) *Service {
	return &Service{
		settings:    s,
		incarnation: uint64(time.Now().UnixNano()),
		counts:      make(map[string]int),
	}
}

// Leave makes the service report that it is leaving and fail its health checks.
func (s *Service) Leave() {
	s.leaving.Store(true)
}

// Incarnation returns the number of this process, which is higher than that of earlier
// ones.
func (s *Service) Incarnation() uint64 {
	return s.incarnation
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = f
}

// Counts returns a copy of the number of executions per key.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := make(map[string]int, len(s.counts))
	for k, n := range s.counts {
		o[k] = n
	}

	return o
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	// gin.New has no recovery middleware, so an aborted handler closes its connection.
	// With recovery, a broken answer would end like a complete one.
	gin.SetMode(gin.ReleaseMode)

	g := gin.New()
	g.Use(s.addLoadHeaders)
	g.GET("/health", s.health)
	g.GET("/admin/counts", func(c *gin.Context) { c.JSON(http.StatusOK, s.Counts()) })
	g.POST("/admin/leave", func(c *gin.Context) { s.Leave(); c.Status(http.StatusNoContent) })
	g.POST("/admin/faults", func(c *gin.Context) {
		var f Faults
		if c.BindJSON(&f) == nil {
			s.SetFaults(f)
			c.Status(http.StatusNoContent)
		}
	})
	g.NoRoute(s.run)

	return g
}

func (s *Service) addLoadHeaders(c *gin.Context) {
	c.Header(headerRequests, strconv.FormatInt(s.running.Load(), 10))
	c.Header(headerIncarnation, strconv.FormatUint(s.incarnation, 10))
	c.Header(headerLeaving, strconv.FormatBool(s.leaving.Load()))
}

func (s *Service) health(c *gin.Context) {
	if s.leaving.Load() {
		c.Status(http.StatusServiceUnavailable)

		return
	}

	c.Status(http.StatusOK)
}

func (s *Service) run(c *gin.Context) {
	b, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBody))
	if err != nil {
		c.Status(http.StatusBadRequest)

		return
	}

	s.mu.Lock()
	f := s.faults
	k := c.GetHeader(headerKey)

	if !f.Refuse {
		s.counts[k]++
	}

	n := s.counts[k]
	s.mu.Unlock()

	if f.Refuse {
		c.Header(headerNotRun, "true")
		c.Status(http.StatusServiceUnavailable)

		return
	}

	s.running.Add(1)
	defer s.running.Add(-1)

	time.Sleep(s.settings.Latency)

	if f.DropConnection {
		panic(http.ErrAbortHandler)
	}

	t := http.StatusOK
	if f.Fail {
		t = http.StatusInternalServerError
	}

	c.JSON(t, gin.H{
		"service": s.settings.Name, "path": c.Request.URL.Path, "key": k,
		"executions": n, "body": strconv.FormatUint(hasher.Key(string(b)), 16),
	})
}

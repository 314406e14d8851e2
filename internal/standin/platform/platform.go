// Package platform is a stand-in for the platform's log service and its list of
// instances. It has the limits of the real ones: limited retention, a limited rate of
// appends and lag. It can also inject faults.
package platform

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"golang.org/x/time/rate"
)

const (
	maxRecords   = 1000
	maxWait      = 30 * time.Second
	appendRate   = 300
	appendBurst  = 100
	centreHeader = "X-Data-Centre"
)

// Settings configures the stand-in.
type Settings struct {
	Retention time.Duration
	ListLag   time.Duration
	// AppendsPerSecond limits appends; zero means 300.
	AppendsPerSecond float64
}

// Faults are the failures that the stand-in injects; the zero value injects none.
type Faults struct {
	// Outage refuses all requests of the log service and the list.
	Outage bool `json:"outage"`
	// SlowMs delays each answer, in milliseconds.
	SlowMs int `json:"slowMs"`
	// LoseReplies is how many of the following appends lose their reply: they take effect,
	// but their connection is closed without an answer.
	LoseReplies int `json:"loseReplies"`
	// Partitioned lists the data centres that cannot reach the platform.
	Partitioned []string `json:"cut"`
}

// Instance is an entry of the list of instances.
type Instance struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Role        string `json:"role"`
	Region      string `json:"region"`
	DataCentre  string `json:"dataCentre"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Gone        bool   `json:"gone"`
}

type listEntry struct {
	Instance

	version uint64
	since   time.Time
}

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	settings Settings
	limiter  *rate.Limiter

	mu       sync.Mutex
	faults   Faults
	streams  map[string]*stream
	list     map[string]listEntry
	version  uint64
	appended int
	// era rises by one each time that the log comes back from a copy.
	era uint64
}

// New returns a Platform with empty streams and an empty list.
func New(s Settings) *Platform {
	r := s.AppendsPerSecond
	if r == 0 {
		r = appendRate
	}

	return &Platform{
		settings: s,
		limiter:  rate.NewLimiter(rate.Limit(r), appendBurst),
		streams:  make(map[string]*stream),
		list:     make(map[string]listEntry),
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	// gin.New has no recovery middleware, so an aborted handler closes its connection,
	// which simulates a lost reply. With recovery, the caller would get an empty answer.
	gin.SetMode(gin.ReleaseMode)

	g := gin.New()
	g.POST("/admin/faults", p.setFaults)
	g.GET("/admin/stats", p.stats)

	v := g.Group("/v1", p.injectFaults)
	v.POST("/streams/:name/records", p.append)
	v.GET("/streams/:name/records", p.read)
	v.GET("/instances", p.instances)
	v.PUT("/instances", p.register)

	return g
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.faults = f
}

func (p *Platform) setFaults(c *gin.Context) {
	var f Faults
	if err := c.BindJSON(&f); err != nil {
		return
	}

	p.SetFaults(f)
	c.Status(http.StatusNoContent)
}

// Appends returns the number of appends that took effect.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.appended
}

func (p *Platform) stats(c *gin.Context) {
	c.JSON(http.StatusOK, gin.H{"appends": p.Appends()})
}

// injectFaults delays or refuses a request before it takes effect.
func (p *Platform) injectFaults(c *gin.Context) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()

	if f.SlowMs > 0 && !sleep(c.Request.Context(), time.Duration(f.SlowMs)*time.Millisecond) {
		c.Abort()

		return
	}

	if p.unreachable(c) {
		c.AbortWithStatusJSON(http.StatusServiceUnavailable, gin.H{"error": "the log service is down"})
	}
}

// unreachable reports whether a fault prevents the caller from reaching the platform.
func (p *Platform) unreachable(c *gin.Context) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.faults.Outage || contains(p.faults.Partitioned, c.GetHeader(centreHeader))
}

func (p *Platform) append(c *gin.Context) {
	var b struct {
		Records [][]byte `json:"records"`
	}
	if err := c.BindJSON(&b); err != nil {
		return
	}

	if len(b.Records) == 0 || len(b.Records) > maxRecords {
		c.AbortWithStatusJSON(http.StatusBadRequest, gin.H{"error": "records: must be 1 to 1000"})

		return
	}

	if !p.limiter.Allow() {
		c.AbortWithStatusJSON(http.StatusTooManyRequests, gin.H{"error": "too many appends"})

		return
	}

	o := p.stream(c.Param("name")).append(time.Now(), b.Records)

	if p.loseReply() {
		panic(http.ErrAbortHandler)
	}

	c.JSON(http.StatusOK, gin.H{"offset": o})
}

// loseReply counts an append and reports whether its reply is lost.
func (p *Platform) loseReply() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.appended++

	if p.faults.LoseReplies == 0 {
		return false
	}

	p.faults.LoseReplies--

	return true
}

func (p *Platform) read(c *gin.Context) {
	f, err := strconv.ParseUint(c.DefaultQuery("from", "0"), 10, 64)
	if err != nil {
		c.AbortWithStatusJSON(http.StatusBadRequest, gin.H{"error": "from: must be an offset"})

		return
	}

	s := p.stream(c.Param("name"))
	b := s.read(time.Now(), f, maxRecords)

	if len(b.records) == 0 && waitForRecords(c, b.changed) {
		b = s.read(time.Now(), f, maxRecords)
	}

	// A fault also ends the long polls that began before it.
	if p.unreachable(c) {
		panic(http.ErrAbortHandler)
	}

	c.JSON(http.StatusOK, gin.H{"oldest": b.oldest, "next": b.next, "era": b.era, "now": time.Now(), "records": b.records})
}

func (p *Platform) instances(c *gin.Context) {
	v, err := strconv.ParseUint(c.DefaultQuery("since", "0"), 10, 64)
	if err != nil {
		c.AbortWithStatusJSON(http.StatusBadRequest, gin.H{"error": "since: must be a version"})

		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	o := []Instance{}
	n := v

	for _, x := range p.list {
		if x.version > v && time.Since(x.since) >= p.settings.ListLag {
			o = append(o, x.Instance)
			n = max(n, x.version)
		}
	}

	c.JSON(http.StatusOK, gin.H{"version": n, "instances": o})
}

func (p *Platform) register(c *gin.Context) {
	var i Instance
	if err := c.BindJSON(&i); err != nil {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.version++
	p.list[i.Name] = listEntry{Instance: i, version: p.version, since: time.Now()}
	c.Status(http.StatusNoContent)
}

func (p *Platform) stream(name string) *stream {
	p.mu.Lock()
	defer p.mu.Unlock()

	s, ok := p.streams[name]
	if !ok {
		s = newStream(p.settings.Retention, p.era)
		p.streams[name] = s
	}

	return s
}

// waitForRecords blocks a long poll until the stream changes, and returns true, or until
// the requested time is over or the caller disconnects.
func waitForRecords(c *gin.Context, changed chan struct{}) bool {
	n, err := strconv.Atoi(c.DefaultQuery("waitMs", "0"))
	if err != nil || n <= 0 {
		return false
	}

	t := time.NewTimer(min(time.Duration(n)*time.Millisecond, maxWait))
	defer t.Stop()

	select {
	case <-changed:
		return true
	case <-t.C:
	case <-c.Request.Context().Done():
	}

	return false
}

func sleep(c context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return true
	case <-c.Done():
		return false
	}
}

func contains(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}

	return false
}

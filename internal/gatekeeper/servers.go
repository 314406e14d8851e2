package gatekeeper

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/idler"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/recoverer"
)

const (
	// headerTimeout is how long a caller may take for its headers. Callers that
	// are well need a packet or two. The catalog may set less.
	headerTimeout = 10 * time.Second
	// maxHeader and maxBody bound what a caller may send, in bytes, whatever the
	// catalog says.
	maxHeader = 256 << 10
	maxBody   = 16 << 20
	// metricsPath is where counts are served.
	metricsPath = "/metrics"
)

// handle sets up the callers' and the balancer's side.
func (g *Gatekeeper) handle(readyPath string, m *meter.Meter) {
	gin.SetMode(gin.ReleaseMode)

	c := gin.New()
	c.Use(recoverer.New(func(c *gin.Context) { c.AbortWithStatus(http.StatusInternalServerError) }))
	c.NoRoute(gin.WrapF(g.serve))
	c.RemoveExtraSlash = false
	c.RedirectTrailingSlash = false

	r := gin.New()
	r.GET(readyPath, g.answerReady)

	g.idler = idler.New(g.limits)
	g.callers = &http.Server{
		Handler: c, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ConnState: g.idler.Track, ConnContext: g.idler.Context,
	}
	g.ready = &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout}

	x := gin.New()
	x.GET(metricsPath, gin.WrapH(m.Handler()))

	g.metrics = &http.Server{Handler: x, ReadHeaderTimeout: headerTimeout}
}

// limits returns how long a caller's connection may be without a call.
func (g *Gatekeeper) limits() idler.Limits {
	c := g.facts.Catalog()
	if c == nil {
		return idler.Limits{}
	}

	return idler.Limits{Idle: c.Limits.Idle, Header: c.Limits.HeaderTime}
}

// serve counts a call in and out, so that a stop waits for it.
func (g *Gatekeeper) serve(w http.ResponseWriter, r *http.Request) {
	g.idler.Begun(r.Context())

	if p, ok := g.drainer.Enter(time.Now()); !ok {
		w.Header().Set("Connection", "close")
		g.forwarder.Reject(w, r, p >= drainer.Refusing)

		return
	}

	defer g.drainer.Exit()

	g.forwarder.ServeHTTP(w, r)
}

// answerReady says whether the balancer should send calls: a catalog and targets
// are known, no stop has begun, and the instance is not on the small side of a cut, where
// callers are refused what others can serve.
func (g *Gatekeeper) answerReady(c *gin.Context) {
	r := g.facts.Registry()
	// With everything evacuated callers are told when to come back, which nobody else could.
	if g.facts.Catalog() == nil || len(r.Groups)+len(r.Closed) == 0 || !g.drainer.Ready() || g.forwarder.CutOff() {
		c.Status(http.StatusServiceUnavailable)

		return
	}

	c.Status(http.StatusOK)
}

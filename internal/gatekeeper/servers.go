package gatekeeper

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/recoverer"
)

const (
	// maxHeaderBytes and maxBodyBytes limit the requests of callers, whatever the catalog sets.
	maxHeaderBytes = 256 << 10
	maxBodyBytes   = 16 << 20
	// metricsPath is the path of the metrics.
	metricsPath = "/metrics"
)

// createServers creates the servers for callers, readiness checks and metrics.
func (g *Gatekeeper) createServers(readyPath string, m *meter.Meter) {
	gin.SetMode(gin.ReleaseMode)

	c := gin.New()
	c.Use(recoverer.New(func(c *gin.Context) { c.AbortWithStatus(http.StatusInternalServerError) }))
	c.NoRoute(gin.WrapF(g.serve))
	c.RemoveExtraSlash = false
	c.RedirectTrailingSlash = false

	r := gin.New()
	r.GET(readyPath, g.answerReady)

	g.callerServer = &http.Server{Handler: c, ReadHeaderTimeout: acceptor.DefaultHeadTimeout, MaxHeaderBytes: maxHeaderBytes}
	g.readyServer = &http.Server{Handler: r, ReadHeaderTimeout: acceptor.DefaultHeadTimeout}

	d := gin.New()
	d.Use(recoverer.New(func(c *gin.Context) { c.AbortWithStatus(http.StatusInternalServerError) }))
	d.NoRoute(gin.WrapF(g.serveDelegated))
	d.RemoveExtraSlash = false
	d.RedirectTrailingSlash = false

	g.delegateServer = &http.Server{Handler: d, ReadHeaderTimeout: acceptor.DefaultHeadTimeout, MaxHeaderBytes: maxHeaderBytes}

	x := gin.New()
	x.GET(metricsPath, gin.WrapH(m.Handler()))

	g.metricsServer = &http.Server{Handler: x, ReadHeaderTimeout: acceptor.DefaultHeadTimeout}

	g.acceptors = g.newAcceptors()
	g.acceptors.callers.Serve(g.callerServer)
	g.acceptors.ready.Serve(g.readyServer)
	g.acceptors.delegates.Serve(g.delegateServer)
	g.acceptors.metrics.Serve(g.metricsServer)
	g.memory.OnExhausted(func() { go g.acceptors.freeMemory() })
}

// serve counts a call as running while it is handled, so that a stop waits for it.
func (g *Gatekeeper) serve(w http.ResponseWriter, r *http.Request) {
	if p, ok := g.drainer.Enter(time.Now()); !ok {
		w.Header().Set("Connection", "close")
		g.forwarder.Reject(w, r, p >= drainer.Refusing)

		return
	}

	defer g.drainer.Exit()

	g.forwarder.ServeHTTP(w, r)
}

// answerReady reports to the balancer whether it should send calls: a catalog and targets are
// known, no stop has begun, and the instance is not on the minority side of a network partition,
// where it refuses calls that other instances can serve.
func (g *Gatekeeper) answerReady(c *gin.Context) {
	r := g.state.Registry()
	// If all data centres are evacuated the instance is ready nevertheless: its refusals state when to
	// retry, and if no instance were ready, callers would get that from nobody.
	if g.state.Catalog() == nil || len(r.Groups)+len(r.Evacuated) == 0 || !g.drainer.Ready() || g.forwarder.CutOff() {
		c.Status(http.StatusServiceUnavailable)

		return
	}

	c.Status(http.StatusOK)
}

// Package gatekeeper assembles the components of a gateway instance and runs them.
package gatekeeper

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/advertiser"
	"github.com/auburntray/auburntray/internal/binder"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/negotiator"
	"github.com/auburntray/auburntray/internal/replicator"
	"github.com/auburntray/auburntray/internal/watcher"
)

// ErrStart marks failures to start the gateway.
var ErrStart = errors.New("gateway failed to start")

// Gatekeeper is one gateway instance: the servers for callers and peers, and the components that select
// targets and forward calls to them. It is safe for concurrent use.
type Gatekeeper struct {
	settings      Settings
	state         *state
	forwarder     *forwarder.Forwarder
	evacuations   *evacuationReporter
	drainer       *drainer.Drainer
	messenger     *messenger.Messenger
	joiner        *joiner.Joiner
	fleet         *fleet
	advertiser    *advertiser.Advertiser
	replicator    *replicator.Replicator
	binder        *binder.Binder
	negotiator    *negotiator.Negotiator
	memory        *accountant.Accountant
	watchers      []*watcher.Watcher
	acceptors     acceptors
	connections   *acceptor.Reporter
	callerServer  *http.Server
	readyServer   *http.Server
	metricsServer *http.Server
	// delegateServer serves calls of other instances, and delegated counts them.
	delegateServer *http.Server
	delegated      *drainer.Drainer
	background     sync.WaitGroup
	cancel         context.CancelFunc
	// stopTimeout is the time limit of a planned stop, in nanoseconds.
	stopTimeout atomic.Int64
}

// Tune applies changed settings. Calls in progress are not affected.
func (g *Gatekeeper) Tune(t Tunables) {
	g.stopTimeout.Store(int64(t.StopTimeout))
	g.joiner.SetSeeds(t.Seeds)
	g.forwarder.SetRetryBudget(t.Retries)
	g.forwarder.SetThrottle(t.Cold)
	g.memory.SetLimit(t.Memory)
	logrus.WithFields(logrus.Fields{
		"event": "tuned", "seeds": len(t.Seeds), "stop": t.StopTimeout,
		"retryRatio": t.Retries.Ratio, "retryWindow": t.Retries.Window, "retrySlack": t.Retries.Slack,
		"coldCoverage": t.Cold.Coverage, "coldSlack": t.Cold.Slack, "memory": t.Memory,
	}).Info()
}

// Package gatekeeper puts the parts of a gateway together and runs them.
package gatekeeper

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/idler"
	"github.com/auburntray/auburntray/internal/informer"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/warner"
	"github.com/auburntray/auburntray/internal/watcher"
)

// ErrStart means that the gateway could not start.
var ErrStart = errors.New("the gateway can't start")

// Gatekeeper is one instance of a gateway. It is safe for concurrent use.
type Gatekeeper struct {
	settings    Settings
	facts       *facts
	forwarder   *forwarder.Forwarder
	evacuations *evacuations
	drainer     *drainer.Drainer
	messenger   *messenger.Messenger
	joiner      *joiner.Joiner
	informer    *informer.Informer
	warner      *warner.Warner
	watchers    []*watcher.Watcher
	idler       *idler.Idler
	callers     *http.Server
	ready       *http.Server
	metrics     *http.Server
	group       sync.WaitGroup
	end         context.CancelFunc
	// stop is how long a planned stop may take, in nanoseconds.
	stop atomic.Int64
}

// Tune puts changed settings in force. Calls in progress go on.
func (g *Gatekeeper) Tune(t Tunables) {
	g.stop.Store(int64(t.Stop))
	g.joiner.SetSeeds(t.Seeds)
	g.forwarder.SetRetryBudget(t.Retries)
	g.forwarder.SetThrottle(t.Cold)
	logrus.WithFields(logrus.Fields{
		"event": "tuned", "seeds": len(t.Seeds), "stop": t.Stop,
		"retryRatio": t.Retries.Ratio, "retryWindow": t.Retries.Window, "retrySlack": t.Retries.Slack,
		"coldCoverage": t.Cold.Coverage, "coldSlack": t.Cold.Slack,
	}).Info()
}

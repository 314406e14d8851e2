package gatekeeper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/drainer"
)

const (
	// stopMargin is what a stop leaves of its time, so that it ends by itself and
	// logs what it cut.
	stopMargin = 300 * time.Millisecond
	// advanceEvery is how often it is looked whether a stop may go on.
	advanceEvery = 50 * time.Millisecond
	// flushMost is how long a stop waits for answers that are on their way to callers
	// when the last call has ended.
	flushMost = 200 * time.Millisecond
	// endMost is how long a stop waits for what runs in the background, which has nothing
	// to do any more.
	endMost = stopMargin / 2
)

// Stop stops as planned: it shows not ready, serves what still comes until the
// balancer has noticed, and ends when the last call has.
func (g *Gatekeeper) Stop(c context.Context) error {
	c, stop := context.WithTimeout(c, max(time.Duration(g.stop.Load())-stopMargin, stopMargin))
	defer stop()

	g.drainer.Notice(time.Now())
	g.forwarder.Stop()
	logrus.WithFields(logrus.Fields{"event": "stopping", "name": g.settings.Name, "running": g.drainer.Running()}).Info()

	g.joiner.Leave(c)

	t := time.NewTicker(advanceEvery)
	defer t.Stop()

	for g.drainer.Advance(time.Now()) != drainer.Done && c.Err() == nil {
		select {
		case <-t.C:
		case <-c.Done():
		}
	}

	n := g.drainer.Running()

	g.end()
	g.closeServers(c)

	if !g.ended(endMost) {
		logrus.WithFields(logrus.Fields{"event": "stopIncomplete", "name": g.settings.Name}).Warn()
	}

	logrus.WithFields(logrus.Fields{"event": "stopped", "name": g.settings.Name, "cut": n}).Info()

	return nil
}

// closeServers closes the listeners and the connections.
//
// A call counts as ended before the library has written the last of its answer. Closing
// its connection at once would break an answer off that its target had given; so the
// connections that are in use are waited for.
func (g *Gatekeeper) closeServers(c context.Context) {
	c, stop := context.WithTimeout(c, flushMost)
	defer stop()

	_ = g.callers.Shutdown(c) // What is left is closed now.
	_ = g.callers.Close()
	_ = g.ready.Close()
	_ = g.metrics.Close()
}

// ended waits for what runs in the background, at most for a time, and says whether it has
// ended. Something that hangs there must not keep a stopped process until it is killed.
func (g *Gatekeeper) ended(most time.Duration) bool {
	d := make(chan struct{})

	go func() {
		g.group.Wait()
		close(d)
	}()

	select {
	case <-d:
		return true
	case <-time.After(most):
		return false
	}
}

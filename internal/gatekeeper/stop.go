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
	_ = g.callers.Close()
	_ = g.ready.Close()
	_ = g.metrics.Close()
	g.group.Wait()
	logrus.WithFields(logrus.Fields{"event": "stopped", "name": g.settings.Name, "cut": n}).Info()

	return nil
}

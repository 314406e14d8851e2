package gatekeeper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/sleeper"
)

const (
	// stopMargin is the part of the stop's time limit that is left unused, so that the process exits by
	// itself, before it is killed, and logs how many calls it interrupted.
	stopMargin = 300 * time.Millisecond
	// advanceInterval is the interval of checks whether a stop may proceed.
	advanceInterval = 50 * time.Millisecond
	// interruptTimeout is how long a stop that has reached its time limit waits for the answers to the calls that it interrupts. It is
	// within stopMargin.
	interruptTimeout = stopMargin / 3
	// flushTimeout is how long a stop waits for responses that are still being sent to callers
	// after the last call has ended.
	flushTimeout = 200 * time.Millisecond
	// backgroundTimeout is how long a stop waits for background goroutines, which are idle by then.
	backgroundTimeout = stopMargin / 2
)

// Stop performs a planned stop: it reports not ready, serves calls until the balancer has noticed,
// and returns when the last call has ended or the time limit is reached. It then interrupts the calls in progress.
func (g *Gatekeeper) Stop(c context.Context) error {
	limit := max(time.Duration(g.stopTimeout.Load())-stopMargin, stopMargin)

	c, stop := context.WithTimeout(c, limit)
	defer stop()

	g.drainer.StartShutdown(time.Now(), limit)
	g.forwarder.Stop()
	logrus.WithFields(logrus.Fields{"event": "stopping", "name": g.settings.Name, "running": g.drainer.Running()}).Info()

	g.negotiator.Decline()
	g.joiner.Leave(c)

	t := time.NewTicker(advanceInterval)
	defer t.Stop()

	for g.drainer.Advance(time.Now()) != drainer.Done && c.Err() == nil {
		select {
		case <-t.C:
		case <-c.Done():
		}
	}

	n := g.drainer.Running()

	if n > 0 {
		x, end := context.WithTimeout(context.WithoutCancel(c), interruptTimeout)
		defer end()

		c = x // The time limit has been reached, and the answers to interrupted calls are still to be sent.

		g.interrupt(c)
	}

	g.cancel()
	g.closeServers(c)

	if !g.awaitBackground(backgroundTimeout) {
		logrus.WithFields(logrus.Fields{"event": "stopIncomplete", "name": g.settings.Name}).Warn()
	}

	logrus.WithFields(logrus.Fields{"event": "stopped", "name": g.settings.Name, "cut": n}).Info()

	return nil
}

// interrupt ends the calls in progress and waits until they have ended, or the context is done.
func (g *Gatekeeper) interrupt(c context.Context) {
	const interval = time.Millisecond

	g.forwarder.Interrupt()

	for g.drainer.Running() > 0 && c.Err() == nil {
		sleeper.Sleep(c, interval)
	}
}

// closeServers closes the listeners and the connections.
//
// A call counts as ended before the HTTP library has written the last part of its response.
// Closing its connection at once would truncate the response; so connections in use may finish
// within flushTimeout.
func (g *Gatekeeper) closeServers(c context.Context) {
	c, stop := context.WithTimeout(c, flushTimeout)
	defer stop()

	_ = g.callerServer.Shutdown(c) // Remaining connections are closed next.
	_ = g.callerServer.Close()
	_ = g.delegateServer.Shutdown(c)
	_ = g.delegateServer.Close()
	_ = g.readyServer.Close()
	_ = g.metricsServer.Close()
}

// awaitBackground waits for the background goroutines, for at most limit, and reports whether they
// ended. A goroutine that hangs must not delay the exit until the process is killed.
func (g *Gatekeeper) awaitBackground(limit time.Duration) bool {
	d := make(chan struct{})

	go func() {
		g.background.Wait()
		close(d)
	}()

	select {
	case <-d:
		return true
	case <-time.After(limit):
		return false
	}
}

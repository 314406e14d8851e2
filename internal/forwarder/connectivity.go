package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

// maxCutOff is how long an instance that is cut off asks its callers to use other instances. A
// longer cut may leave no instance on the other side, and then it is better to serve what this one
// can.
const maxCutOff = 15 * time.Second

// minCutOff is how long an instance must appear to be cut off before it says so. Two targets of
// each data centre that become unreachable at once look like a cut until other targets there have
// been tried.
const minCutOff = 200 * time.Millisecond

// CutOff reports whether this instance reaches only the minority of the data centres, so that other
// instances would serve its callers better. It still serves the calls that arrive. It is safe for
// concurrent use.
func (f *Forwarder) CutOff() bool {
	b := f.cutSince.Load()

	if b == nil {
		return false
	}

	d := time.Since(*b)

	return d >= minCutOff && d < maxCutOff
}

// CheckConnectivity determines whether this instance is cut off and, while it is, connects to targets in the
// unreachable data centres to find out whether they can be reached again. Since the callers use
// other instances meanwhile, no call would show this. It is to be called periodically.
func (f *Forwarder) CheckConnectivity(c context.Context) {
	f.mu.Lock()
	l := f.selector.PartitionProbes(f.state.Registry())
	f.mu.Unlock()

	f.recordCutOff(len(l))

	var g sync.WaitGroup

	for _, t := range l {
		g.Go(func() { f.probeTarget(c, t) })
	}

	g.Wait()
}

// recordCutOff records how many data centres are unreachable because of a cut; zero means that
// there is no cut.
func (f *Forwarder) recordCutOff(centres int) {
	was := f.cutSince.Load()

	switch {
	case centres > 0 && was == nil:
		n := time.Now()
		f.cutSince.Store(&n)
		logrus.WithFields(logrus.Fields{"event": "cutOff", "unreachable": centres}).Warn()
	case centres == 0 && was != nil:
		f.cutSince.Store(nil)
		logrus.WithFields(logrus.Fields{"event": "cutOver", "lasted": time.Since(*was).Round(time.Millisecond)}).Info()
	}
}

// probeTarget connects to a target, records the outcome and closes the connection.
func (f *Forwarder) probeTarget(c context.Context, t *discoverer.Target) {
	b := time.Now()

	f.mu.Lock()
	f.selector.Start(b, t)
	f.mu.Unlock()

	o := selector.Answered

	n, err := f.client.dial(c, "tcp", t.Address.String())
	if err == nil {
		_ = n.Close() // Nothing was sent, so a failure to close loses nothing.
	} else {
		o = selector.Unreachable
	}

	if f.state.Stalled(b) {
		o = selector.Inconclusive
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.selector.Finish(time.Now(), t, o)
}

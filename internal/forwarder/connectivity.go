package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

// maxCutOff is how long an instance that is cut off by a network partition makes its callers use other
// instances. During a longer partition there may be no reachable instance elsewhere, so this one then
// serves calls as far as it can.
const maxCutOff = 15 * time.Second

// minCutOff is how long an instance must appear to be cut off before it reports that it is. If two
// targets of each data centre become unreachable at once, that looks like a partition until other
// targets there have been tried.
const minCutOff = 200 * time.Millisecond

// CutOff reports whether this instance reaches only the minority of the data centres, and no other instance sends
// its calls to the targets, so that other instances would serve its callers better. It still serves the calls that
// arrive. It is safe for concurrent use.
func (f *Forwarder) CutOff() bool {
	b := f.cutOffSince.Load()

	if b == nil {
		return false
	}

	d := time.Since(*b)

	return d >= minCutOff && d < maxCutOff && !f.helped()
}

// CheckConnectivity determines whether this instance is cut off and, while it is, connects to targets in the
// unreachable data centres to find out whether they can be reached again. Since the callers use
// other instances meanwhile, no call would reveal that. CheckConnectivity is to be called periodically.
func (f *Forwarder) CheckConnectivity(c context.Context) {
	f.mu.Lock()
	l := f.selector.PartitionProbes(f.state.Registry())
	f.mu.Unlock()

	f.recordCutOff(len(l))

	var g sync.WaitGroup

	for _, t := range l {
		g.Go(func() { f.probeTarget(c, t) })
	}

	g.Go(func() { f.checkLinks(c) })
	g.Wait()
}

// recordCutOff records how many data centres are unreachable because of a partition; zero means that
// this instance is not cut off.
func (f *Forwarder) recordCutOff(centres int) {
	was := f.cutOffSince.Load()

	switch {
	case centres > 0 && was == nil:
		n := time.Now()
		f.cutOffSince.Store(&n)
		logrus.WithFields(logrus.Fields{"event": "cutOff", "unreachable": centres}).Warn()
	case centres == 0 && was != nil:
		f.cutOffSince.Store(nil)
		logrus.WithFields(logrus.Fields{"event": "cutOver", "lasted": time.Since(*was).Round(time.Millisecond)}).Info()
	}
}

// probeTarget connects to a target, records the outcome, closes the connection and reports whether there was one.
func (f *Forwarder) probeTarget(c context.Context, t *discoverer.Target) bool {
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

	return o == selector.Answered
}

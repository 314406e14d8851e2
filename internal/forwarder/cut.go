package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/selector"
)

// cutMost is how long an instance that is cut off asks for its callers to be sent
// elsewhere. A cut that lasts longer may have nobody on its other side; then it is
// better to serve what can be served.
const cutMost = 15 * time.Second

// cutLeast is how long it must seem to be cut off before. Two targets of each data
// centre that fall silent at once look like a cut until others there are tried.
const cutLeast = 200 * time.Millisecond

// CutOff says that this instance reaches the lesser part of the data centres, and that
// others would serve its callers better. It still serves who comes.
func (f *Forwarder) CutOff() bool {
	b := f.cutSince.Load()

	if b == nil {
		return false
	}

	d := time.Since(*b)

	return d >= cutLeast && d < cutMost
}

// Look finds out whether this instance is cut off, and while it is, whether the data
// centres that it does not reach are back. With its callers elsewhere no call would
// tell.
func (f *Forwarder) Look(c context.Context) {
	f.mu.Lock()
	l := f.chooser.CutOff(f.facts.Roster())
	f.mu.Unlock()

	f.noteCut(len(l))

	var g sync.WaitGroup

	for _, t := range l {
		g.Go(func() { f.try(c, t) })
	}

	g.Wait()
}

// noteCut notes how many data centres a cut keeps this instance from; none is no cut.
func (f *Forwarder) noteCut(centres int) {
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

// try makes a connection to a target and closes it.
func (f *Forwarder) try(c context.Context, t *enroller.Target) {
	b := time.Now()

	f.mu.Lock()
	f.chooser.Start(b, t)
	f.mu.Unlock()

	o := selector.Answered

	n, err := f.client.dial(c, "tcp", t.Address.String())
	if err == nil {
		_ = n.Close() // Nothing was sent.
	} else {
		o = selector.Unreachable
	}

	if f.facts.Stalled(b) {
		o = selector.Inconclusive
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.chooser.Finish(time.Now(), t, o)
}

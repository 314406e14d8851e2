package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/detector"
)

// stalls knows when this process stood still. The parts ask it before they hold a time
// that ran out against a target or a peer. It is safe for concurrent use.
type stalls struct {
	detector *detector.Detector
}

func newStalls() *stalls {
	return &stalls{detector: detector.New(time.Now())}
}

// Stalled says that the process stood still, or was behind, at some time since then.
func (s *stalls) Stalled(since time.Time) bool { return s.detector.Stalled(time.Now(), since) }

// run ticks until the context ends.
func (s *stalls) run(c context.Context) {
	t := time.NewTicker(detector.TickEvery)
	defer t.Stop()

	// What passed between construction and start is no pause.
	s.detector.Tick(time.Now())

	for {
		select {
		case <-t.C:
			if g := s.detector.Tick(time.Now()); g > 0 {
				logrus.WithFields(logrus.Fields{"event": "stalled", "gap": g.Round(time.Millisecond)}).Warn()
			}
		case <-c.Done():
			return
		}
	}
}

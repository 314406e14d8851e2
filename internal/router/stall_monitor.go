package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/detector"
)

// stallMonitor detects when this process was stalled. Components consult it before they count
// a time-out as a failure of a target or a peer. It is safe for concurrent use.
type stallMonitor struct {
	detector *detector.Detector
}

func newStallMonitor() *stallMonitor {
	return &stallMonitor{detector: detector.New(time.Now())}
}

// Stalled reports whether the process was stalled, or behind after a stall, at any time since
// the given time.
func (s *stallMonitor) Stalled(since time.Time) bool { return s.detector.Stalled(time.Now(), since) }

// run ticks the detector and logs stalls until the context ends.
func (s *stallMonitor) run(c context.Context) {
	t := time.NewTicker(detector.TickInterval)
	defer t.Stop()

	// The time between construction and start does not count as a stall.
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

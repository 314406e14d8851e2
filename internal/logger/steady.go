package logger

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// TimeFormat is how lines tell times.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// fieldSteady is the field with the time by the steady clock.
const fieldSteady = "steady"

// leastStep is the least step of the clock that is told. Corrections by slewing stay below.
const leastStep = 500 * time.Millisecond

// Steady is a logrus.Hook that gives each line a second time: that of the process's start and
// what has passed since by the steady clock. It is safe for concurrent use.
//
// The clock of a machine may step by seconds. By its time alone a later call would seem to
// have come before an earlier one of the same instance; the second time never goes back.
type Steady struct {
	start time.Time
	// elapsed is what has passed since by the steady clock.
	elapsed func() time.Duration
	// offset is by how much the clock had stepped at the last line that told so.
	offset atomic.Int64
}

// NewSteady returns a Steady of a process that started at a time, and a function that says
// how much has passed since by the steady clock.
func NewSteady(start time.Time, elapsed func() time.Duration) *Steady {
	return &Steady{start: start.Round(0), elapsed: elapsed}
}

// Levels is part of logrus.Hook.
func (*Steady) Levels() []logrus.Level { return logrus.AllLevels }

// Fire is part of logrus.Hook.
func (s *Steady) Fire(e *logrus.Entry) error {
	t := s.start.Add(s.elapsed())
	e.Data[fieldSteady] = t.Format(TimeFormat)

	// Rounded, a time is the clock's alone.
	if d := e.Time.Round(0).Sub(t) - time.Duration(s.offset.Load()); d.Abs() >= leastStep {
		s.offset.Add(int64(d))

		e.Data["clockStepped"] = d.Round(time.Millisecond)
	}

	return nil
}

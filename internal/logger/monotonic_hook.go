package logger

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// TimeFormat is the format of the times in log lines.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// fieldMonotonic is the key of the time by the monotonic clock.
const fieldMonotonic = "steady"

// minStep is the smallest step of the wall clock that is logged. Corrections by slewing stay below it.
const minStep = 500 * time.Millisecond

// MonotonicHook is a logrus.Hook that adds a second time to each line: the start of the process plus
// the time since then by the monotonic clock. It also logs steps of the wall clock. It is safe for
// concurrent use.
//
// The wall clock of a machine may step by seconds. By its time alone, a later call could seem to
// precede an earlier one of the same instance; the second time never decreases.
type MonotonicHook struct {
	start time.Time
	// elapsed returns the time since start by the monotonic clock.
	elapsed func() time.Duration
	// offset is the sum of the logged steps, in nanoseconds.
	offset atomic.Int64
}

// NewMonotonicHook returns a MonotonicHook for a process that was started at the given time. The function
// elapsed returns the time since then by the monotonic clock.
func NewMonotonicHook(start time.Time, elapsed func() time.Duration) *MonotonicHook {
	return &MonotonicHook{start: start.Round(0), elapsed: elapsed}
}

// Levels implements logrus.Hook.
func (*MonotonicHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. It never fails.
func (h *MonotonicHook) Fire(e *logrus.Entry) error {
	t := h.start.Add(h.elapsed())
	e.Data[fieldMonotonic] = t.Format(TimeFormat)

	// Round strips the monotonic reading, so that wall-clock times are compared.
	if d := e.Time.Round(0).Sub(t) - time.Duration(h.offset.Load()); d.Abs() >= minStep {
		h.offset.Add(int64(d))

		e.Data["clockStepped"] = d.Round(time.Millisecond)
	}

	return nil
}

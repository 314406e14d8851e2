package logger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/logger"
)

// Guards against lines of later calls with earlier times: the wall clock of a machine steps back by
// 2 s between two calls. The monotonic times keep the order, and one line has the step. A clock that
// is slewed has not stepped.
func TestMonotonicHook(t *testing.T) {
	b := time.Date(2026, 5, 1, 10, 0, 0, 0, time.UTC)

	for name, tc := range map[string]struct {
		// offsets are the errors of the wall clock at the lines, which are 1 s apart.
		offsets []time.Duration
		// steps are the steps that the lines log, zero for none.
		steps []time.Duration
	}{
		"correct":       {[]time.Duration{0, 0, 0}, []time.Duration{0, 0, 0}},
		"step back":     {[]time.Duration{0, -2 * time.Second, -2 * time.Second}, []time.Duration{0, -2 * time.Second, 0}},
		"step and back": {[]time.Duration{0, 3 * time.Second, 0}, []time.Duration{0, 3 * time.Second, -3 * time.Second}},
		"slewed":        {[]time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond}, []time.Duration{0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var d time.Duration

			s := logger.NewMonotonicHook(b, func() time.Duration { return d })

			for n, o := range tc.offsets {
				d = time.Duration(n) * time.Second
				e := &logrus.Entry{Time: b.Add(d + o), Data: logrus.Fields{}}
				is.NoErr(s.Fire(e))
				is.Equal(e.Data["steady"], b.Add(d).Format(logger.TimeFormat))

				x, logged := e.Data["clockStepped"]
				is.Equal(logged, tc.steps[n] != 0)

				if logged {
					is.Equal(x, tc.steps[n])
				}
			}
		})
	}
}

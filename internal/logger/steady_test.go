package logger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/logger"
)

// The clock of a machine steps back by two seconds between two calls: the second has an
// earlier time than the first. Its steady time is the later one, and one line says by how much
// the clock stepped. A clock that is corrected little by little has not stepped.
func TestSteady(t *testing.T) {
	b := time.Date(2026, 5, 1, 10, 0, 0, 0, time.UTC)

	for name, tc := range map[string]struct {
		// off is by how much the clock is off, a second after another.
		off []time.Duration
		// steps are those told, zero where there is none.
		steps []time.Duration
	}{
		"a good clock":     {[]time.Duration{0, 0, 0}, []time.Duration{0, 0, 0}},
		"back":             {[]time.Duration{0, -2 * time.Second, -2 * time.Second}, []time.Duration{0, -2 * time.Second, 0}},
		"there and back":   {[]time.Duration{0, 3 * time.Second, 0}, []time.Duration{0, 3 * time.Second, -3 * time.Second}},
		"little by little": {[]time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond}, []time.Duration{0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var d time.Duration

			s := logger.NewSteady(b, func() time.Duration { return d })

			for n, off := range tc.off {
				d = time.Duration(n) * time.Second
				e := &logrus.Entry{Time: b.Add(d + off), Data: logrus.Fields{}}
				is.NoErr(s.Fire(e))
				is.Equal(e.Data["steady"], b.Add(d).Format(logger.TimeFormat))

				x, told := e.Data["clockStepped"]
				is.Equal(told, tc.steps[n] != 0)

				if told {
					is.Equal(x, tc.steps[n])
				}
			}
		})
	}
}

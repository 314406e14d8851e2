package extender_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/sleeper"
)

// Guards against reads that are aborted while data arrives, and against reads that never end.
func TestExtend(t *testing.T) {
	s := extender.Settings{Initial: time.Second, Idle: 300 * time.Millisecond, Max: 3 * time.Second}

	for name, x := range map[string]struct {
		settings extender.Settings
		// interval is the time between two arrivals, and arrivals is their number.
		interval time.Duration
		arrivals int
		ends     time.Duration
	}{
		"nothing arrives":            {s, 0, 0, time.Second},
		"arrives in initial time":    {s, 100 * time.Millisecond, 5, time.Second},
		"arrives after initial time": {s, 200 * time.Millisecond, 7, 1700 * time.Millisecond},
		"idle for too long":          {s, 400 * time.Millisecond, 7, 1100 * time.Millisecond},
		"reaches the maximum":        {s, 200 * time.Millisecond, 100, 3 * time.Second},
		"initial time is longer":     {extender.Settings{Initial: time.Second, Idle: 0, Max: 3 * time.Second}, 200 * time.Millisecond, 100, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				b := time.Now()
				c, stop := extender.New(t.Context(), x.settings)

				defer stop()

				go func() {
					for range x.arrivals {
						sleeper.Sleep(c, x.interval)
						extender.Extend(c)
					}
				}()

				<-c.Done()
				i.Equal(time.Since(b), x.ends)
				i.Equal(context.Cause(c), context.DeadlineExceeded)
			})
		})
	}
}

// Guards against an operation that continues while the operation that it is part of times out.
func TestExtendReachesOuterContexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		b, n := time.Now(), 0
		o, stop := extender.New(t.Context(), extender.Settings{Initial: time.Second, Idle: time.Second, Max: time.Minute})

		defer stop()

		c, end := extender.New(context.WithoutCancel(o), extender.Settings{OnExtend: func() { n++ }})
		defer end()

		time.Sleep(900 * time.Millisecond)
		extender.Extend(c)
		<-o.Done()
		i.Equal(time.Since(b), 1900*time.Millisecond)
		i.Equal(n, 1)
		i.NoErr(c.Err())
		extender.Extend(t.Context()) // Not made by New.
	})
}

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

// Guards against reads that are given up on their way, and against reads that never end.
func TestExtend(t *testing.T) {
	s := extender.Settings{First: time.Second, Gap: 300 * time.Millisecond, Most: 3 * time.Second}

	for name, x := range map[string]struct {
		settings extender.Settings
		// every and times are how often something arrives.
		every time.Duration
		times int
		ends  time.Duration
	}{
		"nothing arrives":          {s, 0, 0, time.Second},
		"all arrives soon":         {s, 100 * time.Millisecond, 5, time.Second},
		"it takes longer":          {s, 200 * time.Millisecond, 7, 1700 * time.Millisecond},
		"it stops for too long":    {s, 400 * time.Millisecond, 7, 1100 * time.Millisecond},
		"it goes on and on":        {s, 200 * time.Millisecond, 100, 3 * time.Second},
		"a later end than the gap": {extender.Settings{First: time.Second, Gap: 0, Most: 3 * time.Second}, 200 * time.Millisecond, 100, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				b := time.Now()
				c, stop := extender.New(t.Context(), x.settings)

				defer stop()

				go func() {
					for range x.times {
						sleeper.Sleep(c, x.every)
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

// Guards against a step that lasts while the whole that it belongs to is given up.
func TestExtendReachesOuterContexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		b, n := time.Now(), 0
		o, stop := extender.New(t.Context(), extender.Settings{First: time.Second, Gap: time.Second, Most: time.Minute})

		defer stop()

		c, end := extender.New(context.WithoutCancel(o), extender.Settings{Came: func() { n++ }})
		defer end()

		time.Sleep(900 * time.Millisecond)
		extender.Extend(c)
		<-o.Done()
		i.Equal(time.Since(b), 1900*time.Millisecond)
		i.Equal(n, 1)
		i.NoErr(c.Err())
		extender.Extend(t.Context()) // No extender made it.
	})
}

package reaper_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/reaper"
)

func TestSweep(t *testing.T) {
	idle := reaper.Limits{IdleTimeout: 10 * time.Second}

	for name, x := range map[string]struct {
		states []http.ConnState
		begun  bool
		limits reaper.Limits
		after  time.Duration
		closed int
	}{
		"idle at the limit":    {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, false, idle, 10 * time.Second, 1},
		"idle below the limit": {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, false, idle, 9 * time.Second, 0},
		"running call":         {[]http.ConnState{http.StateNew, http.StateActive}, true, reaper.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second}, time.Hour, 0},
		// A caller that sends its headers one byte at a time would otherwise occupy a file
		// descriptor without bound.
		"headers at the limit":    {[]http.ConnState{http.StateNew, http.StateActive}, false, reaper.Limits{IdleTimeout: time.Hour, HeaderTimeout: 3 * time.Second}, 3 * time.Second, 1},
		"headers below the limit": {[]http.ConnState{http.StateNew, http.StateActive}, false, reaper.Limits{IdleTimeout: time.Second, HeaderTimeout: 3 * time.Second}, 2 * time.Second, 0},

		"no call yet":    {[]http.ConnState{http.StateNew}, false, idle, 11 * time.Second, 1},
		"closed already": {[]http.ConnState{http.StateNew, http.StateClosed}, false, idle, time.Hour, 0},
		"no limit":       {[]http.ConnState{http.StateNew, http.StateIdle}, false, reaper.Limits{}, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, b := net.Pipe()

				defer a.Close() //nolint:errcheck // The test's own.
				defer b.Close() //nolint:errcheck // The test's own.

				i := reaper.New(func() reaper.Limits { return x.limits })
				for _, s := range x.states {
					i.Track(a, s)
				}

				if x.begun {
					i.RecordHeaders(i.Context(t.Context(), a))
				}

				time.Sleep(x.after)
				is.Equal(i.Sweep(), x.closed)
				is.Equal(i.Sweep(), 0)
			})
		})
	}
}

// A limit that changes with the configuration also applies to connections that are open already.
func TestChangedLimitAppliesToOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()

		defer a.Close() //nolint:errcheck // The test's own.
		defer b.Close() //nolint:errcheck // The test's own.

		d := time.Minute
		i := reaper.New(func() reaper.Limits { return reaper.Limits{IdleTimeout: d} })
		i.Track(a, http.StateIdle)
		time.Sleep(30 * time.Second)
		is.Equal(i.Sweep(), 0)

		d = 20 * time.Second
		is.Equal(i.Sweep(), 1)
	})
}

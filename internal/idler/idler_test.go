package idler_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/idler"
)

func TestSweep(t *testing.T) {
	for name, x := range map[string]struct {
		states []http.ConnState
		limit  time.Duration
		after  time.Duration
		closed int
	}{
		"idle for too long": {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 10 * time.Second, 10 * time.Second, 1},
		"idle for less":     {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 10 * time.Second, 9 * time.Second, 0},
		"has a call":        {[]http.ConnState{http.StateNew, http.StateActive}, 10 * time.Second, time.Hour, 0},
		"never had one":     {[]http.ConnState{http.StateNew}, 10 * time.Second, 11 * time.Second, 1},
		"closed already":    {[]http.ConnState{http.StateNew, http.StateClosed}, 10 * time.Second, time.Hour, 0},
		"no limit":          {[]http.ConnState{http.StateNew, http.StateIdle}, 0, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, b := net.Pipe()

				defer a.Close() //nolint:errcheck // The test's own.
				defer b.Close() //nolint:errcheck // The test's own.

				i := idler.New(func() time.Duration { return x.limit })
				for _, s := range x.states {
					i.Track(a, s)
				}

				time.Sleep(x.after)
				is.Equal(i.Sweep(), x.closed)
				is.Equal(i.Sweep(), 0)
			})
		})
	}
}

// A limit that the configuration changes holds for connections that are open.
func TestLimitChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()

		defer a.Close() //nolint:errcheck // The test's own.
		defer b.Close() //nolint:errcheck // The test's own.

		d := time.Minute
		i := idler.New(func() time.Duration { return d })
		i.Track(a, http.StateIdle)
		time.Sleep(30 * time.Second)
		is.Equal(i.Sweep(), 0)

		d = 20 * time.Second
		is.Equal(i.Sweep(), 1)
	})
}

package router_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/exchanger"
)

// addCrashingServices adds services that crash on a call to the path /fatal. It returns the
// counter of crashes.
func (f *fleet) addCrashingServices(n int) *atomic.Int64 {
	var crashes atomic.Int64

	for i := range n {
		var s *httptest.Server

		s = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/fatal" {
				crashes.Add(1)
				_ = s.Listener.Close()

				go s.CloseClientConnections()

				panic(http.ErrAbortHandler)
			}

			w.WriteHeader(http.StatusOK)
		}))
		s.Config.ErrorLog = nil
		s.Start()
		f.t.Cleanup(s.Close)
		f.addTarget("m"+strconv.Itoa(i), "service", netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	}

	return &crashes
}

// Guards against a call that crashes all targets: a caller repeats a request that crashes each
// target that runs it, alternating between the routers. The routers must share the crashes,
// so that the call is quarantined at all routers after the third crash and other calls are
// served.
func TestCrashingCallIsQuarantinedByAllRouters(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 0, 0)
	crashes := f.addCrashingServices(8)
	f.publish(1)
	f.add("dc-1")
	f.add("dc-1")
	f.awaitMembership()

	var r response

	for n := range 12 {
		r = f.instances[n%2].do(t.Context(), http.MethodGet, "/fatal", "", "")

		time.Sleep(50 * time.Millisecond)
	}

	i.Equal(crashes.Load(), int64(3))
	i.Equal(r.status, http.StatusServiceUnavailable)
	i.Equal(r.outcome(), string(exchanger.NotRun))
	i.Equal(f.instances[0].do(t.Context(), http.MethodGet, "/page", "", "").status, http.StatusOK)
	i.Equal(f.instances[1].do(t.Context(), http.MethodGet, "/page", "", "").status, http.StatusOK)
}

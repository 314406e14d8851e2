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

// mortals are services that a call to the path /fatal ends, and how many of them it has.
func (f *fleet) mortals(n int) *atomic.Int64 {
	var ended atomic.Int64

	for i := range n {
		var s *httptest.Server

		s = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/fatal" {
				ended.Add(1)
				_ = s.Listener.Close()

				go s.CloseClientConnections()

				panic(http.ErrAbortHandler)
			}

			w.WriteHeader(http.StatusOK)
		}))
		s.Config.ErrorLog = nil
		s.Start()
		f.t.Cleanup(s.Close)
		f.target("m"+strconv.Itoa(i), "service", netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	}

	return &ended
}

// A pharmacist's page is asked for again and again, at one router after the other, and ends each
// target that begins to answer. Orders of others break with them, until none is left: no router
// remembered under which call a target had ended, and each sent it on, and once more. After the
// third end it is refused everywhere, and the others are served.
func TestCallThatEndsTargetsIsHeldBackEverywhere(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 0, 0)
	ended := f.mortals(8)
	f.publish(1)
	f.add("dc-1")
	f.add("dc-1")
	f.together()

	var r response

	for n := range 12 {
		r = f.nodes[n%2].do(t.Context(), http.MethodGet, "/fatal", "", "")

		time.Sleep(50 * time.Millisecond)
	}

	i.Equal(ended.Load(), int64(3))
	i.Equal(r.status, http.StatusServiceUnavailable)
	i.Equal(r.outcome(), string(exchanger.NotRun))
	i.Equal(f.nodes[0].do(t.Context(), http.MethodGet, "/page", "", "").status, http.StatusOK)
	i.Equal(f.nodes[1].do(t.Context(), http.MethodGet, "/page", "", "").status, http.StatusOK)
}

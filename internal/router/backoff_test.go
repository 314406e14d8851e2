package router_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

// addBackoffServices adds services that refuse each call and request a backoff in seconds. It
// returns a counter of the calls that they receive.
func (f *fleet) addBackoffServices(n int, backoff string) *atomic.Int64 {
	var calls atomic.Int64

	for i := range n {
		f.addTarget("r"+strconv.Itoa(i), "service", f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				return
			}

			calls.Add(1)
			w.Header().Set(exchanger.TargetNotRun, "true")
			w.Header().Set("Retry-After", backoff)
			w.WriteHeader(http.StatusServiceUnavailable)
		})))
	}

	return &calls
}

// Guards against calls from any router to targets during the backoff that they requested, and
// against a Retry-After for callers that is shorter than the backoff.
func TestRequestedBackoffIsRespected(t *testing.T) {
	for name, others := range map[string]int{"some": 2, "all": 0} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFleet(t, 0, others)
			calls := f.addBackoffServices(2, "30")
			f.publish(1)
			f.add("dc-1")
			f.add("dc-1")
			f.awaitMembership()

			k := 0
			call := func() response {
				k++

				return f.instances[k%2].do(t.Context(), http.MethodGet, "/page"+strconv.Itoa(k), "", "")
			}

			waiter.Until(t, "the first backoff", func() bool { call(); return calls.Load() > 0 })

			// The router sends the home of the cell a message about the backoff.
			time.Sleep(50 * time.Millisecond)

			for range 30 {
				r := call()

				if others > 0 {
					i.Equal(r.status, http.StatusOK)

					continue
				}

				i.Equal(r.status, http.StatusServiceUnavailable)
				i.Equal(r.outcome(), string(exchanger.NotRun))

				w, err := strconv.Atoi(r.header.Get("Retry-After"))
				i.NoErr(err)
				i.True(w >= 25)
			}

			// Each of the two services was called at most once.
			i.True(calls.Load() <= 2)
		})
	}
}

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

// resters are services that turn each call away and ask for rest, and how many calls came to them.
func (f *fleet) resters(n int, rest string) *atomic.Int64 {
	var came atomic.Int64

	for i := range n {
		f.target("r"+strconv.Itoa(i), "service", f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				return
			}

			came.Add(1)
			w.Header().Set(exchanger.TargetNotRun, "true")
			w.Header().Set("Retry-After", rest)
			w.WriteHeader(http.StatusServiceUnavailable)
		})))
	}

	return &came
}

// Guards against targets that go on getting calls in the rest that they asked for, from whichever
// router, and against callers who are told to come back before it is over.
func TestTargetsThatAskForRest(t *testing.T) {
	for name, others := range map[string]int{"some": 2, "all": 0} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFleet(t, 0, others)
			came := f.resters(2, "30")
			f.publish(1)
			f.add("dc-1")
			f.add("dc-1")
			f.together()

			k := 0
			call := func() response {
				k++

				return f.nodes[k%2].do(t.Context(), http.MethodGet, "/page"+strconv.Itoa(k), "", "")
			}

			waiter.Until(t, "the first rest", func() bool { call(); return came.Load() > 0 })

			// What one router heard is with the home of the cell a message later.
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

			// Each was called once.
			i.True(came.Load() <= 2)
		})
	}
}

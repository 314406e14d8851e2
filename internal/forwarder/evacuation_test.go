package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/reserver"
)

// evacuate evacuates the given data centres and ends the evacuation of all others.
func (g *gateway) evacuate(centres ...string) {
	c := make(map[string]bool)
	for _, x := range centres {
		c[x] = true
	}

	r := g.discoverer.Registry()
	if len(c) > 0 {
		r = r.WithEvacuated(func(x string) bool { return c[x] }, nil)
	}

	g.state.mu.Lock()
	g.state.registry = r
	g.state.mu.Unlock()

	g.forwarder.Prune(r)
}

// hookReserver grants a slot to each call after running a function.
type hookReserver func(t *discoverer.Target)

func (h hookReserver) Reserve(_ context.Context, t *discoverer.Target, _ aggregator.Request) (aggregator.Verdict, reserver.Release) {
	h(t)

	return aggregator.Verdict{Outcome: aggregator.Granted, Calls: 1}, func(aggregator.Result, float64) {}
}

func (hookReserver) Report(*discoverer.Target, int) {}

// Guards against calls that reach an evacuated data centre, however the target was selected.
func TestEvacuatedDataCentreReceivesNoCalls(t *testing.T) {
	for name, x := range map[string]struct {
		path string
		// answer returns the answer function of the first target, which calls prefer; nil means
		// answerOK. The function before, if set, is run before the call.
		answer func(g *gateway) func(n net.Conn, s received)
		before func(g *gateway)
		status int
		calls  []int
	}{
		"evacuated before the call": {
			path: "/once/", before: func(g *gateway) { g.evacuate("dc0") }, status: http.StatusOK, calls: []int{0, 1},
		},
		"evacuated during the reservation": {
			path: "/once/", status: http.StatusOK, calls: []int{0, 1},
			before: func(g *gateway) {
				g.forwarder.SetReserver(hookReserver(func(*discoverer.Target) { g.evacuate("dc0") }))
			},
		},
		"second attempt": {
			path: "/idempotent/", status: http.StatusBadGateway, calls: []int{1, 0},
			answer: func(g *gateway) func(n net.Conn, s received) {
				return func(n net.Conn, _ received) { g.evacuate("dc1"); reset(n) }
			},
		},
		"resumed stream": {
			path: "/resumable/", calls: []int{1, 0},
			answer: func(g *gateway) func(n net.Conn, s received) {
				return func(n net.Conn, s received) {
					beginStream(n, s)
					chunk(n, event(1))
					g.evacuate("dc1")
					reset(n)
				}
			},
		},
		"all data centres": {
			path: "/once/", before: func(g *gateway) { g.evacuate("dc0", "dc1") }, status: http.StatusServiceUnavailable, calls: []int{0, 0},
		},
		"all but one": {
			path: "/once/", before: func(g *gateway) { g.evacuate("dc1") }, status: http.StatusOK, calls: []int{1, 0},
		},
		"evacuation ended": {
			path: "/once/", before: func(g *gateway) { g.evacuate("dc0"); g.evacuate() }, status: http.StatusOK, calls: []int{1, 0},
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a, b := &target{answer: answerOK}, &target{answer: answerOK}
			g := newGateway(t, a, b)

			if x.answer != nil {
				a.answer = x.answer(g)
			}

			if x.before != nil {
				x.before(g)
			}

			n := time.Now()
			o := g.call(t, http.MethodGet, x.path, "")
			i.True(x.status == 0 || o.status == x.status) // The status of a broken stream is not checked.
			i.Equal([]int{a.count(), b.count()}, x.calls)

			if x.status == http.StatusServiceUnavailable {
				i.True(o.header.Get("Retry-After") != "")
				i.True(time.Since(n) < 200*time.Millisecond) // Immediately, not at the deadline.
			}
		})
	}
}

// Guards against targets of an evacuated data centre being selected by the fallback to excluded
// targets, which is used when most targets of a group fail.
func TestFallbackToExcludedTargetsKeepsEvacuation(t *testing.T) {
	i := is.New(t)
	a, b := &target{answer: answerOK}, &target{answer: answerOK}
	g := newGateway(t, a, b)
	g.evacuate("dc0")
	b.refuseConnections()

	for range 10 {
		i.Equal(g.call(t, http.MethodGet, "/idempotent/", "").status, http.StatusServiceUnavailable)
		time.Sleep(20 * time.Millisecond)
	}

	i.Equal(a.count(), 0)
}

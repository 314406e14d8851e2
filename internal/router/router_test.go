package router_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/internal/standin/engine"
	"github.com/auburntray/auburntray/internal/standin/platform"
	"github.com/auburntray/auburntray/internal/standin/service"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

// Engines break connections in the middle of answers. Many callers stream at
// once through all routers; each must get its own answer, whole, with no word
// of another's and none twice where the stream was resumed.
//
// All calls are one customer's, who has 0.85 of the places. Four engines have 54 for it,
// so that none of the 45 is held back however slowly the others end.
func TestEveryCallerGetsItsOwnWholeAnswer(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 4, 0)

	for range 3 {
		f.add("dc-1")
	}

	f.together()

	for _, e := range f.engines {
		e.SetFaults(engine.Faults{BreakAfter: 7})
	}

	var g sync.WaitGroup

	for n := range 45 {
		g.Go(func() {
			q := "question " + strconv.Itoa(n)
			r := f.nodes[n%3].chat(t.Context(), q, 15, true)

			b, whole := text(r.body)
			if r.err != nil || !whole || b != want(q, 15) {
				t.Errorf("%s: %v %v %q", q, r.err, whole, r.body)
			}
		})
	}

	g.Wait()

	resumed := int64(0)
	for _, n := range f.nodes {
		resumed += n.metric(counter.Resumed)
	}

	i.True(resumed >= 45) // each broke at least once
}

// A stream breaks and can't be resumed, after a part has reached the caller. The
// caller must not take the part for the whole: it gets an error, no end, and a
// connection that closes.
func TestABrokenAnswerHasNoNormalEnd(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 1, 0)
	n := f.add("dc-1")

	f.engines[0].SetFaults(engine.Faults{BreakAfter: 3, LoseStreams: true})

	r := n.chat(t.Context(), "q", 10, true)
	_, whole := text(r.body)
	i.True(!whole)
	i.True(r.err != nil)
	i.True(strings.Contains(r.body, string(exchanger.CodeBroken)))
}

// A router is told to stop while a close review streams through it. The review
// ends whole, and what comes after the notice is refused as not run.
func TestAPlannedStopCutsNothing(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 2, 0)
	a, b := f.add("dc-1"), f.add("dc-1")
	f.together()

	var (
		g sync.WaitGroup
		r response
	)

	g.Go(func() { r = a.chat(t.Context(), "review", 300, true) })
	waiter.Until(t, "the calls in progress", func() bool { return a.metric(counter.InFlight) == 1 })
	g.Go(func() { f.stop(a) })
	waiter.Until(t, "the refusal of new calls", func() bool {
		x := a.chat(t.Context(), "late", 1, false)

		return x.err == nil && x.outcome() == string(exchanger.NotRun) && x.header.Get("Retry-After") != ""
	})
	i.Equal(a.do(t.Context(), http.MethodGet, "/readyz", "", "").status, http.StatusServiceUnavailable)
	g.Wait()

	x, whole := text(r.body)
	i.NoErr(r.err)
	i.True(whole)
	i.Equal(x, want("review", 300))
	i.Equal(b.chat(t.Context(), "next", 2, false).outcome(), string(exchanger.Ran))
}

// Chats return after their home was stopped as planned. The next home was handed
// their places, so their prompt caches are used again.
func TestAStoppedHomeHandsItsPlacesOver(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 4, 0)
	a, b := f.add("dc-1"), f.add("dc-1")
	f.together()

	if b.router.Home(chatCell()) {
		a, b = b, a
	}

	// While three of the four engines are busy, chats get a place on the fourth,
	// which they would not find again by hashing alone.
	c, end := context.WithCancel(t.Context())

	var g sync.WaitGroup

	for k := range 3 {
		g.Go(func() { b.chat(c, "busy "+strconv.Itoa(k), 2000, true) })
	}

	waiter.Until(t, "the calls in progress", func() bool { return b.metric(counter.InFlight) == 3 })

	place := make(map[string]string)

	for k := range 12 {
		q := "chat " + strconv.Itoa(k)
		place[q] = b.chat(t.Context(), q, 1, false).header.Get(exchanger.HeaderTarget)
	}

	end()
	g.Wait()
	waiter.Until(t, "the calls' end", func() bool { return b.metric(counter.InFlight) == 0 })
	f.stop(a)

	for q, p := range place {
		i.Equal(b.chat(t.Context(), q, 1, false).header.Get(exchanger.HeaderTarget), p)
	}
}

// One booking comes to all routers at once, as when a rider's app repeats it.
// The rider is booked once, and everyone who asks gets that booking's answer.
func TestABookingRunsOnce(t *testing.T) {
	f := newFleet(t, 0, 2)

	for range 3 {
		f.add("dc-1")
	}

	f.together()

	var g sync.WaitGroup

	for k := range 20 {
		for _, n := range f.nodes {
			g.Go(func() { bookUntilAnswered(t, n, fmt.Sprintf("key-%d", k)) })
		}
	}

	g.Wait()

	for _, s := range f.services {
		for k, n := range s.Counts() {
			if n != 1 {
				t.Errorf("%s ran %d times", k, n)
			}
		}
	}
}

func bookUntilAnswered(t *testing.T, n *node, key string) {
	t.Helper()

	for range 100 {
		r := n.do(t.Context(), http.MethodPost, "/book", key, key)
		if r.outcome() == string(exchanger.Ran) {
			if !strings.Contains(r.body, `"executions":1`) {
				t.Errorf("%s: %s", key, r.body)
			}

			return
		}

		time.Sleep(50 * time.Millisecond)
	}

	t.Errorf("%s was never answered", key)
}

// What a call is told must be true. The service cuts its connections, refuses,
// is not there, or the log is down; the counts of the service show what ran.
func TestOutcomesAreTrue(t *testing.T) {
	for name, tc := range map[string]struct {
		service service.Faults
		log     platform.Faults
		gone    bool
		key     string
		want    exchanger.Outcome
		runs    int
		again   exchanger.Outcome
	}{
		"it runs":                                  {key: "k", want: exchanger.Ran, runs: 1, again: exchanger.Ran},
		"it fails after it ran":                    {service: service.Faults{Fail: true}, key: "k", want: exchanger.Ran, runs: 1, again: exchanger.Ran},
		"the answer is lost":                       {service: service.Faults{Cut: true}, key: "k", want: exchanger.Unknown, runs: 1, again: exchanger.Unknown},
		"the answer is lost, without a key":        {service: service.Faults{Cut: true}, want: exchanger.Unknown, runs: 1},
		"the service says it did not run":          {service: service.Faults{Refuse: true}, key: "k", want: exchanger.NotRun, again: exchanger.NotRun},
		"the service is not there":                 {gone: true, key: "k", want: exchanger.NotRun, again: exchanger.NotRun},
		"the log is down":                          {log: platform.Faults{Outage: true}, key: "k", want: exchanger.NotRun, again: exchanger.NotRun},
		"the log is down, and there is no key":     {log: platform.Faults{Outage: true}, want: exchanger.Ran, runs: 1},
		"the log loses the replies to its appends": {log: platform.Faults{LoseReplies: 2}, key: "k", want: exchanger.Ran, runs: 1, again: exchanger.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFleet(t, 0, 1)

			if tc.gone {
				f.target("s0", "service", f.dead())
				f.publish(1)
			}

			n := f.add("dc-1")
			waiter.Until(t, "the revision", func() bool { return !tc.gone || n.metric(counter.Revision) == 2 })
			f.services[0].SetFaults(tc.service)
			f.platform.SetFaults(tc.log)

			i.Equal(n.do(t.Context(), http.MethodPost, "/book", tc.key, "body").outcome(), string(tc.want))
			i.Equal(f.services[0].Counts()[tc.key], tc.runs)

			if tc.key != "" {
				i.Equal(n.do(t.Context(), http.MethodPost, "/book", tc.key, "body").outcome(), string(tc.again))
				i.Equal(f.services[0].Counts()[tc.key], tc.runs) // no second run
			}
		})
	}
}

// The library that sends requests repeats one by itself when a kept connection
// breaks under it and the request has an Idempotency-Key or no body. The service
// runs the call and cuts the connection, each time on one that was kept.
func TestTheTransportRepeatsNothing(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 0, 1)
	n := f.add("dc-1")

	for k := range 5 {
		f.services[0].SetFaults(service.Faults{})
		i.Equal(n.do(t.Context(), http.MethodGet, "/read", "", "").outcome(), string(exchanger.Ran))
		f.services[0].SetFaults(service.Faults{Cut: true})

		key := strconv.Itoa(k)
		i.Equal(n.do(t.Context(), http.MethodDelete, "/book", key, "").outcome(), string(exchanger.Unknown))
		i.Equal(f.services[0].Counts()[key], 1)
	}
}

func TestAKeyIsBoundToItsBody(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 0, 1)
	n := f.add("dc-1")

	i.Equal(n.do(t.Context(), http.MethodPost, "/book", "k", "one").status, http.StatusOK)
	r := n.do(t.Context(), http.MethodPost, "/book", "k", "two")
	i.Equal(r.status, http.StatusUnprocessableEntity)
	i.Equal(r.outcome(), string(exchanger.NotRun))
	i.Equal(f.services[0].Counts()["k"], 1)
}

// A data centre can't reach the platform. A change must reach its routers all
// the same, through their peers; one that starts there takes what the peers
// hold; and when the log is back nobody steps back.
func TestAChangeReachesACutOffDataCentre(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 1, 0)
	a, b := f.add("dc-1"), f.add("dc-2")
	f.together()

	f.platform.SetFaults(platform.Faults{Cut: []string{"dc-2"}})
	f.target("late", "engine", f.dead())
	r := int64(f.publish(1))

	waiter.Until(t, "the revision", func() bool { return a.metric(counter.Revision) == r })
	waiter.Until(t, "the revision", func() bool { return b.metric(counter.Revision) == r })

	c := f.start("dc-2")
	waiter.Until(t, "the revision", func() bool { return c.metric(counter.Revision) == r })

	f.platform.SetFaults(platform.Faults{})
	f.target("later", "engine", f.dead())

	next := int64(f.publish(uint64(r)))
	for _, n := range f.nodes {
		waiter.Until(t, "the revision", func() bool {
			v := n.metric(counter.Revision)
			i.True(v >= r)

			return v == next
		})
	}
}

// A router starts while nothing can be reached. It must not show itself ready,
// or callers would meet a router that knows no target.
func TestARouterWithoutConfigurationIsNotReady(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 1, 0)
	f.platform.SetFaults(platform.Faults{Outage: true})

	n := f.start("dc-1")
	i.Equal(n.do(t.Context(), http.MethodGet, "/readyz", "", "").status, http.StatusServiceUnavailable)
	i.Equal(n.chat(t.Context(), "q", 1, false).outcome(), string(exchanger.NotRun))

	f.platform.SetFaults(platform.Faults{})
	waiter.Until(t, "readiness", func() bool { return n.do(t.Context(), http.MethodGet, "/readyz", "", "").status == http.StatusOK })
}

// A target leaves: by the platform's list, by the operators, or by its own word.
// Within seconds no new chat may go there, and it stays so while other sources
// still call it live.
func TestALeavingTargetGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(f *fleet){
		"by the list": func(f *fleet) {
			f.list(recorder.Instance{Name: "e0", Role: "target", Incarnation: f.engines[0].Incarnation(), Leaving: true})
		},
		"by the operators": func(f *fleet) {
			x, _ := f.targets["e0"].(map[string]any)
			x["drain"] = true
			f.publish(1)
		},
		"by its own word": func(f *fleet) { f.engines[0].Leave() },
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFleet(t, 2, 0)
			n := f.add("dc-1")
			f.add("dc-1")
			f.together()
			leave(f)

			k := 0

			waiter.Until(t, "the last call to the target that left", func() bool {
				for range 8 {
					k++

					if n.chat(t.Context(), "q"+strconv.Itoa(k), 1, false).header.Get(exchanger.HeaderTarget) == "e0" {
						return false
					}
				}

				return true
			})

			for range 30 {
				k++
				i.Equal(n.chat(t.Context(), "q"+strconv.Itoa(k), 1, false).header.Get(exchanger.HeaderTarget), "e1")
			}
		})
	}
}

// A caller hangs up. Its answer would go on taking a slot that others wait for.
func TestACallerThatHangsUpFreesItsSlot(t *testing.T) {
	f := newFleet(t, 1, 0)
	n := f.add("dc-1")
	c, hangUp := context.WithCancel(t.Context())

	var g sync.WaitGroup

	g.Go(func() { n.chat(c, "q", 2000, true) })
	waiter.Until(t, "the engine's call", func() bool { return f.engines[0].Running() == 1 })
	hangUp()
	waiter.Until(t, "the cancellation", func() bool { return f.engines[0].Running() == 0 && f.engines[0].Canceled() == 1 })
	g.Wait()
	waiter.Until(t, "the calls' end", func() bool { return n.metric(counter.InFlight) == 0 })
}

func TestBadInputIsRefused(t *testing.T) {
	f := newFleet(t, 1, 1)
	n := f.add("dc-1")

	for name, tc := range map[string]struct {
		path, header, value, body string
		status                    int
		code                      exchanger.Code
	}{
		"no JSON":           {"/v1/chat/completions", "", "", "{", 400, exchanger.CodeBadRequest},
		"no messages":       {"/v1/chat/completions", "", "", "{}", 400, exchanger.CodeBadRequest},
		"no customer":       {"/book", exchanger.HeaderCustomer, "", "", 400, exchanger.CodeNoCustomer},
		"an unknown one":    {"/book", exchanger.HeaderCustomer, "who", "", 403, exchanger.CodeNoCustomer},
		"no deadline":       {"/book", exchanger.HeaderDeadline, "soon", "", 400, exchanger.CodeBadRequest},
		"a negative one":    {"/book", exchanger.HeaderDeadline, "-1s", "", 400, exchanger.CodeBadRequest},
		"a long key":        {"/book", exchanger.HeaderKey, strings.Repeat("k", 300), "", 400, exchanger.CodeBadRequest},
		"a large body":      {"/book", "", "", strings.Repeat("x", 9<<20), 413, exchanger.CodeTooLarge},
		"a token not given": {"/v1/chat/completions", exchanger.HeaderPlace, "\x7f~", `{"messages":[]}`, 400, exchanger.CodeBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, n.url+tc.path, strings.NewReader(tc.body))
			i.NoErr(err)
			q.Header.Set(exchanger.HeaderCustomer, "c")

			if tc.header != "" {
				q.Header[tc.header] = []string{tc.value}
			}

			r, err := http.DefaultTransport.RoundTrip(q)
			if err != nil && tc.value == "\x7f~" {
				return // the library does not even send it
			}

			i.NoErr(err)
			i.Equal(r.StatusCode, tc.status)
			i.Equal(r.Header.Get(exchanger.HeaderOutcome), string(exchanger.NotRun))
			i.NoErr(r.Body.Close())
		})
	}
}

// chatCell returns the cell that the fleet's engines are in.
func chatCell() uint32 { return hasher.Name("chats/r/0") }

// A home is gone at once, as when its host dies. The entries find out by a
// failed ask, and go on with the next home without a call being lost.
func TestALostHomeLosesNoCall(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 3, 0)

	for range 3 {
		f.add("dc-1")
	}

	f.together()
	i.Equal(f.nodes[0].chat(t.Context(), "q", 1, false).outcome(), string(exchanger.Ran))

	home := 0

	for k, n := range f.nodes {
		if n.router.Home(chatCell()) {
			home = k
		}
	}

	f.nodes[home].router.Vanish()

	for k := range 30 {
		n := f.nodes[(home+1+k%2)%3]
		i.Equal(n.chat(t.Context(), "q"+strconv.Itoa(k), 1, false).outcome(), string(exchanger.Ran))
	}
}

// A data centre is cut off from the other and from the platform. Each side goes
// on serving with its own engine and the configuration it has; a change made
// meanwhile waits outside and comes in when the cut heals, and nobody steps back.
func TestACutOffDataCentreServesOn(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 2, 0)
	f.move("e1", "dc-2")
	r := int64(f.publish(1))
	a, b := f.add("dc-1"), f.add("dc-2")
	f.together()
	waiter.Until(t, "the revision", func() bool { return a.metric(counter.Revision) == r && b.metric(counter.Revision) == r })

	f.platform.SetFaults(platform.Faults{Cut: []string{"dc-2"}})
	f.network.isolate("dc-2")

	served := func(n *node, name string) map[string]bool {
		o := make(map[string]bool)

		for k := range 20 {
			x := n.chat(t.Context(), name+strconv.Itoa(k), 1, k%2 == 0)
			i.Equal(x.outcome(), string(exchanger.Ran))

			o[x.header.Get(exchanger.HeaderTarget)] = true
		}

		return o
	}

	i.Equal(served(a, "a"), map[string]bool{"e0": true})
	i.Equal(served(b, "b"), map[string]bool{"e1": true})

	f.target("late", "engine", f.dead())
	next := int64(f.publish(uint64(r)))
	waiter.Until(t, "the revision", func() bool { return a.metric(counter.Revision) == next })
	i.Equal(b.metric(counter.Revision), r)

	f.platform.SetFaults(platform.Faults{})
	f.network.isolate("")
	f.together()
	waiter.Until(t, "the revision", func() bool { return b.metric(counter.Revision) == next })
	served(a, "c")
	served(b, "d")
}

// The guard against pauses rests on ticks. Had they ended, or never begun, each time
// that runs out would pass for a pause of the router's own, and a target or a home that
// is mute would never be left alone.
func TestARouterThatRunsDoesNotTakeItselfForPaused(t *testing.T) {
	f := newFleet(t, 1, 0)
	n := f.add("dc-1")

	for range 3 {
		waiter.Until(t, "a tick", func() bool { return !n.router.Stalled(time.Now()) })
		time.Sleep(5 * detector.TickEvery)
	}
}

// An operator looks for the hop on which a slow call spent its time. Each step has
// a span in the call's own trace, and targets are told of it.
func TestTraces(t *testing.T) {
	i := is.New(t)

	var (
		m sync.Mutex
		b []byte
	)

	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		x, _ := io.ReadAll(r.Body)

		m.Lock()
		defer m.Unlock()

		b = append(b, x...)
	}))
	defer collector.Close()

	f := newFleet(t, 1, 1)
	n := f.startWith("dc-1", func(r *resolver.Router) {
		r.TraceEndpoint, r.TraceSample = strings.TrimPrefix(collector.URL, "http://"), 1
	})
	waiter.Until(t, "the revision", func() bool { return n.metric(counter.Revision) > 0 })
	i.Equal(n.chat(t.Context(), "q", 2, true).outcome(), string(exchanger.Ran))
	i.Equal(n.do(t.Context(), http.MethodPost, "/book", "k", "").outcome(), string(exchanger.Ran))
	f.stop(n)

	m.Lock()
	defer m.Unlock()

	for _, s := range []string{"call", "accept", "identify", "match", "claim", "attempt", "pick", "ask", "send", "relay"} {
		i.True(bytes.Contains(b, []byte(s)))
	}
}

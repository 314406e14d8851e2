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

// Guards against mixed-up, truncated or duplicated text in resumed streams: engines break
// connections in the middle of answers while 45 callers stream concurrently through three
// routers.
//
// All calls are of one customer, which may use 0.85 of the slots. With four engines these are 54
// slots, so none of the 45 calls is refused, however long the others run.
func TestEveryCallerGetsItsOwnWholeAnswer(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 4, 0)

	for range 3 {
		f.add("dc-1")
	}

	f.awaitMembership()

	for _, e := range f.engines {
		e.SetFaults(engine.Faults{BreakAfter: 7})
	}

	var g sync.WaitGroup

	for n := range 45 {
		g.Go(func() {
			q := "question " + strconv.Itoa(n)
			r := f.instances[n%3].chat(t.Context(), q, 15, true)

			b, complete := streamedText(r.body)
			if r.err != nil || !complete || b != wantAnswer(q, 15) {
				t.Errorf("%s: %v %v %q", q, r.err, complete, r.body)
			}
		})
	}

	g.Wait()

	resumed := int64(0)
	for _, n := range f.instances {
		resumed += n.metric(counter.Resumed)
	}

	i.True(resumed >= 45) // each stream was interrupted at least once
}

// Guards against truncated answers that look complete: a stream breaks after a part was sent
// to the caller and cannot be resumed. The caller must get an error event, no normal end, and
// a closed connection.
func TestABrokenAnswerHasNoNormalEnd(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 1, 0)
	n := f.add("dc-1")

	f.engines[0].SetFaults(engine.Faults{BreakAfter: 3, LoseStreams: true})

	r := n.chat(t.Context(), "q", 10, true)
	_, complete := streamedText(r.body)
	i.True(!complete)
	i.True(r.err != nil)
	i.True(strings.Contains(r.body, string(exchanger.CodeAnswerBroken)))
}

// A router is stopped while it streams an answer. The answer must be completed, and calls that
// arrive after the drain notice are refused as not run.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 2, 0)
	a, b := f.add("dc-1"), f.add("dc-1")
	f.awaitMembership()

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

	x, complete := streamedText(r.body)
	i.NoErr(r.err)
	i.True(complete)
	i.Equal(x, wantAnswer("review", 300))
	i.Equal(b.chat(t.Context(), "next", 2, false).outcome(), string(exchanger.Ran))
}

// Guards against the loss of placements when a home is stopped as planned. It hands them over
// to the next home, so that chats return to the engines with their prompt caches.
func TestStoppedHomeHandsOverItsPlacements(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 4, 0)
	a, b := f.add("dc-1"), f.add("dc-1")
	f.awaitMembership()

	if b.router.IsHome(chatCell()) {
		a, b = b, a
	}

	// While three of the four engines are busy, chats are placed on the fourth. They
	// would not return to it by hashing alone.
	c, end := context.WithCancel(t.Context())

	var g sync.WaitGroup

	for k := range 3 {
		g.Go(func() { b.chat(c, "busy "+strconv.Itoa(k), 2000, true) })
	}

	waiter.Until(t, "the calls in progress", func() bool { return b.metric(counter.InFlight) == 3 })

	placed := make(map[string]string)

	for k := range 12 {
		q := "chat " + strconv.Itoa(k)
		placed[q] = b.chat(t.Context(), q, 1, false).header.Get(exchanger.HeaderTarget)
	}

	end()
	g.Wait()
	waiter.Until(t, "the calls' end", func() bool { return b.metric(counter.InFlight) == 0 })
	f.stop(a)

	for q, p := range placed {
		i.Equal(b.chat(t.Context(), q, 1, false).header.Get(exchanger.HeaderTarget), p)
	}
}

// Calls with one idempotency key arrive at all routers concurrently, as when an app repeats a
// call. The call must run once, and every caller gets the answer of that execution.
func TestABookingRunsOnce(t *testing.T) {
	f := newFleet(t, 0, 2)

	for range 3 {
		f.add("dc-1")
	}

	f.awaitMembership()

	var g sync.WaitGroup

	for k := range 20 {
		for _, n := range f.instances {
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

// bookUntilAnswered repeats a call until it is answered, and checks that it was executed once.
func bookUntilAnswered(t *testing.T, n *instance, key string) {
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

	t.Errorf("%s was not answered after 100 calls", key)
}

// Guards against wrong outcomes: for each failure of the service or the log, the outcome that
// the caller gets must agree with the service's count of executions.
func TestOutcomesAreTrue(t *testing.T) {
	for name, tc := range map[string]struct {
		service service.Faults
		log     platform.Faults
		stopped bool
		key     string
		want    exchanger.Outcome
		runs    int
		repeat  exchanger.Outcome
	}{
		"no failure":                          {key: "k", want: exchanger.Ran, runs: 1, repeat: exchanger.Ran},
		"service fails after it ran the call": {service: service.Faults{Fail: true}, key: "k", want: exchanger.Ran, runs: 1, repeat: exchanger.Ran},
		"answer lost":                         {service: service.Faults{DropConnection: true}, key: "k", want: exchanger.Unknown, runs: 1, repeat: exchanger.Unknown},
		"answer lost, without a key":          {service: service.Faults{DropConnection: true}, want: exchanger.Unknown, runs: 1},
		"service reports not run":             {service: service.Faults{Refuse: true}, key: "k", want: exchanger.NotRun, repeat: exchanger.NotRun},
		"service stopped":                     {stopped: true, key: "k", want: exchanger.NotRun, repeat: exchanger.NotRun},
		"log unavailable":                     {log: platform.Faults{Outage: true}, key: "k", want: exchanger.NotRun, repeat: exchanger.NotRun},
		"log unavailable, without a key":      {log: platform.Faults{Outage: true}, want: exchanger.Ran, runs: 1},
		"log loses replies to appends":        {log: platform.Faults{LoseReplies: 2}, key: "k", want: exchanger.Ran, runs: 1, repeat: exchanger.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFleet(t, 0, 1)

			if tc.stopped {
				f.addTarget("s0", "service", f.unusedAddress())
				f.publish(1)
			}

			n := f.add("dc-1")
			waiter.Until(t, "the revision", func() bool { return !tc.stopped || n.metric(counter.Revision) == 2 })
			f.services[0].SetFaults(tc.service)
			f.platform.SetFaults(tc.log)

			i.Equal(n.do(t.Context(), http.MethodPost, "/book", tc.key, "body").outcome(), string(tc.want))
			i.Equal(f.services[0].Counts()[tc.key], tc.runs)

			if tc.key != "" {
				i.Equal(n.do(t.Context(), http.MethodPost, "/book", tc.key, "body").outcome(), string(tc.repeat))
				i.Equal(f.services[0].Counts()[tc.key], tc.runs) // not run again
			}
		})
	}
}

// Guards against retries by http.Transport. It repeats a request with an Idempotency-Key or
// without a body when a reused connection breaks. The service runs each call and then closes
// the reused connection.
func TestTheTransportRepeatsNothing(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 0, 1)
	n := f.add("dc-1")

	for k := range 5 {
		f.services[0].SetFaults(service.Faults{})
		i.Equal(n.do(t.Context(), http.MethodGet, "/read", "", "").outcome(), string(exchanger.Ran))
		f.services[0].SetFaults(service.Faults{DropConnection: true})

		key := strconv.Itoa(k)
		i.Equal(n.do(t.Context(), http.MethodDelete, "/book", key, "").outcome(), string(exchanger.Unknown))
		i.Equal(f.services[0].Counts()[key], 1)
	}
}

func TestKeyIsBoundToItsBody(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 0, 1)
	n := f.add("dc-1")

	i.Equal(n.do(t.Context(), http.MethodPost, "/book", "k", "one").status, http.StatusOK)
	r := n.do(t.Context(), http.MethodPost, "/book", "k", "two")
	i.Equal(r.status, http.StatusUnprocessableEntity)
	i.Equal(r.outcome(), string(exchanger.NotRun))
	i.Equal(f.services[0].Counts()["k"], 1)
}

// Guards against an outdated configuration in a data centre that cannot reach the platform. Its
// routers must receive a change from their peers, also a router that starts there, and none
// may return to an earlier revision when the log is available again.
func TestAChangeReachesAPartitionedDataCentre(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 1, 0)
	a, b := f.add("dc-1"), f.add("dc-2")
	f.awaitMembership()

	f.platform.SetFaults(platform.Faults{Partitioned: []string{"dc-2"}})
	f.addTarget("late", "engine", f.unusedAddress())
	r := int64(f.publish(1))

	waiter.Until(t, "the revision", func() bool { return a.metric(counter.Revision) == r })
	waiter.Until(t, "the revision", func() bool { return b.metric(counter.Revision) == r })

	c := f.start("dc-2")
	waiter.Until(t, "the revision", func() bool { return c.metric(counter.Revision) == r })

	f.platform.SetFaults(platform.Faults{})
	f.addTarget("later", "engine", f.unusedAddress())

	next := int64(f.publish(uint64(r)))
	for _, n := range f.instances {
		waiter.Until(t, "the revision", func() bool {
			v := n.metric(counter.Revision)
			i.True(v >= r)

			return v == next
		})
	}
}

// A router starts while the platform is unavailable. It must not report ready, as it knows no
// target.
func TestRouterWithoutConfigurationIsNotReady(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 1, 0)
	f.platform.SetFaults(platform.Faults{Outage: true})

	n := f.start("dc-1")
	i.Equal(n.do(t.Context(), http.MethodGet, "/readyz", "", "").status, http.StatusServiceUnavailable)
	i.Equal(n.chat(t.Context(), "q", 1, false).outcome(), string(exchanger.NotRun))

	f.platform.SetFaults(platform.Faults{})
	waiter.Until(t, "readiness", func() bool { return n.do(t.Context(), http.MethodGet, "/readyz", "", "").status == http.StatusOK })
}

// Guards against new calls to a target that is leaving according to one source, while other
// sources still report it as live. The sources are the platform's list, the configuration and
// the target itself.
func TestALeavingTargetGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(f *fleet){
		"platform list": func(f *fleet) {
			f.registerInstance(recorder.Instance{Name: "e0", Role: "target", Incarnation: f.engines[0].Incarnation(), Leaving: true})
		},
		"platform list beside odd entries": func(f *fleet) {
			for n, x := range []string{"10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1", "nobody"} {
				f.registerRaw(fmt.Sprintf(`{"name":"odd-%d","address":%q,"role":"router"}`, n, x))
			}

			f.registerRaw(`{"name":"odd","address":"10.0.0.1:0","role":"router"}`)
			f.registerInstance(recorder.Instance{Name: "e0", Role: "target", Incarnation: f.engines[0].Incarnation(), Leaving: true})
		},
		"configuration": func(f *fleet) {
			x, _ := f.targets["e0"].(map[string]any)
			x["drain"] = true
			f.publish(1)
		},
		"target itself": func(f *fleet) { f.engines[0].Leave() },
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFleet(t, 2, 0)
			n := f.add("dc-1")
			f.add("dc-1")
			f.awaitMembership()
			leave(f)

			k := 0

			waiter.Until(t, "the last call to the leaving target", func() bool {
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

// Guards against calls that occupy a slot after their caller has disconnected.
func TestDisconnectedCallerFreesItsSlot(t *testing.T) {
	f := newFleet(t, 1, 0)
	n := f.add("dc-1")
	c, hangUp := context.WithCancel(t.Context())

	var g sync.WaitGroup

	g.Go(func() { n.chat(c, "q", 2000, true) })
	waiter.Until(t, "the call at the engine", func() bool { return f.engines[0].Running() == 1 })
	hangUp()
	waiter.Until(t, "the cancellation", func() bool { return f.engines[0].Running() == 0 && f.engines[0].Canceled() == 1 })
	g.Wait()
	waiter.Until(t, "the calls' end", func() bool { return n.metric(counter.InFlight) == 0 })
}

func TestInvalidInputIsRefused(t *testing.T) {
	f := newFleet(t, 1, 1)
	n := f.add("dc-1")

	for name, tc := range map[string]struct {
		path, header, value, body string
		status                    int
		code                      exchanger.Code
	}{
		"invalid JSON":            {"/v1/chat/completions", "", "", "{", 400, exchanger.CodeBadRequest},
		"no messages":             {"/v1/chat/completions", "", "", "{}", 400, exchanger.CodeBadRequest},
		"missing customer":        {"/book", exchanger.HeaderCustomer, "", "", 400, exchanger.CodeNoCustomer},
		"unknown customer":        {"/book", exchanger.HeaderCustomer, "who", "", 403, exchanger.CodeNoCustomer},
		"invalid deadline":        {"/book", exchanger.HeaderDeadline, "soon", "", 400, exchanger.CodeBadRequest},
		"negative deadline":       {"/book", exchanger.HeaderDeadline, "-1s", "", 400, exchanger.CodeBadRequest},
		"key too long":            {"/book", exchanger.HeaderKey, strings.Repeat("k", 300), "", 400, exchanger.CodeBadRequest},
		"body too large":          {"/book", "", "", strings.Repeat("x", 9<<20), 413, exchanger.CodeTooLarge},
		"invalid placement token": {"/v1/chat/completions", exchanger.HeaderPlacement, "\x7f~", `{"messages":[]}`, 400, exchanger.CodeBadRequest},
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
				return // net/http rejects the header before sending
			}

			i.NoErr(err)
			i.Equal(r.StatusCode, tc.status)
			i.Equal(r.Header.Get(exchanger.HeaderOutcome), string(exchanger.NotRun))
			i.NoErr(r.Body.Close())
		})
	}
}

// chatCell returns the ID of the cell that the fleet's engines belong to.
func chatCell() uint32 { return hasher.Name("chats/r/0") }

// Guards against lost calls when the home of a cell disappears, as when its host crashes. The
// other routers detect this by a failed request and send their requests to the next home.
func TestALostHomeLosesNoCall(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 3, 0)

	for range 3 {
		f.add("dc-1")
	}

	f.awaitMembership()
	i.Equal(f.instances[0].chat(t.Context(), "q", 1, false).outcome(), string(exchanger.Ran))

	home := 0

	for k, n := range f.instances {
		if n.router.IsHome(chatCell()) {
			home = k
		}
	}

	f.instances[home].router.Disconnect()

	for k := range 30 {
		n := f.instances[(home+1+k%2)%3]
		i.Equal(n.chat(t.Context(), "q"+strconv.Itoa(k), 1, false).outcome(), string(exchanger.Ran))
	}
}

// Guards against failed calls during a network partition: a data centre is partitioned from the
// other one and from the platform. Each side must continue to serve with its own engine and its
// current configuration. A change made meanwhile is applied when the partition ends, and no
// router returns to an earlier revision.
func TestAPartitionedDataCentreContinuesToServe(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 2, 0)
	f.moveTarget("e1", "dc-2")
	r := int64(f.publish(1))
	a, b := f.add("dc-1"), f.add("dc-2")
	f.awaitMembership()
	waiter.Until(t, "the revision", func() bool { return a.metric(counter.Revision) == r && b.metric(counter.Revision) == r })

	f.platform.SetFaults(platform.Faults{Partitioned: []string{"dc-2"}})
	f.network.isolate("dc-2")

	served := func(n *instance, name string) map[string]bool {
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

	f.addTarget("late", "engine", f.unusedAddress())
	next := int64(f.publish(uint64(r)))
	waiter.Until(t, "the revision", func() bool { return a.metric(counter.Revision) == next })
	i.Equal(b.metric(counter.Revision), r)

	f.platform.SetFaults(platform.Faults{})
	f.network.isolate("")
	f.awaitMembership()
	waiter.Until(t, "the revision", func() bool { return b.metric(counter.Revision) == next })
	served(a, "c")
	served(b, "d")
}

// Guards against a stall detector whose ticks do not run. Every time-out would then be
// attributed to a stall of the router, and unresponsive targets and homes would never be
// excluded.
func TestRunningRouterReportsNoStall(t *testing.T) {
	f := newFleet(t, 1, 0)
	n := f.add("dc-1")

	for range 3 {
		waiter.Until(t, "a tick", func() bool { return !n.router.Stalled(time.Now()) })
		time.Sleep(5 * detector.TickInterval)
	}
}

// Each filter must have a span in the trace of the call, so that operators can see where a slow
// call spent its time.
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

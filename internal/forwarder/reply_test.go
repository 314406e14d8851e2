package forwarder_test

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// answerWith returns an answer function with the given status, body and headers.
func answerWith(status, body string, headers ...string) func(n net.Conn, s received) {
	return func(n net.Conn, s received) {
		reply(n, s, status, body, append(headers, "Seal: "+s.target)...)
	}
}

// Guards against a target that receives more calls after it announced its shutdown in an answer of
// any kind.
func TestLeavingTargetReceivesNoCalls(t *testing.T) {
	const leaving = "Leaving: 1"

	for name, x := range map[string]struct {
		answer func(n net.Conn, s received)
		path   string
		// accepts is set if the target does not announce its shutdown, or the answer is not the
		// target's own.
		accepts bool
	}{
		"served":                        {answer: answerWith("200 OK", "x", leaving), path: "/once/"},
		"served on a pooled connection": {answer: answerWith("200 OK", "x", leaving), path: "/idempotent/"},
		"failed":                        {answer: answerWith("500 Internal Server Error", "x", leaving), path: "/once/"},
		"failed and retried":            {answer: answerWith("500 Internal Server Error", "x", leaving), path: "/idempotent/"},
		"refused, not run":              {answer: answerWith("503 Service Unavailable", "", leaving, "Not-Run: 1"), path: "/once/"},
		"refused, may have run":         {answer: answerWith("503 Service Unavailable", "", leaving), path: "/once/"},
		"deadline exceeded":             {answer: answerWith("504 Gateway Timeout", "", leaving), path: "/once/"},
		"failed stream":                 {answer: answerWith("500 Internal Server Error", "", leaving), path: "/stream/"},
		"answer to another call": {answer: func(n net.Conn, _ received) {
			_, _ = n.Write([]byte("HTTP/1.1 200 OK\r\nId: other\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"))
		}, path: "/idempotent/"},
		"broken answer": {answer: func(n net.Conn, _ received) {
			_, _ = n.Write([]byte("HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: 1\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\n12"))
			reset(n)
		}, path: "/idempotent/"},
		"misdirected":     {answer: answerWith("421 Misdirected Request", "", leaving, "Not-Run: 1"), path: "/once/", accepts: true},
		"no announcement": {answer: answerOK, path: "/once/", accepts: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			g := newGateway(t, &target{answer: x.answer}, &target{answer: answerOK})

			var notified []discoverer.Process

			g.forwarder.OnLeaving(func(p discoverer.Process) { notified = append(notified, p) })
			g.call(t, http.MethodGet, x.path, "")

			r := g.state.Registry()
			i.Equal(r.Known["t0"].Leaving, !x.accepts)
			i.Equal(r.AcceptsCalls(r.Known["t0"]), x.accepts)
			i.True(r.AcceptsCalls(r.Known["t1"]))

			if x.accepts {
				i.Equal(len(notified), 0)

				return
			}

			i.Equal(notified, []discoverer.Process{r.Known["t0"].Process()})

			// The list does not yet show that the target is shutting down.
			g.setTargets(*r.Known["t0"])

			for range 3 {
				i.Equal(g.call(t, http.MethodGet, "/idempotent/", "").body, "from t1")
			}

			i.Equal(len(notified), 1)
		})
	}
}

// Guards against a shutdown announced in the headers of a stream that is processed only when the
// stream has ended.
func TestLeavingIsReadFromStreamHeaders(t *testing.T) {
	i := is.New(t)
	release := make(chan struct{})
	g := newGateway(t, &target{answer: func(n net.Conn, _ received) {
		_, _ = n.Write([]byte("HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: t0\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
		<-release
		chunk(n, event(1))
		finishStream(n)
	}}, &target{answer: answerOK})

	o := make(chan answer, 1)

	go func() { o <- g.call(t, http.MethodGet, "/stream/", "") }()

	waitFor(t, func() bool { return g.state.Registry().Known["t0"].Leaving })
	i.Equal(g.call(t, http.MethodGet, "/once/", "").body, "from t1")

	// The call in flight continues to its end.
	close(release)

	a := <-o
	i.Equal(a.status, http.StatusOK)
	i.Equal(a.body, event(1))
}

func waitFor(t *testing.T, f func() bool) {
	t.Helper()

	for b := time.Now(); !f(); time.Sleep(time.Millisecond) {
		if time.Since(b) > time.Second {
			t.Fatal("condition not met within 1 s")
		}
	}
}

// Guards against calls that wait until their deadline when all targets that could serve them are
// shutting down, and against a second attempt at a target that has just announced its shutdown.
func TestAllTargetsLeaving(t *testing.T) {
	i := is.New(t)
	w := answerWith("503 Service Unavailable", "", "Leaving: 1", "Not-Run: 1")
	a, b := &target{answer: w}, &target{answer: w}
	g := newGateway(t, a, b)

	for range 4 {
		n := time.Now()
		o := g.call(t, http.MethodGet, "/idempotent/", "")
		i.Equal(o.status, http.StatusServiceUnavailable)
		i.True(o.header.Get("Retry-After") != "")
		i.True(time.Since(n) < 500*time.Millisecond)
	}

	i.Equal(a.count(), 1)
	i.Equal(b.count(), 1)
}

// Guards against an instance that sends calls to a target after another instance reported its
// shutdown, and against notifications that are sent on and circulate.
func TestLeavingReportedByAnotherInstance(t *testing.T) {
	i := is.New(t)
	g := newGateway(t, &target{answer: answerOK}, &target{answer: answerOK})

	var notified []discoverer.Process

	g.forwarder.OnLeaving(func(p discoverer.Process) { notified = append(notified, p) })

	x := g.state.Registry().Known["t0"].Process()
	g.forwarder.MarkLeaving([]discoverer.Process{x, x, {ID: "unknown"}})
	i.Equal(g.call(t, http.MethodGet, "/once/", "").body, "from t1")

	// The target restarts, and the new process has not announced a shutdown.
	g.setTargets(g.restarted("t0"))
	i.Equal(g.call(t, http.MethodGet, "/once/", "").body, "from t0")
	i.Equal(len(notified), 0)
}

// Guards against a target that receives calls during the backoff that it requested when it refused
// one, and against a backoff that was not requested.
func TestTargetBackoff(t *testing.T) {
	// refusal returns the answer with a status, a backoff and further headers.
	refusal := func(status string, headers ...string) func(backoff time.Duration) func(n net.Conn, s received) {
		return func(d time.Duration) func(n net.Conn, s received) {
			return answerWith(status, "", slices.Clip(append(headers, "Rest-Ms: "+strconv.FormatInt(d.Milliseconds(), 10)))...)
		}
	}

	for name, x := range map[string]struct {
		answer func(backoff time.Duration) func(n net.Conn, s received)
		path   string
		// accepts is set if no backoff was requested.
		accepts bool
	}{
		"non-idempotent call":  {answer: refusal("503 Service Unavailable", "Not-Run: 1"), path: "/once/"},
		"idempotent call":      {answer: refusal("503 Service Unavailable", "Not-Run: 1"), path: "/no-objective/"},
		"stream":               {answer: refusal("503 Service Unavailable", "Not-Run: 1"), path: "/stream/"},
		"may have run":         {answer: refusal("503 Service Unavailable"), path: "/once/"},
		"stream, may have run": {answer: refusal("503 Service Unavailable"), path: "/stream/"},
		"refused without a backoff": {answer: func(time.Duration) func(n net.Conn, s received) {
			return answerWith("503 Service Unavailable", "", "Not-Run: 1")
		}, path: "/once/", accepts: true},
		"misdirected": {answer: refusal("421 Misdirected Request", "Not-Run: 1"), path: "/once/", accepts: true},
	} {
		t.Run(name, func(t *testing.T) {
			if x.accepts {
				checkNoBackoff(t, x.answer(time.Minute), x.path)

				return
			}

			// On a busy machine the backoff may end before all calls have been made. The check is
			// then repeated with a longer one.
			d := 400 * time.Millisecond
			for !checkBackoff(t, x.answer(d), x.path, d) {
				if d *= 2; d > 20*time.Second {
					t.Fatal("five calls did not end within the longest backoff")
				}
			}
		})
	}
}

// checkNoBackoff checks that a target with the given answer receives the next call.
func checkNoBackoff(t *testing.T, x func(n net.Conn, s received), path string) {
	t.Helper()

	i := is.New(t)
	a := &target{answer: x}
	g := newGatewayWithDialer(t, &unboundedDialer{}, a, &target{answer: answerOK})
	g.call(t, http.MethodGet, path, "")
	i.Equal(a.count(), 1)

	// Other exclusions end when the target moves to another address; a backoff would not.
	c := &target{id: "t0", answer: answerOK}
	y := *g.state.Registry().Known["t0"]
	y.Address = c.listen(t)
	g.setTargets(y)
	time.Sleep(110 * time.Millisecond)
	i.Equal(g.call(t, http.MethodGet, "/once/", "").body, "from t0")
}

// checkBackoff checks that a target that requests a backoff receives no call until the backoff has
// ended, and receives the first one after it. It reports whether at least five calls were made within
// the backoff.
func checkBackoff(t *testing.T, x func(n net.Conn, s received), path string, backoff time.Duration) bool {
	t.Helper()

	i := is.New(t)
	a := &target{answer: x}
	g := newGatewayWithDialer(t, &unboundedDialer{}, a, &target{answer: answerOK})
	g.call(t, http.MethodGet, path, "")

	// The backoff begins after the call arrived at t0 and before the caller got the answer.
	latestEnd := time.Now().Add(backoff)

	i.Equal(a.count(), 1)

	earliestEnd := a.arrivals()[0].Add(backoff)
	l := g.excluded()

	served := 0

	for time.Now().Before(earliestEnd) {
		i.Equal(l, []string{"t0"})

		o := g.call(t, http.MethodGet, "/no-objective/", "")
		if !time.Now().Before(earliestEnd) {
			break
		}

		i.Equal(o.body, "from t1")
		i.Equal(a.count(), 1)

		served++

		time.Sleep(backoff / 16)
	}

	// After the backoff calls are sent to t0 again, as it is nearer. The last call of the loop may
	// have been such a call.
	if a.count() == 1 {
		time.Sleep(time.Until(latestEnd) + 10*time.Millisecond)
		g.call(t, http.MethodGet, "/no-objective/", "")
	}

	r := a.arrivals()
	i.Equal(len(r), 2)
	i.True(r[1].Sub(r[0]) >= backoff)

	return served >= 5
}

// Guards against attributing a load report to a target when another process, which now has its
// address, sent it.
func TestMisdirectedReplyDoesNotReportLoad(t *testing.T) {
	i := is.New(t)
	g := newGateway(t, &target{answer: answerWith("421 Misdirected Request", "", "Not-Run: 1", "Running: 50")}, &target{answer: answerOK})
	g.call(t, http.MethodGet, "/once/", "")

	for _, v := range g.forwarder.TargetStates() {
		i.Equal(v.Load, 0.0)
	}
}

// Guards against a Retry-After that lasts until the end of one target's backoff although another
// target may serve the call earlier.
func TestOneTargetBacksOff(t *testing.T) {
	i := is.New(t)
	a := &target{answer: answerWith("503 Service Unavailable", "", "Rest-Ms: 5000", "Not-Run: 1")}
	b := &target{answer: answerWith("503 Service Unavailable", "", "Not-Run: 1")}
	g := newGateway(t, a, b)

	for range 3 {
		o := g.call(t, http.MethodGet, "/idempotent/", "")
		i.Equal(o.status, http.StatusServiceUnavailable)

		w, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
		i.NoErr(err)
		i.True(w < 1)
	}

	i.Equal(a.count(), 1)
	i.Equal(b.count(), 3)
}

// Guards against calls that wait, or are sent nevertheless, when all targets that could serve them
// have requested a backoff, and against a Retry-After before the first backoff ends.
func TestAllTargetsBackOff(t *testing.T) {
	i := is.New(t)
	a := &target{answer: answerWith("503 Service Unavailable", "", "Rest-Ms: 2000", "Not-Run: 1")}
	b := &target{answer: answerWith("503 Service Unavailable", "", "Rest-Ms: 1000", "Not-Run: 1")}
	g := newGateway(t, a, b)

	end := time.Now().Add(time.Second)

	for range 5 {
		n := time.Now()
		o := g.call(t, http.MethodGet, "/idempotent/", "")
		i.Equal(o.status, http.StatusServiceUnavailable)
		i.True(time.Since(n) < 200*time.Millisecond)

		w, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
		i.NoErr(err)

		retryAt := n.Add(time.Duration(w * float64(time.Second)))
		i.True(retryAt.After(end.Add(-50 * time.Millisecond)))
		i.True(retryAt.Before(end.Add(time.Second)))
	}

	i.Equal(a.count(), 1)
	i.Equal(b.count(), 1)
}

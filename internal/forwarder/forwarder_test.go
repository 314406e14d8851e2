package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/standin/porter"
)

func TestForwardedRequest(t *testing.T) {
	is := is.New(t)
	x := &target{answer: answerOK}
	g := newGateway(t, x)

	a := g.call(t, http.MethodPost, "/once/a%2Fb/?q=1&r=%20", "the body",
		"Incarnation", "forged", "Customer", "forged", "Own", "kept", "Connection", "Gone", "Gone", "1")
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "from t0")
	is.Equal(a.header.Get("Seal"), "t0")

	s := x.calls[0]
	is.Equal(s.path, "/once/a%2Fb/?q=1&r=%20")
	is.Equal(s.body, "the body")
	is.Equal(s.header.Get("Key"), "")
	is.Equal(s.header.Get("Customer"), "customer-1")
	is.Equal(s.header.Get("Incarnation"), "t0")
	is.Equal(s.header.Get("Own"), "kept")
	is.Equal(s.header.Get("Gone"), "")

	n, err := strconv.Atoi(s.header.Get("Left-Ms"))
	is.NoErr(err)
	is.True(n > 0 && n <= 1000)
}

func TestRefusals(t *testing.T) {
	for name, x := range map[string]struct {
		path, body string
		headers    []string
		change     func(f *clusterState)
		status     int
		retryAfter bool
	}{
		"no rule":                    {path: "/none/", status: http.StatusNotFound},
		"no key":                     {path: "/once/", headers: []string{"Key", ""}, status: http.StatusUnauthorized},
		"unknown key":                {path: "/once/", headers: []string{"Key", "other"}, status: http.StatusUnauthorized},
		"public rule without key":    {path: "/public/", headers: []string{"Key", ""}, status: http.StatusOK},
		"body above the limit":       {path: "/once/", body: strings.Repeat("x", 1001), status: http.StatusRequestEntityTooLarge},
		"headers above the limit":    {path: "/once/", headers: []string{"More", strings.Repeat("x", 900)}, status: http.StatusRequestHeaderFieldsTooLarge},
		"headers below the limit":    {path: "/once/", headers: []string{"More", strings.Repeat("x", 700)}, status: http.StatusOK},
		"no catalog":                 {path: "/once/", change: func(f *clusterState) { f.catalog = nil }, status: http.StatusServiceUnavailable, retryAfter: true},
		"no target":                  {path: "/once/", change: func(f *clusterState) { f.registry.Groups = nil }, status: http.StatusServiceUnavailable, retryAfter: true},
		"stale catalog, no rule":     {path: "/none/", change: func(f *clusterState) { f.stale = true }, status: http.StatusServiceUnavailable, retryAfter: true},
		"stale catalog, unknown key": {path: "/once/", headers: []string{"Key", "new"}, change: func(f *clusterState) { f.stale = true }, status: http.StatusServiceUnavailable, retryAfter: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &target{answer: answerOK}
			g := newGateway(t, o)

			if x.change != nil {
				x.change(g.state)
			}

			b := time.Now()
			a := g.call(t, http.MethodPost, x.path, x.body, x.headers...)
			is.Equal(a.status, x.status)
			is.Equal(a.header.Get("Retry-After") != "", x.retryAfter)
			is.True(time.Since(b) < 500*time.Millisecond) // Immediately, not near the deadline.

			if x.status != http.StatusOK {
				is.Equal(o.count(), 0)
				is.Equal(a.header.Get("Seal"), "")
			}
		})
	}
}

// Guards against callers that are refused together and all retry at the same moment.
func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	g := newGateway(t, &target{answer: answerOK})
	g.state.registry.Groups = nil

	waits := map[string]bool{}

	for range 20 {
		w := g.call(t, http.MethodPost, "/once/", "x").header.Get("Retry-After")
		waits[w] = true

		f, err := strconv.ParseFloat(w, 64)
		is.NoErr(err)
		is.True(f >= 0.18 && f <= 0.32)
	}

	is.True(len(waits) > 5)
}

// faults returns answer functions of faulty targets, by name of the fault.
func faults() map[string]func(n net.Conn, s received) {
	return map[string]func(n net.Conn, s received){
		"ok":            answerOK,
		"notRun":        func(n net.Conn, s received) { reply(n, s, "503 Full", "", "Not-Run: 1") },
		"misdirected":   func(n net.Conn, s received) { reply(n, s, "421 Other", "", "Not-Run: 1") },
		"error":         func(n net.Conn, s received) { reply(n, s, "500 Failed", "own error", "Seal: "+s.target) },
		"impliesNotRun": func(n net.Conn, s received) { reply(n, s, "503 Failed", "ran", "Seal: "+s.target) },
		"noProof":       func(n net.Conn, s received) { reply(n, s, "200 OK", "forged") },
		"reset":         func(n net.Conn, _ received) { reset(n) },
		"closed":        func(n net.Conn, _ received) { _ = n.Close() },
		"short": func(n net.Conn, _ received) {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: x\r\nContent-Length: 100\r\n\r\nshort")
			reset(n)
		},
		"garbage": func(n net.Conn, _ received) { _, _ = io.WriteString(n, "not HTTP\r\n\r\n"); _ = n.Close() },
		"otherCall": func(n net.Conn, _ received) {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-0\r\nSeal: x\r\nContent-Length: 6\r\n\r\nothers")
		},
		"unframed": func(n net.Conn, s received) {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: "+s.target+"\r\n\r\nfrom "+s.target)
			_ = n.Close()
		},
		"unframedReset": func(n net.Conn, _ received) {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: x\r\n\r\nfro")
			time.Sleep(20 * time.Millisecond)
			reset(n)
		},
	}
}

// Guards against answers that are incomplete or belong to another caller but appear valid, against
// a call that must run once reaching a second target before the first one stated that it did not
// run it, and against a call that may have run being refused as not run.
func TestTargetFaults(t *testing.T) {
	type want struct {
		status int
		body   string
		calls  int
	}

	for name, x := range map[string]struct{ once, idempotent want }{
		"ok":            {want{200, "from t0", 1}, want{200, "from t0", 1}},
		"notRun":        {want{200, "from t1", 2}, want{200, "from t1", 2}},
		"misdirected":   {want{200, "from t1", 2}, want{200, "from t1", 2}},
		"error":         {want{500, "own error", 1}, want{200, "from t1", 2}},
		"impliesNotRun": {want{502, "", 1}, want{200, "from t1", 2}},
		"noProof":       {want{502, "", 1}, want{200, "from t1", 2}},
		"reset":         {want{502, "", 1}, want{200, "from t1", 2}},
		"closed":        {want{502, "", 1}, want{200, "from t1", 2}},
		"short":         {want{502, "", 1}, want{200, "from t1", 2}},
		"garbage":       {want{502, "", 1}, want{200, "from t1", 2}},
		"otherCall":     {want{502, "", 1}, want{200, "from t1", 2}},
		"unframed":      {want{200, "from t0", 1}, want{200, "from t0", 1}},
		"unframedReset": {want{502, "", 1}, want{200, "from t1", 2}},
	} {
		for path, w := range map[string]want{"/once/": x.once, "/idempotent/": x.idempotent} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				a, b := &target{answer: faults()[name]}, &target{answer: answerOK}
				g := newGateway(t, a, b)

				// HTTP libraries resend a call with this method, which has no body, by themselves.
				o := g.call(t, http.MethodGet, path, "")
				is.NoErr(o.err)
				is.Equal(o.status, w.status)
				is.Equal(a.count()+b.count(), w.calls)

				if w.body != "" {
					is.Equal(o.body, w.body)
				} else {
					is.Equal(o.header.Get("Seal"), "")
				}
			})
		}
	}
}

// Guards against a call that runs twice: the target closes a pooled connection just as the next
// call is sent on it, and the HTTP library resends the call.
func TestPooledConnectionNeverRepeatsCall(t *testing.T) {
	for name, x := range map[string]struct {
		path  string
		calls int
	}{
		"once":       {"/once/", 1},
		"stream":     {"/stream/", 1},
		"idempotent": {"/idempotent/", 2}, // The rule allows two attempts.
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := 0
			a := &target{}
			a.answer = func(c net.Conn, s received) {
				if n++; n == 1 {
					answerOK(c, s)

					return
				}

				reset(c)
			}
			g := newGateway(t, a)

			is.Equal(g.call(t, http.MethodGet, "/idempotent/", "").status, http.StatusOK)
			is.Equal(g.call(t, http.MethodGet, x.path, "").status, http.StatusBadGateway)
			is.True(a.count()-1 <= x.calls)
		})
	}
}

// Guards against engines that continue to work on a call after its caller has disconnected.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	for _, path := range []string{"/once/", "/idempotent/", "/stream/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan received, 2)
			a := &target{answer: func(_ net.Conn, s received) {
				arrived <- s
				<-s.closed
			}}
			g := newGateway(t, a)
			c, cancel := context.WithCancel(t.Context())

			go func() {
				s := <-arrived
				arrived <- s

				cancel()
			}()

			g.callWith(t, c, http.MethodPost, path, "x")

			s := <-arrived

			select {
			case <-s.closed:
			case <-time.After(500 * time.Millisecond):
				is.Fail()
			}

			is.Equal(a.count(), 1)
		})
	}
}

// Guards against a call that outlasts its rule's limit because the caller's own deadline is later
// and the target does not answer.
func TestRuleLimitsCallDuration(t *testing.T) {
	for path, status := range map[string]int{"/once/": http.StatusGatewayTimeout, "/stream/": http.StatusGatewayTimeout} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			a := &target{answer: func(_ net.Conn, s received) { <-s.closed }}
			g := newGateway(t, a)
			b := time.Now()

			is.Equal(g.call(t, http.MethodPost, path, "x", "Patience-Ms", "5000").status, status)
			is.True(time.Since(b) >= 900*time.Millisecond && time.Since(b) < 1400*time.Millisecond)
		})
	}
}

// Guards against an unreachable target that uses up the attempt of a call that must run once,
// although nothing was sent.
func TestUnreachableTargetDoesNotCountAsAttempt(t *testing.T) {
	is := is.New(t)
	a, b := &target{answer: answerOK}, &target{answer: answerOK}
	g := newGateway(t, a, b)
	g.state.registry.Known["t0"].Address = porter.Free(t)

	o := g.call(t, http.MethodPost, "/once/", "x")
	is.Equal(o.status, http.StatusOK)
	is.Equal(o.body, "from t1")

	// With no target reachable, the refusal states that the call did not run and when to retry, and
	// is sent at once.
	g.state.registry.Known["t1"].Address = porter.Free(t)

	s := time.Now()
	o = g.call(t, http.MethodPost, "/public/", "x")
	is.Equal(o.status, http.StatusServiceUnavailable)
	is.True(o.header.Get("Retry-After") != "")
	is.True(time.Since(s) < 700*time.Millisecond)
}

// Guards against a repeatable call that waits for an unresponsive target until its deadline.
func TestUnresponsiveTargetIsAbandoned(t *testing.T) {
	is := is.New(t)
	a := &target{answer: func(_ net.Conn, s received) { <-s.closed }}
	b := &target{answer: answerOK}
	g := newGateway(t, a, b)

	s := time.Now()
	o := g.call(t, http.MethodGet, "/idempotent/", "")
	is.Equal(o.body, "from t1")
	is.True(time.Since(s) < 400*time.Millisecond)
}

// muteDialer is a dialer whose connections to the given address time out.
type muteDialer struct {
	net.Dialer

	mute atomic.Value
}

func (d *muteDialer) DialContext(c context.Context, network, address string) (net.Conn, error) {
	if a, _ := d.mute.Load().(string); a == address {
		<-c.Done()

		return nil, c.Err()
	}

	return d.Dialer.DialContext(c, network, address)
}

// Guards against a stalled instance that considers all targets unreachable: during a stall of several
// seconds every pending dial times out, and the few remaining targets would receive all calls.
func TestStallDoesNotExcludeTargets(t *testing.T) {
	for name, x := range map[string]struct {
		stalled bool
		next    string
	}{
		"unresponsive target": {next: "from t1"},
		"stalled process":     {stalled: true, next: "from t0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &muteDialer{}
			g := newGatewayWithDialer(t, d, &target{answer: answerOK}, &target{answer: answerOK})
			g.state.stalled = x.stalled

			d.mute.Store(g.state.registry.Known["t0"].Address.String())
			is.Equal(g.call(t, http.MethodPost, "/once/", "x").body, "from t1")

			d.mute.Store("")
			is.Equal(g.call(t, http.MethodPost, "/once/", "x").body, x.next)
		})
	}
}

// Guards against callers that keep using an instance whose data centre is cut off. The instance
// must report that it is cut off, answer with "Connection: close", and detect the end of the
// partition by itself, since no more calls arrive.
func TestCutOffInstanceClosesConnections(t *testing.T) {
	is := is.New(t)
	d := &muteDialer{}
	g := newGatewayWithDialer(t, d, &target{answer: answerOK}, &target{answer: answerOK}, &target{answer: answerOK})

	for _, k := range g.state.registry.Known {
		k.Address = porter.Refusing(t)
	}

	live := (&target{answer: answerOK}).listen(t)

	is.True(!g.forwarder.CutOff())

	for range 100 {
		is.Equal(g.call(t, http.MethodPost, "/public/", "x").status, http.StatusServiceUnavailable)
		g.forwarder.CheckConnectivity(t.Context())

		if g.forwarder.CutOff() {
			break
		}

		time.Sleep(20 * time.Millisecond)
	}

	is.True(g.forwarder.CutOff())

	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.URL+"/public/", strings.NewReader("x"))
	is.NoErr(err)

	q.Host = "app.example"
	a, err := (&http.Transport{}).RoundTrip(q)
	is.NoErr(err)
	is.NoErr(a.Body.Close())
	is.True(a.Close)

	for _, k := range g.state.registry.Known {
		k.Address = live
	}

	g.forwarder.CheckConnectivity(t.Context()) // Connects to the targets.
	g.forwarder.CheckConnectivity(t.Context()) // Finds that they are reachable.
	is.True(!g.forwarder.CutOff())
}

// Guards against abandoning a slow target when the call can't be sent to another, since the retry
// budget is exhausted or there is no other target: the caller would get an error instead of an
// answer that was almost complete.
func TestSlowTargetIsAbandonedOnlyForAnother(t *testing.T) {
	slow := func(n net.Conn, s received) {
		time.Sleep(250 * time.Millisecond)
		answerOK(n, s)
	}

	for name, x := range map[string]struct {
		targets        []*target
		otherInstances int
		want           string
	}{
		"another target and retry budget": {targets: []*target{{answer: slow}, {answer: answerOK}}, want: "from t1"},
		"no retry budget":                 {targets: []*target{{answer: slow}, {answer: answerOK}}, otherInstances: 1 << 20, want: "from t0"},
		"no other target":                 {targets: []*target{{answer: slow}}, want: "from t0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGateway(t, x.targets...)
			g.state.otherInstances = x.otherInstances

			a := g.call(t, http.MethodGet, "/idempotent/", "")
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, x.want)
		})
	}
}

package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/delegator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/negotiator"
)

const token = "the token"

// refusingDialer is the dialer of an instance that has lost its links to the targets.
type refusingDialer struct{}

func (refusingDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// delegates are the other instances as an instance knows them.
type delegates struct {
	mu sync.Mutex
	// list holds the addresses of the instances, in the order in which they are tried.
	list []netip.AddrPort
	// token is sent with the calls.
	token string
	// results are what the instances did, and running the calls there.
	results []negotiator.Result
	running int
}

func (d *delegates) Ensure(context.Context, string) bool { return d.Available("") }
func (d *delegates) Refresh(context.Context, []string)   {}
func (d *delegates) Authorized(s string) bool            { return s == token }
func (d *delegates) Available(string) bool               { return len(d.list) > 0 }
func (d *delegates) Finish(_ uint64, _ string, r negotiator.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.results = append(d.results, r)
	d.running--
}

func (d *delegates) Acquire(q delegator.Query) (delegator.Delegate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if len(q.Tried) >= len(d.list) {
		return delegator.Delegate{}, false
	}

	d.running++

	return delegator.Delegate{ID: uint64(len(q.Tried) + 1), Address: d.list[len(q.Tried)], Token: d.token}, true
}

// add adds the server of an instance.
func (d *delegates) add(s *httptest.Server) {
	d.list = append(d.list, netip.MustParseAddrPort(s.Listener.Addr().String()))
}

// newDelegate starts an instance that accepts calls of others.
func newDelegate(t *testing.T, f *clusterState, d forwarder.Dialer) (*forwarder.Forwarder, *httptest.Server) {
	t.Helper()

	x := newForwarder(t, f, d)
	x.SetDelegates(&delegates{})

	s := httptest.NewServer(http.HandlerFunc(x.ServeDelegated))
	t.Cleanup(s.Close)

	return x, s
}

// newDelegatingGateway starts a gateway without links to the targets, and an instance with links, through which it sends
// its calls.
func newDelegatingGateway(t *testing.T, l ...*target) (*gateway, *delegates, *forwarder.Forwarder) {
	t.Helper()

	g := newGatewayWithDialer(t, refusingDialer{}, l...)
	x, s := newDelegate(t, g.state, &net.Dialer{})
	d := &delegates{token: token}
	d.add(s)
	g.forwarder.SetDelegates(d)

	return g, d, x
}

// Guards against a call that is answered otherwise, or runs more often, when it is sent through another instance: what a
// target's fault means for the call must not depend on the route.
func TestDelegatedCallsEndLikeDirectOnes(t *testing.T) {
	bodies := map[string]func(n net.Conn, s received){
		"events": answerEvents(5),
		"cut": func(n net.Conn, s received) {
			beginStream(n, s)
			chunk(n, event(1)+event(2)[:5])
			time.Sleep(20 * time.Millisecond)
			reset(n)
		},
		"missing event":  func(n net.Conn, s received) { beginStream(n, s); chunk(n, event(1)+event(3)); finishStream(n) },
		"never answers":  func(_ net.Conn, s received) { <-s.closed },
		"rejects":        func(n net.Conn, s received) { reply(n, s, "503 Full", "", "Not-Run: 1", "Rest-Ms: 500") },
		"announces exit": func(n net.Conn, s received) { reply(n, s, "200 OK", "leaving", "Seal: "+s.target, "Leaving: 1") },
	}
	for n, f := range faults() {
		bodies[n] = f
	}

	for name, f := range bodies {
		for _, path := range []string{"/once/", "/idempotent/", "/stream/", "/resumable/"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)

				second := answerOK
				if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resumable") {
					second = answerEvents(5)
				}

				a, b := &target{answer: f}, &target{answer: second}
				direct := newGateway(t, a, b).call(t, http.MethodPost, path+"a%2Fb?q=1", "the body", "Patience-Ms", "700")
				calls := []int{a.count(), b.count()}

				c, d := &target{answer: f}, &target{answer: second}
				g, l, _ := newDelegatingGateway(t, c, d)
				delegated := g.call(t, http.MethodPost, path+"a%2Fb?q=1", "the body", "Patience-Ms", "700")

				is.Equal(delegated.status, direct.status)
				is.Equal(delegated.body, direct.body)
				is.Equal(delegated.err == nil, direct.err == nil)
				is.Equal(delegated.header.Get("Seal"), direct.header.Get("Seal"))
				is.Equal(delegated.header.Get("Content-Length"), direct.header.Get("Content-Length"))
				is.Equal(delegated.header.Get("Retry-After") != "", direct.header.Get("Retry-After") != "")
				is.Equal([]int{c.count(), d.count()}, calls)

				for n := range delegated.header {
					is.True(!strings.HasPrefix(n, "Delegation-"))
				}

				l.mu.Lock()
				defer l.mu.Unlock()

				is.Equal(l.running, 0)
			})
		}
	}
}

// Guards against headers of the route between instances that reach a target, and against a changed request or a time left
// that ends after the caller's.
func TestDelegatedRequestIsUnchanged(t *testing.T) {
	is := is.New(t)
	a := &target{answer: answerOK}
	g, _, _ := newDelegatingGateway(t, a)

	is.Equal(g.call(t, http.MethodPost, "/once/a%2Fb/?q=1&r=%20", "the body", "Own", "kept", "Delegation-Target", "t9").status, http.StatusOK)

	s := a.calls[0]
	is.Equal(s.path, "/once/a%2Fb/?q=1&r=%20")
	is.Equal(s.body, "the body")
	is.Equal(s.header.Get("Key"), "")
	is.Equal(s.header.Get("Customer"), "customer-1")
	is.Equal(s.header.Get("Incarnation"), "t0")
	is.Equal(s.header.Get("Own"), "kept")

	for n := range s.header {
		is.True(!strings.HasPrefix(n, "Delegation-"))
	}
}

// Guards against a caller that has a call sent without a key, a rule or a limit, by what only another instance may say.
func TestOnlyInstancesDelegate(t *testing.T) {
	is := is.New(t)
	a := &target{answer: answerOK}
	g, d, x := newDelegatingGateway(t, a)

	s := httptest.NewServer(http.HandlerFunc(x.ServeDelegated))
	defer s.Close()

	for _, k := range []string{"", "another token"} {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/once/", strings.NewReader("x"))
		is.NoErr(err)
		q.Header.Set("Delegation-Token", k)
		q.Header.Set("Delegation-Target", "t0")
		q.Header.Set("Delegation-Target-Start-Ms", "1700000000000")
		q.Header.Set("Delegation-Timeout-Ms", "1000")
		q.Header.Set("Delegation-Repeatable", "false")
		q.Header.Set("Delegation-Digest", "0000000000000000")

		r, err := http.DefaultTransport.RoundTrip(q)
		is.NoErr(err)
		is.NoErr(r.Body.Close())
		is.Equal(r.StatusCode, http.StatusForbidden)
	}

	// The address for callers takes no delegated calls, also with the token.
	is.Equal(g.call(t, http.MethodPost, "/once/", "x", "Key", "", "Delegation-Token", token, "Delegation-Target", "t0").status, http.StatusUnauthorized)
	is.Equal(a.count(), 0)

	// A token that the delegate has not issued leaves the call unsent.
	d.token = "stale"
	o := g.call(t, http.MethodPost, "/once/", "x")
	is.Equal(o.status, http.StatusServiceUnavailable)
	is.True(o.header.Get("Retry-After") != "")
	is.Equal(a.count(), 0)
	is.Equal(d.results, []negotiator.Result{negotiator.Silent})
}

// Guards against a call that is passed on and on: what an instance knows of the others' links may be old, and all
// may have lost theirs.
func TestCallPassesOneInstanceAtMost(t *testing.T) {
	is := is.New(t)
	a := &target{answer: answerOK}
	g := newGatewayWithDialer(t, refusingDialer{}, a, &target{answer: answerOK})
	d := &delegates{token: token}
	g.forwarder.SetDelegates(d)

	var passed sync.Map

	for i := range 2 {
		x := newForwarder(t, g.state, refusingDialer{})
		x.SetDelegates(d) // It knows instances that it could pass the call to.

		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, _ := passed.LoadOrStore(i, new(int))
			*n.(*int)++

			x.ServeDelegated(w, r)
		}))
		t.Cleanup(s.Close)
		d.add(s)
	}

	o := g.call(t, http.MethodPost, "/once/", "x")
	is.Equal(o.status, http.StatusServiceUnavailable)
	is.True(o.header.Get("Retry-After") != "")
	is.Equal(a.count(), 0)

	for i := range 2 {
		n, ok := passed.Load(i)
		is.True(ok)
		is.Equal(*n.(*int), 1)
	}
}

// Guards against a call that fails because its delegate has stopped, is full, or has lost its links meanwhile, while
// another one would have sent it.
func TestNextDelegateIsTried(t *testing.T) {
	for name, x := range map[string]struct {
		first  func(t *testing.T, g *gateway) *httptest.Server
		result negotiator.Result
	}{
		"stopped": {func(t *testing.T, g *gateway) *httptest.Server {
			t.Helper()

			_, s := newDelegate(t, g.state, &net.Dialer{})
			s.Close()

			return s
		}, negotiator.Silent},
		"stopping": {func(t *testing.T, g *gateway) *httptest.Server {
			t.Helper()

			return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { g.forwarder.RejectDelegated(w, true) }))
		}, negotiator.Silent},
		"full": {func(t *testing.T, g *gateway) *httptest.Server {
			t.Helper()

			return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { g.forwarder.RejectDelegated(w, false) }))
		}, negotiator.Full},
		"has lost its links": {func(t *testing.T, g *gateway) *httptest.Server {
			t.Helper()

			_, s := newDelegate(t, g.state, refusingDialer{})

			return s
		}, negotiator.Unreached},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := &target{answer: answerOK}
			g := newGatewayWithDialer(t, refusingDialer{}, a)
			s := x.first(t, g)
			t.Cleanup(s.Close)

			d := &delegates{token: token}
			d.add(s)

			_, second := newDelegate(t, g.state, &net.Dialer{})
			d.add(second)
			g.forwarder.SetDelegates(d)

			is.Equal(g.call(t, http.MethodPost, "/once/", "x").status, http.StatusOK)
			is.Equal(a.count(), 1)
			is.Equal(d.results, []negotiator.Result{x.result, negotiator.Sent})
		})
	}
}

// Guards against events that a delegate holds back, and against engines that go on working after the caller has
// disconnected from the instance that delegated its call.
func TestDelegatedStreamsAndHangUps(t *testing.T) {
	is := is.New(t)
	next, closed := make(chan struct{}), make(chan (<-chan struct{}), 1)
	a := &target{answer: func(n net.Conn, s received) {
		closed <- s.closed

		beginStream(n, s)
		chunk(n, event(1))
		<-next
		chunk(n, event(2))
		<-s.closed
	}}
	g, _, _ := newDelegatingGateway(t, a)
	c, cancel := context.WithCancel(t.Context())
	q, err := http.NewRequestWithContext(c, http.MethodPost, g.URL+"/stream/", strings.NewReader("x"))
	is.NoErr(err)

	q.Host = "app.example"
	q.Header.Set("Id", "call-1")
	q.Header.Set("Key", "key-1")

	r, err := http.DefaultTransport.RoundTrip(q)
	is.NoErr(err)

	defer r.Body.Close() //nolint:errcheck // The caller disconnects.

	b := make([]byte, len(event(1)))
	_, err = io.ReadFull(r.Body, b)
	is.NoErr(err)
	is.Equal(string(b), event(1))

	close(next)

	_, err = io.ReadFull(r.Body, b)
	is.NoErr(err)
	is.Equal(string(b), event(2))

	cancel()

	select {
	case <-<-closed:
	case <-time.After(500 * time.Millisecond):
		is.Fail()
	}
}

// Guards against an incomplete answer that appears complete, a call that runs twice, and a refusal of one that ran, when a
// delegate is killed while it relays the answer.
func TestDelegateIsKilledDuringAnswer(t *testing.T) {
	for path, x := range map[string]struct {
		status   int
		complete bool
		calls    int
	}{
		"/once/":      {http.StatusBadGateway, true, 1},
		"/stream/":    {http.StatusOK, false, 1},
		"/resumable/": {http.StatusOK, true, 2},
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)

			var first *httptest.Server

			a := &target{answer: func(n net.Conn, s received) {
				if s.header.Get("Last") != "" {
					answerEvents(5)(n, s)

					return
				}

				beginStream(n, s)

				if path != "/once/" {
					chunk(n, event(1)+event(2))
				}

				time.Sleep(30 * time.Millisecond)

				_ = first.Listener.Close() // It is closed again by Close.

				first.CloseClientConnections()
				first.Close()
			}}
			g := newGatewayWithDialer(t, refusingDialer{}, a)
			d := &delegates{token: token}

			_, first = newDelegate(t, g.state, &net.Dialer{})
			_, second := newDelegate(t, g.state, &net.Dialer{})

			d.add(first)
			d.add(second)
			g.forwarder.SetDelegates(d)

			// The only target is tried again for a stream that goes on.
			g.update(func(e *discoverer.Discoverer) {
				x := *g.state.registry.Known["t0"]
				x.ID, x.DataCentre = "t1", "dc1"
				e.Set(x)
			})

			o := g.call(t, http.MethodPost, path, "x")
			is.Equal(o.status, x.status)
			is.Equal(o.err == nil, x.complete)
			is.Equal(a.count(), x.calls)

			if path == "/resumable/" {
				is.Equal(o.body, events(1, 5))
			}
		})
	}
}

// Guards against a call that crashes targets and is not recognized, because the instance that accepted it can't tell
// crashed targets from unreachable ones.
func TestDelegateReportsCrashes(t *testing.T) {
	is := is.New(t)
	a, b := &target{}, &target{answer: answerOK}
	a.answer = func(n net.Conn, _ received) {
		a.refuseConnections()
		reset(n)
	}
	g, _, x := newDelegatingGateway(t, a, b)
	own, remote := newQuarantine(3), newQuarantine(3)
	g.forwarder.SetQuarantine(own)
	x.SetQuarantine(remote)

	is.Equal(g.call(t, http.MethodPost, "/once/", "x").status, http.StatusBadGateway)
	is.Equal(len(own.crashed), 0)
	is.Equal(remote.crashed, []discoverer.Name{g.state.Registry().Known["t0"].Key().Name()})
}

// Guards against calls that a delegate sends to a target which has asked it for a backoff.
func TestDelegateObservesBackoff(t *testing.T) {
	is := is.New(t)
	a := &target{answer: func(n net.Conn, s received) { reply(n, s, "503 Full", "", "Not-Run: 1", "Rest-Ms: 5000") }}
	g, _, _ := newDelegatingGateway(t, a, &target{answer: answerOK})

	for range 6 {
		is.Equal(g.call(t, http.MethodPost, "/once/", "x").status, http.StatusOK)
	}

	is.Equal(a.count(), 1)
}

// Guards against a call that runs twice, or is refused as not run, after its delegate has sent it and then answered without
// saying what it did, as after a panic.
func TestDelegateAnswersWithoutResult(t *testing.T) {
	is := is.New(t)
	a := &target{answer: answerOK}
	g := newGatewayWithDialer(t, refusingDialer{}, a)
	d := &delegates{token: token}

	x, _ := newDelegate(t, g.state, &net.Dialer{})
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x.ServeDelegated(httptest.NewRecorder(), r)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	t.Cleanup(first.Close)

	_, second := newDelegate(t, g.state, &net.Dialer{})

	d.add(first)
	d.add(second)
	g.forwarder.SetDelegates(d)

	is.Equal(g.call(t, http.MethodPost, "/once/", "x").status, http.StatusBadGateway)
	is.Equal(a.count(), 1)
}

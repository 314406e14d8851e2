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

func TestWhatATargetSees(t *testing.T) {
	is := is.New(t)
	x := &target{answer: ok}
	g := front(t, x)

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

func TestAnswersOfItsOwn(t *testing.T) {
	for name, x := range map[string]struct {
		path, body string
		headers    []string
		change     func(f *facts)
		status     int
		wait       bool
	}{
		"no rule":             {path: "/none/", status: http.StatusNotFound},
		"no key":              {path: "/once/", headers: []string{"Key", ""}, status: http.StatusUnauthorized},
		"unknown key":         {path: "/once/", headers: []string{"Key", "other"}, status: http.StatusUnauthorized},
		"public without key":  {path: "/open/", headers: []string{"Key", ""}, status: http.StatusOK},
		"body too long":       {path: "/once/", body: strings.Repeat("x", 1001), status: http.StatusRequestEntityTooLarge},
		"headers too long":    {path: "/once/", headers: []string{"More", strings.Repeat("x", 900)}, status: http.StatusRequestHeaderFieldsTooLarge},
		"long headers":        {path: "/once/", headers: []string{"More", strings.Repeat("x", 700)}, status: http.StatusOK},
		"no catalog":          {path: "/once/", change: func(f *facts) { f.catalog = nil }, status: http.StatusServiceUnavailable, wait: true},
		"no target":           {path: "/once/", change: func(f *facts) { f.roster.Groups = nil }, status: http.StatusServiceUnavailable, wait: true},
		"old catalog no rule": {path: "/none/", change: func(f *facts) { f.stale = true }, status: http.StatusServiceUnavailable, wait: true},
		"old catalog no key":  {path: "/once/", headers: []string{"Key", "new"}, change: func(f *facts) { f.stale = true }, status: http.StatusServiceUnavailable, wait: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &target{answer: ok}
			g := front(t, o)

			if x.change != nil {
				x.change(g.facts)
			}

			b := time.Now()
			a := g.call(t, http.MethodPost, x.path, x.body, x.headers...)
			is.Equal(a.status, x.status)
			is.Equal(a.header.Get("Retry-After") != "", x.wait)
			is.True(time.Since(b) < 500*time.Millisecond) // At once, not near the deadline.

			if x.status != http.StatusOK {
				is.Equal(o.count(), 0)
				is.Equal(a.header.Get("Seal"), "")
			}
		})
	}
}

// Callers that are refused at the same moment must not come back at the same moment.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	g := front(t, &target{answer: ok})
	g.facts.roster.Groups = nil

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

// faults are what a target may do to a call.
func faults() map[string]func(n net.Conn, s seen) {
	return map[string]func(n net.Conn, s seen){
		"ok":      ok,
		"notRun":  func(n net.Conn, s seen) { reply(n, s, "503 Full", "", "Not-Run: 1") },
		"moved":   func(n net.Conn, s seen) { reply(n, s, "421 Other", "", "Not-Run: 1") },
		"error":   func(n net.Conn, s seen) { reply(n, s, "500 Failed", "own error", "Seal: "+s.target) },
		"promise": func(n net.Conn, s seen) { reply(n, s, "503 Failed", "ran", "Seal: "+s.target) },
		"noProof": func(n net.Conn, s seen) { reply(n, s, "200 OK", "forged") },
		"reset":   func(n net.Conn, _ seen) { reset(n) },
		"closed":  func(n net.Conn, _ seen) { _ = n.Close() },
		"short": func(n net.Conn, _ seen) {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: x\r\nContent-Length: 100\r\n\r\nshort")
			reset(n)
		},
		"garbage": func(n net.Conn, _ seen) { _, _ = io.WriteString(n, "what is this\r\n\r\n"); _ = n.Close() },
		"another": func(n net.Conn, _ seen) {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-0\r\nSeal: x\r\nContent-Length: 6\r\n\r\nothers")
		},
		"unframed": func(n net.Conn, s seen) {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: "+s.target+"\r\n\r\nfrom "+s.target)
			_ = n.Close()
		},
		"cutBare": func(n net.Conn, _ seen) {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: x\r\n\r\nfro")
			time.Sleep(20 * time.Millisecond)
			reset(n)
		},
	}
}

// Whatever a target does, the caller gets a whole answer that is its own, or none
// that looks like one; a call that may run once reaches a second target only after
// the first one's word; and only a call that did not run is refused as such.
func TestFaultsOfTargets(t *testing.T) {
	type want struct {
		status int
		body   string
		calls  int
	}

	for name, x := range map[string]struct{ once, again want }{
		"ok":       {want{200, "from t0", 1}, want{200, "from t0", 1}},
		"notRun":   {want{200, "from t1", 2}, want{200, "from t1", 2}},
		"moved":    {want{200, "from t1", 2}, want{200, "from t1", 2}},
		"error":    {want{500, "own error", 1}, want{200, "from t1", 2}},
		"promise":  {want{502, "", 1}, want{200, "from t1", 2}},
		"noProof":  {want{502, "", 1}, want{200, "from t1", 2}},
		"reset":    {want{502, "", 1}, want{200, "from t1", 2}},
		"closed":   {want{502, "", 1}, want{200, "from t1", 2}},
		"short":    {want{502, "", 1}, want{200, "from t1", 2}},
		"garbage":  {want{502, "", 1}, want{200, "from t1", 2}},
		"another":  {want{502, "", 1}, want{200, "from t1", 2}},
		"unframed": {want{200, "from t0", 1}, want{200, "from t0", 1}},
		"cutBare":  {want{502, "", 1}, want{200, "from t1", 2}},
	} {
		for path, w := range map[string]want{"/once/": x.once, "/again/": x.again} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				a, b := &target{answer: faults()[name]}, &target{answer: ok}
				g := front(t, a, b)

				// A body-less method is one that libraries send again by themselves.
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

// A user would find a booking made twice: the target closes a kept connection just
// as the next call goes out on it, and the library sends the call once more.
func TestKeptConnectionNeverRepeatsACall(t *testing.T) {
	for name, x := range map[string]struct {
		path  string
		calls int
	}{
		"once":   {"/once/", 1},
		"stream": {"/stream/", 1},
		"again":  {"/again/", 2}, // To two targets, as the rule allows, and no more.
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := 0
			a := &target{}
			a.answer = func(c net.Conn, s seen) {
				if n++; n == 1 {
					ok(c, s)

					return
				}

				reset(c)
			}
			g := front(t, a)

			is.Equal(g.call(t, http.MethodGet, "/again/", "").status, http.StatusOK)
			is.Equal(g.call(t, http.MethodGet, x.path, "").status, http.StatusBadGateway)
			is.True(a.count()-1 <= x.calls)
		})
	}
}

// A user would see a model work for nobody: the caller closes its connection and
// the engine goes on to the end.
func TestCallerThatLeavesStopsTheWork(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			came := make(chan seen, 2)
			a := &target{answer: func(_ net.Conn, s seen) {
				came <- s
				<-s.gone
			}}
			g := front(t, a)
			c, leave := context.WithCancel(t.Context())

			go func() {
				s := <-came
				came <- s

				leave()
			}()

			g.callWith(t, c, http.MethodPost, path, "x")

			s := <-came

			select {
			case <-s.gone:
			case <-time.After(500 * time.Millisecond):
				is.Fail()
			}

			is.Equal(a.count(), 1)
		})
	}
}

// A caller whose rule says how long it may wait is answered then, and not when a
// mute target speaks or its own deadline ends.
func TestLongestTimeEndsACall(t *testing.T) {
	for path, status := range map[string]int{"/once/": http.StatusGatewayTimeout, "/stream/": http.StatusGatewayTimeout} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			a := &target{answer: func(_ net.Conn, s seen) { <-s.gone }}
			g := front(t, a)
			b := time.Now()

			is.Equal(g.call(t, http.MethodPost, path, "x", "Patience-Ms", "5000").status, status)
			is.True(time.Since(b) >= 900*time.Millisecond && time.Since(b) < 1400*time.Millisecond)
		})
	}
}

// A target that can't be reached costs a call that may run once nothing: nothing
// was sent.
func TestUnreachableTargetIsNoAttempt(t *testing.T) {
	is := is.New(t)
	a, b := &target{answer: ok}, &target{answer: ok}
	g := front(t, a, b)
	g.facts.roster.Known["t0"].Address = porter.Free(t)

	o := g.call(t, http.MethodPost, "/once/", "x")
	is.Equal(o.status, http.StatusOK)
	is.Equal(o.body, "from t1")

	// With none reachable the refusal says that it did not run, when to come back,
	// and comes at once.
	g.facts.roster.Known["t1"].Address = porter.Free(t)

	s := time.Now()
	o = g.call(t, http.MethodPost, "/open/", "x")
	is.Equal(o.status, http.StatusServiceUnavailable)
	is.True(o.header.Get("Retry-After") != "")
	is.True(time.Since(s) < 700*time.Millisecond)
}

// A mute target does not hold a call that may be repeated.
func TestMuteTargetIsLeft(t *testing.T) {
	is := is.New(t)
	a := &target{answer: func(_ net.Conn, s seen) { <-s.gone }}
	b := &target{answer: ok}
	g := front(t, a, b)

	s := time.Now()
	o := g.call(t, http.MethodGet, "/again/", "")
	is.Equal(o.body, "from t1")
	is.True(time.Since(s) < 400*time.Millisecond)
}

// muteDialer reaches nobody at an address for as long as it is set.
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

// An instance is paused for some seconds. On waking, the time of every dial that was
// under way has run out, and the instance takes all targets for unreachable; the few
// that are left get all calls. What a pause shows says nothing about targets.
func TestPauseIsNotHeldAgainstTargets(t *testing.T) {
	for name, x := range map[string]struct {
		stalled bool
		next    string
	}{
		"a target that does not answer": {next: "from t1"},
		"the process stood still":       {stalled: true, next: "from t0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &muteDialer{}
			g := frontBy(t, d, &target{answer: ok}, &target{answer: ok})
			g.facts.stalled = x.stalled

			d.mute.Store(g.facts.roster.Known["t0"].Address.String())
			is.Equal(g.call(t, http.MethodPost, "/once/", "x").body, "from t1")

			d.mute.Store("")
			is.Equal(g.call(t, http.MethodPost, "/once/", "x").body, x.next)
		})
	}
}

// A data centre is cut off. Its instance reaches no other, shows that others would
// serve its callers better, and ends their connections with the answers. When the cut
// is over it finds out by itself: nobody calls any more.
func TestCutOffInstanceSendsItsCallersElsewhere(t *testing.T) {
	is := is.New(t)
	d := &muteDialer{}
	g := frontBy(t, d, &target{answer: ok}, &target{answer: ok}, &target{answer: ok})

	for _, k := range g.facts.roster.Known {
		k.Address = porter.Refusing(t)
	}

	live := (&target{answer: ok}).serve(t)

	is.True(!g.forwarder.CutOff())

	for range 100 {
		is.Equal(g.call(t, http.MethodPost, "/open/", "x").status, http.StatusServiceUnavailable)
		g.forwarder.Look(t.Context())

		if g.forwarder.CutOff() {
			break
		}

		time.Sleep(20 * time.Millisecond)
	}

	is.True(g.forwarder.CutOff())

	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.URL+"/open/", strings.NewReader("x"))
	is.NoErr(err)

	q.Host = "app.example"
	a, err := (&http.Transport{}).RoundTrip(q)
	is.NoErr(err)
	is.NoErr(a.Body.Close())
	is.True(a.Close)

	for _, k := range g.facts.roster.Known {
		k.Address = live
	}

	g.forwarder.Look(t.Context()) // Tries them.
	g.forwarder.Look(t.Context()) // Sees that they are back.
	is.True(!g.forwarder.CutOff())
}

// A target is slow, and the call can't go to another: the budget for repeats is spent,
// or there is none. The call was taken away from the target all the same, and its caller
// got a failure for an answer that was almost there.
func TestSlowTargetIsLeftOnlyForAnother(t *testing.T) {
	slow := func(n net.Conn, s seen) {
		time.Sleep(250 * time.Millisecond)
		ok(n, s)
	}

	for name, x := range map[string]struct {
		targets []*target
		others  int
		want    string
	}{
		"another, and a budget": {targets: []*target{{answer: slow}, {answer: ok}}, want: "from t1"},
		"no budget":             {targets: []*target{{answer: slow}, {answer: ok}}, others: 1 << 20, want: "from t0"},
		"no other":              {targets: []*target{{answer: slow}}, want: "from t0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := front(t, x.targets...)
			g.facts.others = x.others

			a := g.call(t, http.MethodGet, "/again/", "")
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, x.want)
		})
	}
}

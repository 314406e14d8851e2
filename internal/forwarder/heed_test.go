package forwarder_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/enroller"
)

// says makes a target say something of itself in each answer.
func says(status, body string, headers ...string) func(n net.Conn, s seen) {
	return func(n net.Conn, s seen) {
		reply(n, s, status, body, append(headers, "Seal: "+s.target)...)
	}
}

// Guards against a target that goes on getting calls after it has said in an answer, of whatever
// kind, that it leaves.
func TestTargetThatSaysThatItLeaves(t *testing.T) {
	const leaving = "Leaving: 1"

	for name, x := range map[string]struct {
		answer func(n net.Conn, s seen)
		path   string
		// stays says that the answer is no word of the target's, or that it is not well.
		stays bool
	}{
		"served":                 {answer: says("200 OK", "x", leaving), path: "/once/"},
		"served over a kept way": {answer: says("200 OK", "x", leaving), path: "/again/"},
		"failed":                 {answer: says("500 Internal Server Error", "x", leaving), path: "/once/"},
		"failed, and sent again": {answer: says("500 Internal Server Error", "x", leaving), path: "/again/"},
		"turned away":            {answer: says("503 Service Unavailable", "", leaving, "Not-Run: 1"), path: "/once/"},
		"turned away for good":   {answer: says("503 Service Unavailable", "", leaving), path: "/once/"},
		"too late":               {answer: says("504 Gateway Timeout", "", leaving), path: "/once/"},
		"a stream that failed":   {answer: says("500 Internal Server Error", "", leaving), path: "/stream/"},
		"another's answer": {answer: func(n net.Conn, _ seen) {
			_, _ = n.Write([]byte("HTTP/1.1 200 OK\r\nId: other\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"))
		}, path: "/again/"},
		"an answer that breaks": {answer: func(n net.Conn, _ seen) {
			_, _ = n.Write([]byte("HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: 1\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\n12"))
			reset(n)
		}, path: "/again/"},
		"another has the address": {answer: says("421 Misdirected Request", "", leaving, "Not-Run: 1"), path: "/once/", stays: true},
		"says nothing of it":      {answer: ok, path: "/once/", stays: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			g := front(t, &target{answer: x.answer}, &target{answer: ok})

			var told []enroller.Process

			g.forwarder.OnLeaving(func(p enroller.Process) { told = append(told, p) })
			g.call(t, http.MethodGet, x.path, "")

			r := g.facts.Roster()
			i.Equal(r.Known["t0"].Leaving, !x.stays)
			i.Equal(r.Takes(r.Known["t0"]), x.stays)
			i.True(r.Takes(r.Known["t1"]))

			if x.stays {
				i.Equal(len(told), 0)

				return
			}

			i.Equal(told, []enroller.Process{r.Known["t0"].Process()})

			// The list still says that it is well.
			g.list(*r.Known["t0"])

			for range 3 {
				i.Equal(g.call(t, http.MethodGet, "/again/", "").body, "from t1")
			}

			i.Equal(len(told), 1)
		})
	}
}

// Guards against a word that is heard only when the stream that brought it has ended.
func TestLeavingIsHeardFromTheHeadOfAStream(t *testing.T) {
	i := is.New(t)
	held := make(chan struct{})
	g := front(t, &target{answer: func(n net.Conn, _ seen) {
		_, _ = n.Write([]byte("HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: t0\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
		<-held
		chunk(n, event(1))
		finish(n)
	}}, &target{answer: ok})

	o := make(chan answer, 1)

	go func() { o <- g.call(t, http.MethodGet, "/stream/", "") }()

	waitFor(t, func() bool { return g.facts.Roster().Known["t0"].Leaving })
	i.Equal(g.call(t, http.MethodGet, "/once/", "").body, "from t1")

	// What runs there runs to its end.
	close(held)

	a := <-o
	i.Equal(a.status, http.StatusOK)
	i.Equal(a.body, event(1))
}

func waitFor(t *testing.T, f func() bool) {
	t.Helper()

	for b := time.Now(); !f(); time.Sleep(time.Millisecond) {
		if time.Since(b) > time.Second {
			t.Fatal("it did not come")
		}
	}
}

// Guards against calls that wait for their time to pass when all that could serve them leave, and
// against a second try at a target that has just said that it leaves.
func TestAllTargetsLeave(t *testing.T) {
	i := is.New(t)
	w := says("503 Service Unavailable", "", "Leaving: 1", "Not-Run: 1")
	a, b := &target{answer: w}, &target{answer: w}
	g := front(t, a, b)

	for range 4 {
		n := time.Now()
		o := g.call(t, http.MethodGet, "/again/", "")
		i.Equal(o.status, http.StatusServiceUnavailable)
		i.True(o.header.Get("Retry-After") != "")
		i.True(time.Since(n) < 500*time.Millisecond)
	}

	i.Equal(a.count(), 1)
	i.Equal(b.count(), 1)
}

// Guards against instances that go on sending to a target after another one has told them that it
// leaves, and against news that goes round.
func TestAnothersWordThatATargetLeaves(t *testing.T) {
	i := is.New(t)
	g := front(t, &target{answer: ok}, &target{answer: ok})

	var told []enroller.Process

	g.forwarder.OnLeaving(func(p enroller.Process) { told = append(told, p) })

	x := g.facts.Roster().Known["t0"].Process()
	g.forwarder.LearnLeaving([]enroller.Process{x, x, {ID: "unknown"}})
	i.Equal(g.call(t, http.MethodGet, "/once/", "").body, "from t1")

	// It starts again, and the new process has not said so.
	g.list(g.restarted("t0"))
	i.Equal(g.call(t, http.MethodGet, "/once/", "").body, "from t0")
	i.Equal(len(told), 0)
}

// Guards against a target that goes on getting calls in the rest that it has asked for as it turned
// one away, and against a rest that is taken for one where it was not asked for.
func TestTargetThatAsksForRest(t *testing.T) {
	const rest = "Rest-Ms: 400"

	for name, x := range map[string]struct {
		answer func(n net.Conn, s seen)
		path   string
		// stays says that no rest was asked for.
		stays bool
	}{
		"a call that may run once":    {answer: says("503 Service Unavailable", "", rest, "Not-Run: 1"), path: "/once/"},
		"a call that may run again":   {answer: says("503 Service Unavailable", "", rest, "Not-Run: 1"), path: "/again/"},
		"a stream":                    {answer: says("503 Service Unavailable", "", rest, "Not-Run: 1"), path: "/stream/"},
		"it does not say: not run":    {answer: says("503 Service Unavailable", "", rest), path: "/once/"},
		"it does not say, of streams": {answer: says("503 Service Unavailable", "", rest), path: "/stream/"},
		"turned away without a word":  {answer: says("503 Service Unavailable", "", "Not-Run: 1"), path: "/once/", stays: true},
		"another has the address":     {answer: says("421 Misdirected Request", "", rest, "Not-Run: 1"), path: "/once/", stays: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a := &target{answer: x.answer}
			g := front(t, a, &target{answer: ok})
			g.call(t, http.MethodGet, x.path, "")
			i.Equal(a.count(), 1)

			if x.stays {
				// Whatever else is believed of it ends when it is elsewhere; a rest would not.
				c := &target{id: "t0", answer: ok}
				y := *g.facts.Roster().Known["t0"]
				y.Address = c.serve(t)
				g.list(y)
				time.Sleep(110 * time.Millisecond)
				i.Equal(g.call(t, http.MethodGet, "/once/", "").body, "from t0")

				return
			}

			b := time.Now()
			i.Equal(g.leftAlone(), []string{"t0"})

			for range 5 {
				i.Equal(g.call(t, http.MethodGet, "/again/", "").body, "from t1")
				time.Sleep(50 * time.Millisecond)
			}

			i.Equal(a.count(), 1)

			// When it is over, calls go there again: t0 is the nearer one.
			time.Sleep(400*time.Millisecond - time.Since(b) + 10*time.Millisecond)
			g.call(t, http.MethodGet, "/again/", "")
			i.Equal(a.count(), 2)
		})
	}
}

// Guards against a target that is taken for loaded by the word of another, which has its address.
func TestLoadOfAnotherAtTheAddress(t *testing.T) {
	i := is.New(t)
	g := front(t, &target{answer: says("421 Misdirected Request", "", "Not-Run: 1", "Running: 50")}, &target{answer: ok})
	g.call(t, http.MethodGet, "/once/", "")

	for _, v := range g.forwarder.Views() {
		i.Equal(v.Load, 0.0)
	}
}

// Guards against a wait for the end of a rest where another target may serve before.
func TestOneTargetRests(t *testing.T) {
	i := is.New(t)
	a := &target{answer: says("503 Service Unavailable", "", "Rest-Ms: 5000", "Not-Run: 1")}
	b := &target{answer: says("503 Service Unavailable", "", "Not-Run: 1")}
	g := front(t, a, b)

	for range 3 {
		o := g.call(t, http.MethodGet, "/again/", "")
		i.Equal(o.status, http.StatusServiceUnavailable)

		w, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
		i.NoErr(err)
		i.True(w < 1)
	}

	i.Equal(a.count(), 1)
	i.Equal(b.count(), 3)
}

// Guards against calls that wait, or are sent all the same, when all that could serve them have asked
// for rest, and against callers who are told to come back before it is over.
func TestAllTargetsRest(t *testing.T) {
	i := is.New(t)
	a := &target{answer: says("503 Service Unavailable", "", "Rest-Ms: 2000", "Not-Run: 1")}
	b := &target{answer: says("503 Service Unavailable", "", "Rest-Ms: 1000", "Not-Run: 1")}
	g := front(t, a, b)

	end := time.Now().Add(time.Second)

	for range 5 {
		n := time.Now()
		o := g.call(t, http.MethodGet, "/again/", "")
		i.Equal(o.status, http.StatusServiceUnavailable)
		i.True(time.Since(n) < 200*time.Millisecond)

		w, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
		i.NoErr(err)

		back := n.Add(time.Duration(w * float64(time.Second)))
		i.True(back.After(end.Add(-50 * time.Millisecond)))
		i.True(back.Before(end.Add(time.Second)))
	}

	i.Equal(a.count(), 1)
	i.Equal(b.count(), 1)
}

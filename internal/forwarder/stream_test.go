package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerEvents returns an answer function that sends the events after the last one that the caller has
// received, up to the given number.
func answerEvents(last int) func(n net.Conn, s received) {
	return func(n net.Conn, s received) {
		b := 0
		if v := s.header.Get("Last"); v != "" {
			b = int(v[0] - '0')
		}

		beginStream(n, s)

		for i := b + 1; i <= last; i++ {
			chunk(n, event(i))
		}

		finishStream(n)
	}
}

func events(from, to int) string {
	var o strings.Builder
	for i := from; i <= to; i++ {
		o.WriteString(event(i))
	}

	return o.String()
}

func TestStream(t *testing.T) {
	broken := func(end func(n net.Conn)) func(n net.Conn, s received) {
		return func(n net.Conn, s received) {
			beginStream(n, s)
			chunk(n, event(1))
			chunk(n, event(2)[:5])
			time.Sleep(20 * time.Millisecond)
			end(n)
		}
	}

	for name, x := range map[string]struct {
		path     string
		first    func(n net.Conn, s received)
		headers  []string
		body     string
		complete bool
		calls    int
	}{
		"complete":                     {path: "/stream/", first: answerEvents(3), body: events(1, 3), complete: true, calls: 1},
		"caller resumes":               {path: "/resumable/", first: answerEvents(5), headers: []string{"Last", "3"}, body: events(4, 5), complete: true, calls: 1},
		"reset within an event":        {path: "/resumable/", first: broken(reset), body: events(1, 5), complete: true, calls: 2},
		"closed within an event":       {path: "/resumable/", first: broken(func(n net.Conn) { _ = n.Close() }), body: events(1, 5), complete: true, calls: 2},
		"stops sending":                {path: "/resumable/", first: broken(func(net.Conn) { time.Sleep(700 * time.Millisecond) }), body: events(1, 5), complete: true, calls: 2},
		"never answers":                {path: "/resumable/", first: func(_ net.Conn, s received) { <-s.closed }, body: events(1, 5), complete: true, calls: 2},
		"refused":                      {path: "/stream/", first: func(n net.Conn, s received) { reply(n, s, "503 Full", "", "Not-Run: 1") }, body: events(1, 5), complete: true, calls: 2},
		"not resumable":                {path: "/stream/", first: broken(reset), body: events(1, 1), complete: false, calls: 1},
		"missing event, not resumable": {path: "/stream/", first: func(n net.Conn, s received) { beginStream(n, s); chunk(n, event(1)+event(3)); finishStream(n) }, body: events(1, 1), complete: false, calls: 1},
		"missing event":                {path: "/resumable/", first: func(n net.Conn, s received) { beginStream(n, s); chunk(n, event(1)+event(3)); finishStream(n) }, body: events(1, 5), complete: true, calls: 2},
		"duplicate event":              {path: "/resumable/", first: func(n net.Conn, s received) { beginStream(n, s); chunk(n, event(1)+event(1)); finishStream(n) }, body: events(1, 5), complete: true, calls: 2},
		"ends without an empty line":   {path: "/resumable/", first: func(n net.Conn, s received) { beginStream(n, s); chunk(n, event(1)+"id: 2\n"); finishStream(n) }, body: events(1, 5), complete: true, calls: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := &target{answer: x.first}, &target{answer: answerEvents(5)}
			g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)

			o := g.call(t, http.MethodPost, x.path, "prompt", x.headers...)
			is.Equal(o.body, x.body)
			is.Equal(o.err == nil, x.complete)
			is.Equal(a.count()+b.count(), x.calls)

			if x.calls == 2 && b.calls[0].header.Get("Last") != "" {
				is.Equal(o.header.Get("Seal"), "t0") // The headers of the first answer were relayed.
			}
		})
	}
}

// Guards against a stream that runs again elsewhere, and a target that counts as failed or crashed, because the target fell
// silent for a second and then went on: with a longest pause of 250 ms that is four times the pause and more.
func TestTargetSilentForASecond(t *testing.T) {
	const silence = 5 * 50 * time.Millisecond // Five times the longest pause of the rule.

	is := is.New(t)
	a, b := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, events(1, 2))
		time.Sleep(silence)
		chunk(n, events(3, 5))
		finishStream(n)
	}}, &target{answer: answerEvents(5)}
	g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)
	q := newQuarantine(3)
	g.forwarder.SetQuarantine(q)

	o := g.call(t, http.MethodPost, "/resumable/", "prompt")
	is.NoErr(o.err)
	is.Equal(o.body, events(1, 5))
	is.Equal(a.count(), 1)
	is.Equal(b.count(), 0)
	is.Equal(g.excluded(), []string{})
	is.Equal(len(q.crashed), 0)
}

// Guards against a duplicated or missing part in an answer joined from two targets: the second one
// restarts the stream instead of resuming it.
func TestRestartedStreamIsNotJoined(t *testing.T) {
	is := is.New(t)
	a := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, events(1, 2))
		time.Sleep(20 * time.Millisecond)
		reset(n)
	}}
	b := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, events(1, 5))
		finishStream(n)
	}}
	g := newGateway(t, a, b)

	o := g.call(t, http.MethodPost, "/resumable/", "prompt")
	is.Equal(o.body, events(1, 2))
	is.True(o.err != nil)
}

// Guards against events that are buffered instead of being relayed while the target is still
// working.
func TestEventsAreRelayedImmediately(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	a := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, event(1))
		<-next
		chunk(n, event(2))
		finishStream(n)
	}}
	g := newGateway(t, a)

	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.URL+"/stream/", strings.NewReader("x"))
	is.NoErr(err)

	q.Host = "app.example"
	q.Header.Set("Id", "call-1")
	q.Header.Set("Key", "key-1")

	r, err := http.DefaultTransport.RoundTrip(q)
	is.NoErr(err)

	defer r.Body.Close() //nolint:errcheck // Read below.

	b := make([]byte, len(event(1)))
	_, err = io.ReadFull(r.Body, b)
	is.NoErr(err)
	is.Equal(string(b), event(1))
	close(next)

	l, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(string(l), event(2))
}

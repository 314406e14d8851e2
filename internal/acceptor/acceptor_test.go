package acceptor_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/standin/collector"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

const (
	head = "POST / HTTP/1.1\r\nHost: x\r\n"
	// longBody is more than the sockets of a connection hold.
	longBody = 8 << 20
	// testTimeout bounds the waits of the tests' own clients.
	testTimeout = time.Minute
)

// server is an HTTP server behind an Acceptor.
type server struct {
	*acceptor.Acceptor

	test    *testing.T
	address string
}

// start starts a server with settings that lack what a test does not care for.
func start(t *testing.T, s acceptor.Settings, h http.HandlerFunc) *server {
	t.Helper()

	if s.Most == nil {
		s.Most = func() int { return 100 }
	}

	if s.Limits == nil {
		s.Limits = func() acceptor.Limits { return acceptor.Limits{} }
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	a := acceptor.New(s)
	x := &http.Server{Handler: h, ReadHeaderTimeout: testTimeout}
	a.Serve(x)

	go func() { _ = x.Serve(a.Listen(l)) }() // It fails when the test ends.

	t.Cleanup(func() { _ = x.Close() })

	return &server{Acceptor: a, test: t, address: l.Addr().String()}
}

// dial connects to the server until the end of the test.
func (s *server) dial() net.Conn {
	s.test.Helper()

	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.test.Fatal(err)
	}

	s.test.Cleanup(func() { _ = c.Close() })

	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		s.test.Fatal(err)
	}

	return c
}

// send connects and sends.
func (s *server) send(l ...string) net.Conn {
	s.test.Helper()

	c := s.dial()
	for _, x := range l {
		if _, err := io.WriteString(c, x); err != nil {
			s.test.Fatal(err)
		}
	}

	return c
}

// answer reads one answer.
func answer(t *testing.T, c io.Reader) *http.Response {
	t.Helper()

	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}

	return r
}

// isEnded reports whether the server has ended a connection of which nothing more is read.
func isEnded(c net.Conn) bool {
	_, err := io.Copy(io.Discard, c)

	return err == nil || !strings.Contains(err.Error(), "timeout")
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }

// Guards against a refused request whose body never ends: the server would read on for as long as its client stays.
func TestRefusedRequestIsEnded(t *testing.T) {
	for name, sent := range map[string]string{
		"body short of its end":   head + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 59_000),
		"chunks without an end":   head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 1000),
		"nothing of the body":     head + "Content-Length: 60000\r\n\r\n",
		"body that is not chunks": head + "Transfer-Encoding: chunked\r\n\r\nnot a chunk",
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s := start(t, acceptor.Settings{}, refuse)
			c := s.send(sent)

			r := answer(t, c)
			i.Equal(r.StatusCode, http.StatusNotFound)
			i.True(r.Close)
			i.Equal(r.ContentLength, int64(0)) // It is complete before the connection ends.
			i.True(isEnded(c))
			waiter.Until(t, "the end of the connection", func() bool { return s.Open() == 0 })
		})
	}
}

// Guards against a handler that panics before it has read the body: the server would read on.
func TestPanicEndsTheConnection(t *testing.T) {
	s := start(t, acceptor.Settings{}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	s.send(head + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 59_000))
	time.Sleep(acceptor.SweepInterval) // It may not have been accepted yet.
	waiter.Until(t, "the end of the connection", func() bool { return s.Open() == 0 })
}

// Guards against a refusal that its client does not get, since it is still sending when the connection is closed.
func TestRefusalReachesClientThatSends(t *testing.T) {
	for name, x := range map[string]struct {
		sent   string
		status int
	}{
		"in a body":                {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody) + strings.Repeat("x", longBody), http.StatusNotFound},
		"in a head":                {head + strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", longBody/1000) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"in a head of many fields": {head + strings.Repeat("a:b\r\n", longBody/5) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s := start(t, acceptor.Settings{Memory: accountant.New(128 << 20)}, refuse)

			// This client reads only once it has sent all.
			i.Equal(answer(t, s.send(x.sent)).StatusCode, x.status)
		})
	}
}

// Guards against connections that are lost to ordinary clients whose short requests are refused.
func TestRefusedShortRequestKeepsItsConnection(t *testing.T) {
	i := is.New(t)
	s := start(t, acceptor.Settings{}, refuse)
	c := s.dial()
	b := bufio.NewReader(c)

	for range 3 {
		_, err := io.WriteString(c, head+"Content-Length: 5000\r\n\r\n"+strings.Repeat("x", 5000))
		i.NoErr(err)

		r, err := http.ReadResponse(b, nil)
		i.NoErr(err)
		i.True(!r.Close)
		_ = r.Body.Close()
	}
}

// Guards against a process whose memory heads of many short fields exceed: each field takes many times its bytes.
func TestHeadsAreReservedAsTheyArrive(t *testing.T) {
	i := is.New(t)
	m := accountant.New(64 << 20)
	s := start(t, acceptor.Settings{Memory: m, Limits: func() acceptor.Limits { return acceptor.Limits{MaxHead: 256 << 10} }}, refuse)
	sent := head + strings.Repeat("a:b\r\n", 12_000)

	var l []net.Conn
	for range 20 {
		l = append(l, s.send(sent))
	}

	r := answer(t, l[len(l)-1])
	i.Equal(r.StatusCode, http.StatusServiceUnavailable)
	i.True(r.Header.Get("Retry-After") != "")
	i.True(m.Peak() <= m.Budget())

	for _, c := range l {
		_ = c.Close()
	}

	waiter.Until(t, "the release of the heads", func() bool { return m.Held(accountant.Head) == 0 })
	i.Equal(answer(t, s.send(sent+"\r\n")).StatusCode, http.StatusNotFound) // A single one of them is served.
}

// Guards against a log without bound, and against connections that end for no reason that an operator can see.
func TestEndedConnectionsAreReported(t *testing.T) {
	const conns, most, maxLines = 200, 2, 50

	i := is.New(t)
	h := collector.New(t)
	o := acceptor.NewReporter()
	s := start(t, acceptor.Settings{Most: func() int { return most }, Replace: true, Reporter: o}, refuse)

	for range conns {
		s.dial()
	}

	waiter.Until(t, "the connections", func() bool { return o.Count(acceptor.Replaced) == conns-most })

	l := h.AllEntries()
	i.True(len(l) >= 1)
	i.True(len(l) <= maxLines)
	i.Equal(l[0].Data["event"], "connectionsEnded")
	i.Equal(l[0].Data["reason"], acceptor.Replaced)

	i.Equal(answer(t, s.send(head+strings.Repeat("a:b\r\n", 10_000))).StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	i.Equal(o.Count(acceptor.LongHead), 1)
}

// Guards against heads that hold memory after their calls.
func TestHeadsAreReleased(t *testing.T) {
	i := is.New(t)
	m := accountant.New(128 << 20)
	s := start(t, acceptor.Settings{Memory: m}, refuse)
	c := s.send(head + strings.Repeat("a:b\r\n", 2000) + "\r\n")
	i.Equal(answer(t, c).StatusCode, http.StatusNotFound)
	waiter.Until(t, "the release of the head", func() bool { return m.Held(accountant.Head) == 0 })
	_ = c.Close()
	waiter.Until(t, "the release of the connection", func() bool { return m.Total() == 0 })
}

// long answers with more than the sockets of a connection hold.
func long(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = w.Write(make([]byte, longBody)) // The client may stop reading.
}

// Guards against clients that read nothing of their answers and hold them until they leave; one that reads slowly is served.
func TestUnreadAnswerIsEnded(t *testing.T) {
	const idle = 300 * time.Millisecond

	i := is.New(t)
	s := start(t, acceptor.Settings{Limits: func() acceptor.Limits { return acceptor.Limits{IdleTimeout: idle} }}, long)
	slow := s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n") // It reads nothing.

	x, stop := context.WithCancel(t.Context())
	defer stop()

	go func() {
		for x.Err() == nil {
			s.Sweep()
			time.Sleep(idle / 10)
		}
	}()

	r := answer(t, slow)

	for n := 0; n < longBody; {
		k, err := r.Body.Read(make([]byte, 64<<10))
		n += k

		if err != nil {
			i.Equal(err, io.EOF)
			i.Equal(n, longBody)
		}

		time.Sleep(idle / 30)
	}

	waiter.Until(t, "the end of the connection that reads nothing", func() bool { return s.Open() <= 1 })
}

// Guards against a slow body that is cut off although it goes on to arrive.
func TestSlowBodyIsRead(t *testing.T) {
	const idle, interval, bytes = 300 * time.Millisecond, 30 * time.Millisecond, 40

	i := is.New(t)
	s := start(t, acceptor.Settings{Limits: func() acceptor.Limits { return acceptor.Limits{IdleTimeout: idle} }}, func(w http.ResponseWriter, r *http.Request) {
		if b, err := io.ReadAll(r.Body); err != nil || len(b) != bytes {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	c := s.send(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes))

	for range bytes {
		s.Sweep()

		_, err := io.WriteString(c, "x")
		i.NoErr(err)
		time.Sleep(interval)
	}

	i.Equal(answer(t, c).StatusCode, http.StatusOK)
}

// Guards against bodies that stop and hold their calls.
func TestStoppedBodyIsEnded(t *testing.T) {
	i := is.New(t)
	s := start(t, acceptor.Settings{Limits: func() acceptor.Limits { return acceptor.Limits{IdleTimeout: time.Millisecond} }}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	c := s.send(head + "Content-Length: 2\r\n\r\nx")

	x, stop := context.WithCancel(t.Context())
	defer stop()

	go func() {
		for x.Err() == nil {
			s.Sweep()
			time.Sleep(time.Millisecond)
		}
	}()

	i.Equal(answer(t, c).StatusCode, http.StatusRequestTimeout)
	i.True(isEnded(c))
}

// Guards against a readiness check that finds no connection because strangers hold them all.
func TestNewConnectionReplacesTheOldest(t *testing.T) {
	const most = 3

	i := is.New(t)
	s := start(t, acceptor.Settings{Most: func() int { return most }, Replace: true}, refuse)

	var l []net.Conn
	for range 4 * most {
		l = append(l, s.dial())
	}

	for range 3 {
		i.Equal(answer(t, s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")).StatusCode, http.StatusNotFound)
	}

	i.True(isEnded(l[0]))
	i.True(s.Open() <= most)
}

// Guards against calls that are ended to make room: only connections that wait for their clients give way.
func TestRoomIsMadeByThoseThatWait(t *testing.T) {
	i := is.New(t)
	release := make(chan struct{})
	o := acceptor.NewReporter()
	s := start(t, acceptor.Settings{Reporter: o}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			<-release
		} else if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	running := s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	idle := s.dial()
	stopped := s.send(head + "Content-Length: 2\r\n\r\nx")

	waiter.Until(t, "the connections", func() bool { return s.Open() == 3 })

	const wait = 2500 * time.Millisecond

	time.Sleep(wait)
	i.Equal(s.FreeMemory(), 1)
	i.Equal(s.MakeRoom(), 0) // It was done just now.
	i.Equal(answer(t, stopped).StatusCode, http.StatusRequestTimeout)
	i.NoErr(stopped.Close())
	waiter.Until(t, "the end of the refused request", func() bool { return s.Open() == 2 })
	time.Sleep(wait / 10)
	i.Equal(s.MakeRoom(), 1)
	i.Equal(o.Count(acceptor.Memory), 1)
	i.Equal(o.Count(acceptor.Room), 1)
	i.True(isEnded(idle))
	i.Equal(s.MakeRoom(), 0)
	close(release)
	i.Equal(answer(t, running).StatusCode, http.StatusOK)
}

// Guards against connections over TLS that the rule does not apply to.
func TestEncryptedConnections(t *testing.T) {
	i := is.New(t)
	x := httptest.NewUnstartedServer(http.HandlerFunc(refuse))
	a := acceptor.New(acceptor.Settings{
		Most: func() int { return 10 }, Encrypted: true, Limits: func() acceptor.Limits { return acceptor.Limits{} },
	})
	x.Config.ReadHeaderTimeout = testTimeout
	x.Listener = a.Listen(x.Listener)
	a.Serve(x.Config)
	x.StartTLS()
	t.Cleanup(x.Close)

	c, err := tls.Dial("tcp", x.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	i.NoErr(err)
	i.NoErr(c.SetDeadline(time.Now().Add(testTimeout)))

	for range 2 {
		_, err = io.WriteString(c, head+"Content-Length: 1\r\n\r\nx")
		i.NoErr(err)
		i.Equal(answer(t, c).StatusCode, http.StatusNotFound)
	}

	_, err = io.WriteString(c, head+"Content-Length: 60000\r\n\r\n")
	i.NoErr(err)
	i.Equal(answer(t, c).StatusCode, http.StatusNotFound)
	i.True(isEnded(c))
	waiter.Until(t, "the end of the connection", func() bool { return a.Open() == 0 })
}

// Guards against heads whose memory nobody counts, as they arrive with the request before them.
func TestHeadBehindRequestIsReserved(t *testing.T) {
	// usualFields are no more than the fields that take what every head may take.
	const fieldCount, fieldBytes, usualFields = 700, 256, 140

	i := is.New(t)
	m := accountant.New(128 << 20)
	release := make(chan struct{})
	s := start(t, acceptor.Settings{Memory: m}, func(_ http.ResponseWriter, r *http.Request) {
		if len(r.Header) > 0 {
			<-release
		}
	})
	c := s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:b\r\n", fieldCount) + "\r\n")
	waiter.Until(t, "the reservation", func() bool { return m.Held(accountant.Head) > (fieldCount-usualFields)*fieldBytes })
	close(release)

	b := bufio.NewReader(c)
	for range 2 {
		r, err := http.ReadResponse(b, nil)
		i.NoErr(err)
		i.Equal(r.StatusCode, http.StatusOK)
	}

	waiter.Until(t, "the release", func() bool { return m.Held(accountant.Head) == 0 })
}

// Guards against HTTP/2 whose heads nobody counts, and whose uploads are taken for heads that are too long.
func TestSharedConnections(t *testing.T) {
	// usualFields are no more than the fields that take what every head may take.
	const requests, fieldCount, fieldBytes, usualFields = 20, 300, 256, 140

	i := is.New(t)
	m := accountant.New(128 << 20)
	release := make(chan struct{})
	x := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upload") == "" {
			<-release
		}

		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || r.ProtoMajor != 2 {
			w.WriteHeader(http.StatusBadRequest)
		}

		_, _ = fmt.Fprint(w, n)
	}))
	a := acceptor.New(acceptor.Settings{
		Most: func() int { return 10 }, Encrypted: true, Memory: m, Limits: func() acceptor.Limits { return acceptor.Limits{} },
	})
	x.Config.ReadHeaderTimeout = testTimeout
	x.Listener = a.Listen(x.Listener)
	a.Serve(x.Config)
	x.EnableHTTP2 = true
	x.StartTLS()
	t.Cleanup(x.Close)

	post := func(h http.Header, length int) string {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, x.URL, strings.NewReader(strings.Repeat("x", length)))
		if err != nil {
			return err.Error()
		}

		q.Header = h

		r, err := x.Client().Do(q)
		if err != nil {
			return err.Error()
		}
		defer r.Body.Close() //nolint:errcheck // It was read.

		b, _ := io.ReadAll(r.Body) // What is missing shows in the result.

		return fmt.Sprint(r.StatusCode, " ", string(b))
	}

	for range 3 {
		i.Equal(post(http.Header{"Upload": {"x"}}, longBody), fmt.Sprint("200 ", longBody))
	}

	h := make(http.Header)
	for n := range fieldCount {
		h[fmt.Sprintf("A%x", n)] = []string{"b"}
	}

	var g sync.WaitGroup
	for range requests {
		g.Go(func() {
			if o := post(h.Clone(), 0); o != "200 0" {
				t.Error(o)
			}
		})
	}

	waiter.Until(t, "the reservations", func() bool {
		return m.Held(accountant.Head) >= requests*(fieldCount-usualFields)*fieldBytes
	})
	close(release)
	g.Wait()
	waiter.Until(t, "the release", func() bool { return m.Held(accountant.Head) == 0 })
}

// Guards against a reservation that is less than what a field takes: in the parsed head, and in the copy that is forwarded.
func TestFieldsTakeNoMoreThanReserved(t *testing.T) {
	const heads, fieldCount, fieldBytes = 50, 4000, 256

	for name, field := range map[string]func(n int) string{
		"names of their own": func(n int) string { return fmt.Sprintf("a%x:b\r\n", n) },
		"one name":           func(int) string { return "a:b\r\n" },
		"no value":           func(n int) string { return fmt.Sprintf("a%x:\r\n", n) },
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			var b strings.Builder

			b.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")

			for n := range fieldCount {
				b.WriteString(field(n))
			}

			b.WriteString("\r\n")

			held := make([]http.Header, 0, 2*heads)
			before := heapBytes()

			for range heads {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(b.String())))
				i.NoErr(err)

				held = append(held, r.Header, r.Header.Clone())
			}

			n := (heapBytes() - before) / (heads * fieldCount)
			t.Logf("%d bytes a field", n)
			i.True(n <= fieldBytes)
			runtime.KeepAlive(held)
		})
	}
}

// heapBytes returns the memory of the objects that are in use.
func heapBytes() int64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}

// Guards against shares of the descriptors that together exceed them, and against a fleet whose instances can't all connect.
func TestDescriptors(t *testing.T) {
	for name, x := range map[string]struct {
		descriptors acceptor.Descriptors
		callers     int
	}{
		"the users' machines": {4200, 1750},
		"few":                 {300, 100},
		"very few":            {60, 20},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := x.descriptors
			i.Equal(d.Callers(0, 1<<40), x.callers)

			others := d.Peers() + d.Delegates() + d.Checks() + d.Metrics()
			i.True(others+2*d.Callers(others, 1<<40) < int(d))
		})
	}

	i := is.New(t)
	i.True(acceptor.Descriptors(4200).Peers() > 986)
	i.Equal(acceptor.Descriptors(4200).Callers(0, 32<<20), 1024) // Half of the memory.
}

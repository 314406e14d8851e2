package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/selector"
)

// dialect is a way of speaking for the tests.
type dialect struct{}

func (dialect) Read(h http.Header) (forwarder.Call, error) {
	n, _ := strconv.Atoi(h.Get("Patience-Ms"))

	c := forwarder.Call{
		ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last"),
		Patience: time.Duration(n) * time.Millisecond,
	}

	if p := h.Get("Prompt"); p != "" {
		c.Prompt.Parts = []forwarder.Part{{ID: p, Tokens: 100}}
	}

	return c, nil
}

func (dialect) Write(h http.Header, o forwarder.Orders) {
	h.Del("Key")
	h.Set("Incarnation", o.Incarnation)
	h.Set("Customer", o.Customer)
	h.Set("Left-Ms", strconv.FormatInt(o.Left.Milliseconds(), 10))

	h.Set("Late", strconv.FormatBool(o.Late))

	if o.LastEvent != "" {
		h.Set("Last", o.LastEvent)
	}
}

func (dialect) Answer(h http.Header, status int) forwarder.Reply {
	o := forwarder.Reply{
		ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Sealed: h.Get("Seal") != "",
		Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != "",
	}

	if n, err := strconv.Atoi(h.Get("Rest-Ms")); err == nil {
		o.Rest = time.Duration(n) * time.Millisecond
	}

	if n, err := strconv.Atoi(h.Get("Running")); err == nil {
		o.Running, o.Slots = n, 8
	}

	return o
}

// seen is a call as it reached a target.
type seen struct {
	target string
	path   string
	header http.Header
	body   string
	gone   chan struct{}
}

// target answers each call that reaches it with bytes of its own making.
type target struct {
	id     string
	answer func(n net.Conn, s seen)

	listener net.Listener

	mu    sync.Mutex
	calls []seen
}

// end makes the target's address refuse connections, as when its process is gone.
func (x *target) end() { _ = x.listener.Close() }

// serve takes connections until the test ends.
func (x *target) serve(t testing.TB) netip.AddrPort { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	x.listener = l

	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}

			go x.connection(n)
		}
	}()

	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (x *target) connection(n net.Conn) {
	defer n.Close() //nolint:errcheck // The test's own.

	r := bufio.NewReader(n)

	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		b, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}

		s := seen{target: x.id, path: q.RequestURI, header: q.Header, body: string(b), gone: make(chan struct{})}

		x.mu.Lock()
		x.calls = append(x.calls, s)
		x.mu.Unlock()

		done := make(chan struct{})

		go func() {
			defer close(done)

			// Whoever waits for the answer sends nothing; the read ends when it left.
			if _, err := r.Peek(1); err != nil {
				close(s.gone)
			}
		}()

		x.answer(n, s)
		<-done
	}
}

func (x *target) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()

	return len(x.calls)
}

// ok is an answer with a proof and a whole body.
func ok(n net.Conn, s seen) {
	reply(n, s, "200 OK", "from "+s.target, "Seal: "+s.target)
}

func reply(n net.Conn, s seen, status, body string, headers ...string) {
	h := append([]string{"Id: " + s.header.Get("Id"), "Content-Length: " + strconv.Itoa(len(body))}, headers...)
	_, _ = fmt.Fprintf(n, "HTTP/1.1 %s\r\n%s\r\n\r\n%s", status, strings.Join(h, "\r\n"), body)
}

// event is the text of an event of a stream.
func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
}

// begin sends the headers of a stream in chunks.
func begin(n net.Conn, s seen) {
	_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nTransfer-Encoding: chunked\r\n\r\n", s.header.Get("Id"), s.target)
}

func chunk(n net.Conn, v string) {
	_, _ = fmt.Fprintf(n, "%x\r\n%s\r\n", len(v), v)
}

func finish(n net.Conn) {
	_, _ = io.WriteString(n, "0\r\n\r\n")
}

// reset ends a connection without its usual end.
func reset(n net.Conn) {
	_ = n.(*net.TCPConn).SetLinger(0)
	_ = n.Close()
}

// facts are what the forwarder knows.
type facts struct {
	catalog *cataloger.Catalog
	// known is what Known returns where learn was called.
	known   chan struct{}
	mu      sync.Mutex
	roster  *enroller.Roster
	stale   bool
	stalled bool
	// leave is called with processes that said that they leave.
	leave func(p enroller.Process) bool
	// others is how many instances there are besides.
	others int
}

func (f *facts) Catalog() *cataloger.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.catalog
}

// learn sets the catalog; nil for none yet.
func (f *facts) learn(c *cataloger.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.catalog = c

	if c == nil {
		f.known = make(chan struct{})
	} else if f.known != nil {
		close(f.known)
	}
}

func (f *facts) Fresh() bool                   { return !f.stale }
func (f *facts) Leave(p enroller.Process) bool { return f.leave(p) }
func (f *facts) Instances() int                { return 1 + f.others }
func (f *facts) Stalled(time.Time) bool        { return f.stalled }

func (f *facts) Roster() *enroller.Roster {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.roster
}

func (f *facts) Known() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.known != nil {
		return f.known
	}

	c := make(chan struct{})
	if f.catalog != nil {
		close(c)
	}

	return c
}

// rules are one of each kind.
func rules() []cataloger.Rule {
	l := []cataloger.Rule{
		{Name: "once", Prefix: "/once/", Kind: cataloger.Once, Attempts: 2},
		{Name: "again", Prefix: "/again/", Kind: cataloger.Idempotent, Attempts: 2, Latency: 200 * time.Millisecond},
		{Name: "stream", Prefix: "/stream/", Kind: cataloger.Stream, Attempts: 2},
		{Name: "resumable", Prefix: "/resumable/", Kind: cataloger.Stream, Resumable: true, Attempts: 3, Latency: 200 * time.Millisecond, Pause: 50 * time.Millisecond},
		{Name: "lined", Prefix: "/lined/", Kind: cataloger.Stream, Attempts: 1, Latency: 50 * time.Millisecond},
		{Name: "open", Prefix: "/open/", Kind: cataloger.Once, Public: true, Attempts: 1},
	}
	for i := range l {
		l[i].Host = "app.example"
		l[i].Shares = []cataloger.Share{{Group: "g", Weight: 1}}
		l[i].Longest = time.Second
	}

	return l
}

// gateway is a forwarder before targets.
type gateway struct {
	*httptest.Server

	facts     *facts
	forwarder *forwarder.Forwarder
	enroller  *enroller.Enroller
}

// list changes the list of targets.
func (g *gateway) list(l ...enroller.Target) {
	g.change(func(e *enroller.Enroller) {
		for _, x := range l {
			e.Set(x)
		}
	})
}

// leave notes that a process said that it leaves.
func (g *gateway) leave(p enroller.Process) bool {
	var o bool

	g.change(func(e *enroller.Enroller) { o = e.Leave(time.Now(), p) })

	return o
}

// change changes what is known of the targets.
func (g *gateway) change(u func(e *enroller.Enroller)) {
	g.facts.mu.Lock()
	u(g.enroller)

	r := g.enroller.Roster()
	g.facts.roster = r
	g.facts.mu.Unlock()

	g.forwarder.Forget(r)
}

// restarted is a target's entry after it has started again.
func (g *gateway) restarted(id string) enroller.Target {
	x := *g.facts.Roster().Known[id]
	x.Start = x.Start.Add(time.Second)

	return x
}

// front starts a forwarder. Calls reach the first target first.
func front(t testing.TB, l ...*target) *gateway { //nolint:thelper // As above.
	t.Helper()

	return frontBy(t, &net.Dialer{}, l...)
}

// frontBy is front with a way to make connections.
func frontBy(t testing.TB, d forwarder.Dialer, l ...*target) *gateway { //nolint:thelper // As above.
	t.Helper()
	logrus.SetLevel(logrus.FatalLevel)

	c, err := cataloger.New(cataloger.Document{
		Version: 1, Rules: rules(), Groups: []cataloger.Group{{Name: "g"}},
		Customers: []cataloger.Customer{{Name: "customer-1", Keys: []string{"key-1"}}},
		Limits:    cataloger.Limits{Body: 1000, Header: 1000},
	})
	if err != nil {
		t.Fatal(err)
	}

	e := enroller.New(enroller.DefaultSettings())

	for i, x := range l {
		x.id = "t" + strconv.Itoa(i)
		// The nearer one has fewer slots, and is still chosen first.
		e.Set(enroller.Target{
			ID: x.id, Group: "g", Address: x.serve(t), DataCentre: "dc" + strconv.Itoa(i), Slots: 8, Start: time.UnixMilli(1_700_000_000_000),
		})
	}

	f := &facts{catalog: c, roster: e.Roster()}
	x, stop := forwarder.New(forwarder.Settings{
		DataCentre: "dc0", Patience: time.Second, MaxBody: 1000, Regions: map[string]string{"dc0": "r0", "dc1": "r1"},
	}, dialect{}, f,
		noop.NewTracerProvider().Tracer(""), meter.New(), d, selector.New(selector.DefaultSettings()),
		budgeter.New(budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}, time.Now()))
	s := httptest.NewServer(x)

	t.Cleanup(func() {
		s.Close()
		stop()
	})

	g := &gateway{Server: s, facts: f, forwarder: x, enroller: e}
	f.leave = g.leave

	return g
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set when the answer did not come whole.
	err error
}

// call sends a call with a key.
func (g *gateway) call(t testing.TB, method, path, body string, headers ...string) answer { //nolint:thelper // As above.
	t.Helper()

	return g.callWith(t, t.Context(), method, path, body, headers...)
}

func (g *gateway) callWith(t testing.TB, c context.Context, method, path, body string, headers ...string) answer { //nolint:thelper // As above.
	t.Helper()

	q, err := http.NewRequestWithContext(c, method, g.URL+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}

	q.Host = "app.example"
	q.Header.Set("Id", "call-1")
	q.Header.Set("Key", "key-1")

	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}

	r, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(q)
	if err != nil {
		return answer{err: err}
	}

	defer r.Body.Close() //nolint:errcheck // Read below.

	b, err := io.ReadAll(r.Body)

	return answer{status: r.StatusCode, header: r.Header, body: string(b), err: err}
}

package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/selector"
)

// dialect is a simple forwarder.Dialect for the tests.
type dialect struct{}

func (dialect) ReadCall(h http.Header) (forwarder.Call, error) {
	n, _ := strconv.Atoi(h.Get("Patience-Ms"))

	c := forwarder.Call{
		ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last"), Resumes: h.Get("Begun-By"),
		Timeout: time.Duration(n) * time.Millisecond,
	}

	for p := range strings.FieldsFuncSeq(h.Get("Prompt"), func(r rune) bool { return r == ',' }) {
		c.Prompt.Parts = append(c.Prompt.Parts, forwarder.Part{ID: p, Tokens: 100})
	}

	return c, nil
}

func (dialect) WriteAttempt(h http.Header, o forwarder.AttemptInfo) {
	h.Del("Key")
	h.Set("Incarnation", o.Incarnation)
	h.Set("Customer", o.Customer)
	h.Set("Left-Ms", strconv.FormatInt(o.Remaining.Milliseconds(), 10))

	h.Set("Late", strconv.FormatBool(o.Late))

	if o.LastEvent != "" {
		h.Set("Last", o.LastEvent)
	}
}

func (dialect) ReadReply(h http.Header, status int) forwarder.Reply {
	o := forwarder.Reply{
		ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Sealed: h.Get("Seal") != "",
		Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != "",
	}

	if n, err := strconv.Atoi(h.Get("Rest-Ms")); err == nil {
		o.Backoff = time.Duration(n) * time.Millisecond
	}

	if n, err := strconv.Atoi(h.Get("Brittle")); err == nil {
		o.Brittle, o.MaxRefusals = true, n
	}

	if n, err := strconv.Atoi(h.Get("Running")); err == nil {
		o.Running, o.Slots = n, 8
	}

	return o
}

// received is a call as it reached a target. The channel closed is closed when the gateway closes
// the connection.
type received struct {
	at     time.Time
	target string
	path   string
	header http.Header
	body   string
	closed chan struct{}
}

// target is a fake target that answers each call with raw bytes.
type target struct {
	id     string
	answer func(n net.Conn, s received)
	// early is called in place of answer, if it is set, as soon as the head of a call has arrived. The connection is closed after it.
	early func(n net.Conn, s received)

	listener net.Listener

	mu    sync.Mutex
	calls []received
}

// refuseConnections closes the target's listener, as when its process has crashed.
func (x *target) refuseConnections() { _ = x.listener.Close() }

// listen accepts connections until the test ends and returns the address.
func (x *target) listen(t testing.TB) netip.AddrPort { //nolint:thelper // One letter, as in all code here.
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

			go x.serveConn(n)
		}
	}()

	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (x *target) serveConn(n net.Conn) {
	defer n.Close() //nolint:errcheck // A connection of the test itself.

	r := bufio.NewReader(n)

	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		s := received{at: time.Now(), target: x.id, path: q.RequestURI, header: q.Header, closed: make(chan struct{})}

		if x.early != nil {
			x.record(s)
			x.early(n, s)

			return
		}

		b, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}

		s.body = string(b)
		x.record(s)

		done := make(chan struct{})

		go func() {
			defer close(done)

			// The gateway sends nothing while it waits for the answer, so the read ends when
			// the gateway closes the connection.
			if _, err := r.Peek(1); err != nil {
				close(s.closed)
			}
		}()

		x.answer(n, s)
		<-done
	}
}

func (x *target) record(s received) {
	x.mu.Lock()
	defer x.mu.Unlock()

	x.calls = append(x.calls, s)
}

func (x *target) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()

	return len(x.calls)
}

// arrivals returns the times at which calls arrived, in order.
func (x *target) arrivals() []time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()

	var o []time.Time
	for _, s := range x.calls {
		o = append(o, s.at)
	}

	return o
}

// unboundedDialer makes connections without a time-out, so that a busy machine fails no dial.
type unboundedDialer struct{ net.Dialer }

func (d *unboundedDialer) DialContext(c context.Context, network, address string) (net.Conn, error) {
	return d.Dialer.DialContext(context.WithoutCancel(c), network, address)
}

// answerOK answers in full, with a seal.
func answerOK(n net.Conn, s received) {
	reply(n, s, "200 OK", "from "+s.target, "Seal: "+s.target)
}

func reply(n net.Conn, s received, status, body string, headers ...string) {
	h := append([]string{"Id: " + s.header.Get("Id"), "Content-Length: " + strconv.Itoa(len(body))}, headers...)
	_, _ = fmt.Fprintf(n, "HTTP/1.1 %s\r\n%s\r\n\r\n%s", status, strings.Join(h, "\r\n"), body)
}

// event returns the text of a stream event.
func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
}

// beginStream sends the headers of a chunked stream.
func beginStream(n net.Conn, s received) {
	_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nTransfer-Encoding: chunked\r\n\r\n", s.header.Get("Id"), s.target)
}

func chunk(n net.Conn, v string) {
	_, _ = fmt.Fprintf(n, "%x\r\n%s\r\n", len(v), v)
}

func finishStream(n net.Conn) {
	_, _ = io.WriteString(n, "0\r\n\r\n")
}

// reset closes a connection with a TCP reset.
func reset(n net.Conn) {
	_ = n.(*net.TCPConn).SetLinger(0)
	_ = n.Close()
}

// clusterState is a forwarder.ClusterState that the tests set.
type clusterState struct {
	catalog *cataloger.Catalog
	// synced is what Synced returns once setCatalog has been called.
	synced   chan struct{}
	mu       sync.Mutex
	registry *discoverer.Registry
	stale    bool
	stalled  bool
	// markLeaving is called with processes that announced their shutdown.
	markLeaving func(p discoverer.Process) bool
	// otherInstances is the number of instances besides the tested one.
	otherInstances int
}

func (f *clusterState) Catalog() *cataloger.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.catalog
}

// setCatalog sets the catalog; nil means that none is known yet.
func (f *clusterState) setCatalog(c *cataloger.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.catalog = c

	if c == nil {
		f.synced = make(chan struct{})
	} else if f.synced != nil {
		close(f.synced)
	}
}

func (f *clusterState) Fresh() bool                           { return !f.stale }
func (f *clusterState) MarkLeaving(p discoverer.Process) bool { return f.markLeaving(p) }
func (f *clusterState) Instances() int                        { return 1 + f.otherInstances }
func (f *clusterState) Stalled(time.Time) bool                { return f.stalled }

func (f *clusterState) Registry() *discoverer.Registry {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.registry
}

func (f *clusterState) Synced() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.synced != nil {
		return f.synced
	}

	c := make(chan struct{})
	if f.catalog != nil {
		close(c)
	}

	return c
}

// rules returns a rule of each kind, and an idempotent one without a latency objective, whose slow
// attempts are not abandoned.
func rules() []cataloger.Rule {
	l := []cataloger.Rule{
		{Name: "once", Prefix: "/once/", Kind: cataloger.Once, Attempts: 2},
		{Name: "idempotent", Prefix: "/idempotent/", Kind: cataloger.Idempotent, Attempts: 2, Latency: 200 * time.Millisecond},
		{Name: "no objective", Prefix: "/no-objective/", Kind: cataloger.Idempotent, Attempts: 2},
		{Name: "stream", Prefix: "/stream/", Kind: cataloger.Stream, Attempts: 2},
		{Name: "resumable", Prefix: "/resumable/", Kind: cataloger.Stream, Resumable: true, Attempts: 3, Latency: 200 * time.Millisecond, MaxEventGap: 50 * time.Millisecond},
		{Name: "queued", Prefix: "/queued/", Kind: cataloger.Stream, Attempts: 1, Latency: 50 * time.Millisecond},
		{Name: "public", Prefix: "/public/", Kind: cataloger.Once, Public: true, Attempts: 1},
	}
	for i := range l {
		l[i].Host = "app.example"
		l[i].Shares = []cataloger.Share{{Group: "g", Weight: 1}}
		l[i].Timeout = time.Second
	}

	return l
}

// gateway is a forwarder in front of fake targets.
type gateway struct {
	*httptest.Server

	state      *clusterState
	forwarder  *forwarder.Forwarder
	discoverer *discoverer.Discoverer
}

// setTargets adds or replaces targets in the list.
func (g *gateway) setTargets(l ...discoverer.Target) {
	g.update(func(e *discoverer.Discoverer) {
		for _, x := range l {
			e.Set(x)
		}
	})
}

// markLeaving records that a process announced its shutdown.
func (g *gateway) markLeaving(p discoverer.Process) bool {
	var o bool

	g.update(func(e *discoverer.Discoverer) { o = e.MarkLeaving(time.Now(), p) })

	return o
}

// update changes the registry and prunes the forwarder's state accordingly.
func (g *gateway) update(u func(e *discoverer.Discoverer)) {
	g.state.mu.Lock()
	u(g.discoverer)

	r := g.discoverer.Registry()
	g.state.registry = r
	g.state.mu.Unlock()

	g.forwarder.Prune(r)
}

// restarted returns a target's entry after a restart of its process.
func (g *gateway) restarted(id string) discoverer.Target {
	x := *g.state.Registry().Known[id]
	x.Start = x.Start.Add(time.Second)

	return x
}

// newGateway starts a gateway in front of the given targets. It prefers the first one.
func newGateway(t testing.TB, l ...*target) *gateway { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	return newGatewayWithDialer(t, &net.Dialer{}, l...)
}

// newGatewayWithDialer is newGateway with a dialer for the connections to targets.
func newGatewayWithDialer(t testing.TB, d forwarder.Dialer, l ...*target) *gateway { //nolint:thelper // One letter, as in all code here.
	t.Helper()
	logrus.SetLevel(logrus.FatalLevel)

	c, err := cataloger.New(cataloger.Document{
		Version: 1, Rules: rules(), Groups: []cataloger.Group{{Name: "g"}},
		Customers: []cataloger.Customer{{Name: "customer-1", Keys: []string{"key-1"}}},
		Limits:    cataloger.Limits{MaxBody: 1000, MaxHeader: 1000},
	})
	if err != nil {
		t.Fatal(err)
	}

	e := discoverer.New(discoverer.DefaultSettings())

	for i, x := range l {
		x.id = "t" + strconv.Itoa(i)
		// Only the first target is in the gateway's data centre, so it is selected first.
		e.Set(discoverer.Target{
			ID: x.id, Group: "g", Address: x.listen(t), DataCentre: "dc" + strconv.Itoa(i), Slots: 8, Version: "v1", Start: time.UnixMilli(1_700_000_000_000),
		})
	}

	f := &clusterState{catalog: c, registry: e.Registry()}
	x := newForwarder(t, f, d)
	s := httptest.NewServer(x)
	t.Cleanup(s.Close)

	g := &gateway{Server: s, state: f, forwarder: x, discoverer: e}
	f.markLeaving = g.markLeaving

	return g
}

// newForwarder returns a forwarder with a dialer for the connections to targets.
func newForwarder(t testing.TB, f *clusterState, d forwarder.Dialer) *forwarder.Forwarder { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	x, stop := forwarder.New(forwarder.Settings{
		DataCentre: "dc0", DefaultTimeout: time.Second, MaxBody: 1000, Regions: map[string]string{"dc0": "r0", "dc1": "r1"},
	}, dialect{}, f,
		noop.NewTracerProvider().Tracer(""), meter.New(), d, selector.New(selector.DefaultSettings()),
		// The instance has been running long enough to have earned repeats.
		budgeter.New(budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}, time.Now().Add(-10*time.Second), rand.New(rand.NewPCG(1, 1))))
	t.Cleanup(stop)

	return x
}

// answer is what the caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if the answer was incomplete.
	err error
}

// call sends a call with a valid key.
func (g *gateway) call(t testing.TB, method, path, body string, headers ...string) answer { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	return g.callWith(t, t.Context(), method, path, body, headers...)
}

func (g *gateway) callWith(t testing.TB, c context.Context, method, path, body string, headers ...string) answer { //nolint:thelper // One letter, as in all code here.
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

package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/internal/router"
	"github.com/auburntray/auburntray/internal/standin/engine"
	"github.com/auburntray/auburntray/internal/standin/platform"
	"github.com/auburntray/auburntray/internal/standin/service"
	"github.com/auburntray/auburntray/internal/standin/waiter"
	"github.com/auburntray/auburntray/pkg/publisher"
)

// fleet is a few routers with their targets and the platform, in one process on
// real sockets.
type fleet struct {
	t        *testing.T
	platform *platform.Platform
	address  netip.AddrPort
	engines  []*engine.Engine
	services []*service.Service
	targets  map[string]any
	nodes    []*node
	network  *network
}

// node is one router.
type node struct {
	app     *fx.App
	router  *router.Router
	url     string
	peer    netip.AddrPort
	stopped bool
}

func newFleet(t *testing.T, engines, services int) *fleet {
	t.Helper()
	logrus.SetLevel(logrus.FatalLevel)

	f := &fleet{t: t, platform: platform.New(platform.Settings{Retention: time.Hour, AppendsPerSecond: 10000}), targets: make(map[string]any), network: newNetwork()}
	f.address = f.serve(f.platform.Handler())

	for n := range engines {
		e, stop, err := engine.New(engine.Settings{
			Name: fmt.Sprintf("e%d", n), Slots: 16, CacheTokens: 100000, TokenInterval: 5 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}

		t.Cleanup(stop)

		f.engines = append(f.engines, e)
		f.target(fmt.Sprintf("e%d", n), "engine", f.serve(e.Handler()))
	}

	for n := range services {
		s := service.New(service.Settings{Name: fmt.Sprintf("s%d", n), Latency: 5 * time.Millisecond})
		f.services = append(f.services, s)
		f.target(fmt.Sprintf("s%d", n), "service", f.serve(s.Handler()))
	}

	f.publish(0)

	return f
}

func (f *fleet) serve(h http.Handler) netip.AddrPort {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = nil
	s.Start()
	f.t.Cleanup(s.CloseClientConnections)
	f.t.Cleanup(s.Close)

	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func (f *fleet) target(name, kind string, a netip.AddrPort) {
	f.targets[name] = map[string]any{
		"address": a.String(), "kind": kind, "region": "r", "dataCentre": "dc-1", "capacity": 16,
		"labels": map[string]string{"app": kind},
	}
	f.network.place(a, "dc-1")
}

// move puts a target into another data centre.
func (f *fleet) move(name, centre string) {
	f.t.Helper()

	x, _ := f.targets[name].(map[string]any)
	x["dataCentre"] = centre
	a, _ := x["address"].(string)
	f.network.place(netip.MustParseAddrPort(a), centre)
}

// publish publishes the fleet's targets on a base and returns the revision.
func (f *fleet) publish(base uint64) uint64 {
	f.t.Helper()

	b, err := json.Marshal(map[string]any{
		"targets": f.targets, "customers": map[string]any{"c": map[string]any{}},
		"rules": map[string]any{
			"chats": map[string]any{"order": 1, "pathPrefix": "/v1/", "targets": "app=engine", "repeatable": true},
			"reads": map[string]any{"order": 2, "traffic": "method=GET", "targets": "app=service", "repeatable": true},
			"books": map[string]any{"order": 3, "targets": "app=service"},
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}

	p, stop := publisher.New(f.address, "ops")
	defer stop()

	r, err := p.Publish(f.t.Context(), publisher.Request{Document: b, Base: base, Author: "test"})
	if err != nil || r.Outcome != publisher.Accepted {
		f.t.Fatal(r.Outcome, err)
	}

	return r.Revision
}

// add starts a router in a data centre and waits until it serves.
func (f *fleet) add(centre string) *node {
	f.t.Helper()

	n := f.start(centre)
	waiter.Until(f.t, "the revision", func() bool { return n.metric(counter.Revision) > 0 })

	return n
}

func (f *fleet) start(centre string) *node {
	f.t.Helper()

	return f.startWith(centre, func(*resolver.Router) {})
}

// startWith starts a router with changed settings.
func (f *fleet) startWith(centre string, change func(*resolver.Router)) *node {
	f.t.Helper()

	s := resolver.Router{}
	if err := s.Read(nil); err != nil {
		f.t.Fatal(err)
	}

	s.Region, s.DataCentre, s.Platform = "r", centre, f.address
	s.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	s.Peer = s.Listen
	s.DrainNotice = 100 * time.Millisecond
	s.AskTimeout = time.Second

	for _, o := range f.nodes {
		s.Seeds = append(s.Seeds, o.peer)
	}

	change(&s)

	n := &node{}

	var m router.Peer

	n.app = fx.New(router.Options(s), fx.Populate(&n.router, &m), fx.Decorate(func() router.Dialer { return f.network.from(centre) }))
	if err := n.app.Err(); err != nil {
		f.t.Fatal(err)
	}

	// It is dialled as soon as it starts, so its place is noted before.
	n.peer = netip.AddrPort(m)
	f.network.place(n.peer, centre)

	if err := n.app.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}

	n.url = "http://" + n.router.Address().String()
	f.nodes = append(f.nodes, n)
	f.t.Cleanup(func() { f.stop(n) })

	return n
}

func (f *fleet) stop(n *node) {
	if n.stopped {
		return
	}

	n.stopped = true

	c, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()

	if err := n.app.Stop(c); err != nil {
		f.t.Error(err)
	}
}

// together waits until the routers know each other.
func (f *fleet) together() {
	f.t.Helper()
	waiter.Until(f.t, "the acquaintance of all routers", func() bool {
		for _, n := range f.nodes {
			if n.metric(counter.Routers) != int64(len(f.nodes)) {
				return false
			}
		}

		return true
	})
}

// dead returns an address where nothing listens.
func (f *fleet) dead() netip.AddrPort {
	s := httptest.NewServer(nil)
	s.Close()

	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// list tells the platform's list of a target.
func (f *fleet) list(i recorder.Instance) {
	f.t.Helper()

	r, stop := recorder.New(f.address, "dc-1")
	defer stop()

	if err := r.Register(f.t.Context(), i); err != nil {
		f.t.Fatal(err)
	}
}

func (n *node) metric(x counter.Name) int64 { return n.router.Counter().Get(x) }

// response is an answer as its caller sees it. Err is set when the connection
// ended before the answer.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r response) outcome() string { return r.header.Get(exchanger.HeaderOutcome) }

func (n *node) do(c context.Context, method, path, key, body string) response {
	q, err := http.NewRequestWithContext(c, method, n.url+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{err: err}
	}

	q.Header.Set(exchanger.HeaderCustomer, "c")

	if key != "" {
		q.Header.Set(exchanger.HeaderKey, key)
	}

	r, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(q)
	if err != nil {
		return response{err: err, header: http.Header{}}
	}

	defer func() { _ = r.Body.Close() }()

	b, err := io.ReadAll(r.Body)

	return response{status: r.StatusCode, header: r.Header, body: string(b), err: err}
}

// chat sends a chat completion and returns the answer's text.
func (n *node) chat(c context.Context, question string, tokens int, stream bool) response {
	b, err := json.Marshal(map[string]any{
		"model": "m", "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": question}},
	})
	if err != nil {
		return response{err: err}
	}

	return n.do(c, http.MethodPost, "/v1/chat/completions", "", string(b))
}

// text joins the parts of a streamed answer, and says whether it has an end.
func text(events string) (string, bool) {
	var b strings.Builder

	for _, l := range strings.Split(events, "\n") {
		d, ok := strings.CutPrefix(l, "data: ")
		if !ok {
			continue
		}

		if d == "[DONE]" {
			return b.String(), true
		}

		var x struct {
			Choices []struct{ Delta struct{ Content string } }
		}

		_ = json.Unmarshal([]byte(d), &x)

		for _, y := range x.Choices {
			b.WriteString(y.Delta.Content)
		}
	}

	return b.String(), false
}

func want(question string, tokens int) string {
	return strings.Join(engine.Answer(question, tokens), "")
}

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

// fleet is a set of routers with their targets and the platform, in one process and
// connected by real sockets.
type fleet struct {
	t         *testing.T
	platform  *platform.Platform
	address   netip.AddrPort
	engines   []*engine.Engine
	services  []*service.Service
	targets   map[string]any
	instances []*instance
	network   *network
}

// instance is one router of the fleet.
type instance struct {
	app     *fx.App
	router  *router.Router
	url     string
	peer    netip.AddrPort
	stopped bool
}

// newFleet returns a fleet with the given numbers of engines and services and no router. Its
// targets are published as revision 1.
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
		f.addTarget(fmt.Sprintf("e%d", n), "engine", f.serve(e.Handler()))
	}

	for n := range services {
		s := service.New(service.Settings{Name: fmt.Sprintf("s%d", n), Latency: 5 * time.Millisecond})
		f.services = append(f.services, s)
		f.addTarget(fmt.Sprintf("s%d", n), "service", f.serve(s.Handler()))
	}

	f.publish(0)

	return f
}

// serve starts an HTTP server and returns its address.
func (f *fleet) serve(h http.Handler) netip.AddrPort {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = nil
	s.Start()
	f.t.Cleanup(s.CloseClientConnections)
	f.t.Cleanup(s.Close)

	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// addTarget adds a target in dc-1 to the configuration that publish publishes.
func (f *fleet) addTarget(name, kind string, a netip.AddrPort) {
	f.targets[name] = map[string]any{
		"address": a.String(), "kind": kind, "region": "r", "dataCentre": "dc-1", "capacity": 16,
		"labels": map[string]string{"app": kind},
	}
	f.network.setDataCentre(a, "dc-1")
}

// moveTarget moves a target to another data centre.
func (f *fleet) moveTarget(name, centre string) {
	f.t.Helper()

	x, _ := f.targets[name].(map[string]any)
	x["dataCentre"] = centre
	a, _ := x["address"].(string)
	f.network.setDataCentre(netip.MustParseAddrPort(a), centre)
}

// publish publishes the fleet's targets as a change of the base revision and returns the new
// revision.
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

// add starts a router in a data centre and waits until it has a configuration.
func (f *fleet) add(centre string) *instance {
	f.t.Helper()

	n := f.start(centre)
	waiter.Until(f.t, "the revision", func() bool { return n.metric(counter.Revision) > 0 })

	return n
}

// start starts a router in a data centre.
func (f *fleet) start(centre string) *instance {
	f.t.Helper()

	return f.startWith(centre, func(*resolver.Router) {})
}

// startWith starts a router with changed settings.
func (f *fleet) startWith(centre string, change func(*resolver.Router)) *instance {
	f.t.Helper()

	s := resolver.Router{}
	if err := s.Read(nil); err != nil {
		f.t.Fatal(err)
	}

	s.Region, s.DataCentre, s.Platform = "r", centre, f.address
	s.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	s.Peer = s.Listen
	s.DrainNotice = 100 * time.Millisecond
	s.SlotTimeout = time.Second

	for _, o := range f.instances {
		s.Seeds = append(s.Seeds, o.peer)
	}

	change(&s)

	n := &instance{}

	var m router.Peer

	n.app = fx.New(router.Options(s), fx.Populate(&n.router, &m), fx.Decorate(func() router.Dialer { return f.network.from(centre) }))
	if err := n.app.Err(); err != nil {
		f.t.Fatal(err)
	}

	// Other routers dial it as soon as it starts, so its data centre is set before.
	n.peer = netip.AddrPort(m)
	f.network.setDataCentre(n.peer, centre)

	if err := n.app.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}

	n.url = "http://" + n.router.Address().String()
	f.instances = append(f.instances, n)
	f.t.Cleanup(func() { f.stop(n) })

	return n
}

// stop stops a router as planned, unless it is stopped already.
func (f *fleet) stop(n *instance) {
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

// awaitMembership waits until all routers know each other.
func (f *fleet) awaitMembership() {
	f.t.Helper()
	waiter.Until(f.t, "the membership of all routers", func() bool {
		for _, n := range f.instances {
			if n.metric(counter.LiveRouters) != int64(len(f.instances)) {
				return false
			}
		}

		return true
	})
}

// unusedAddress returns an address at which no server listens.
func (f *fleet) unusedAddress() netip.AddrPort {
	s := httptest.NewServer(nil)
	s.Close()

	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// registerInstance registers an instance in the platform's list.
func (f *fleet) registerInstance(i recorder.Instance) {
	f.t.Helper()

	r, stop := recorder.New(f.address, "dc-1")
	defer stop()

	if err := r.Register(f.t.Context(), i); err != nil {
		f.t.Fatal(err)
	}
}

// registerRaw registers an entry that another writer has made in the platform's list.
func (f *fleet) registerRaw(entry string) {
	f.t.Helper()

	q, err := http.NewRequestWithContext(f.t.Context(), http.MethodPut, "http://"+f.address.String()+"/v1/instances", strings.NewReader(entry))
	if err != nil {
		f.t.Fatal(err)
	}

	r, err := http.DefaultClient.Do(q)
	if err != nil {
		f.t.Fatal(err)
	}

	_ = r.Body.Close()

	if r.StatusCode >= http.StatusMultipleChoices {
		f.t.Fatalf("registering %s: status %d", entry, r.StatusCode)
	}
}

func (n *instance) metric(x counter.Name) int64 { return n.router.Counter().Get(x) }

// response is an answer as received by its caller. The field err is set if the connection
// was lost before the end of the answer.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r response) outcome() string { return r.header.Get(exchanger.HeaderOutcome) }

// do sends a call of customer c. Without a key, it sends no idempotency key.
func (n *instance) do(c context.Context, method, path, key, body string) response {
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

// chat sends a chat completion and returns the answer.
func (n *instance) chat(c context.Context, question string, tokens int, stream bool) response {
	b, err := json.Marshal(map[string]any{
		"model": "m", "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": question}},
	})
	if err != nil {
		return response{err: err}
	}

	return n.do(c, http.MethodPost, "/v1/chat/completions", "", string(b))
}

// streamedText returns the text of a streamed answer and whether its end was received.
func streamedText(events string) (string, bool) {
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

// wantAnswer returns the complete answer of an engine to a question.
func wantAnswer(question string, tokens int) string {
	return strings.Join(engine.Answer(question, tokens), "")
}

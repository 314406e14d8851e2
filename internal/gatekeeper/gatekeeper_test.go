package gatekeeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/gatekeeper"
	"github.com/auburntray/auburntray/internal/standin/porter"
	"github.com/auburntray/auburntray/internal/standin/waiter"
	"github.com/auburntray/auburntray/internal/watcher"
)

// stream is an in-memory stream.
type stream struct {
	mu          sync.Mutex
	records     []watcher.Record
	unavailable bool
}

func (s *stream) put(t *testing.T, key string, v any) {
	t.Helper()

	var b []byte

	if v != nil {
		x, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}

		b = x
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.records = append(s.records, watcher.Record{Key: key, Value: b, Offset: int64(len(s.records))})
}

func (s *stream) read(from int64) ([]watcher.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.unavailable {
		return nil, 0, errors.New("stream is unavailable")
	}

	return append([]watcher.Record(nil), s.records[from:]...), int64(len(s.records)), nil
}

func (s *stream) Newest(context.Context) ([]watcher.Record, watcher.Position, error) {
	l, n, err := s.read(0)

	return l, watcher.Position{Offset: n}, err
}

func (s *stream) Follow(c context.Context, from watcher.Position, wait time.Duration) (watcher.Batch, error) {
	for b := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		l, n, err := s.read(from.Offset)
		if err != nil || len(l) > 0 || time.Since(b) >= wait || c.Err() != nil {
			return watcher.Batch{Records: l, Next: watcher.Position{Offset: n}}, err
		}
	}
}

// dialect is a minimal protocol for the tests.
type dialect struct{}

func (dialect) ReadCall(h http.Header) (forwarder.Call, error) {
	if h.Get("Panic") != "" {
		panic("test panic")
	}

	return forwarder.Call{ID: h.Get("Id"), Key: h.Get("Key")}, nil
}

func (dialect) WriteAttempt(http.Header, forwarder.AttemptInfo) {}

func (dialect) ReadReply(h http.Header, _ int) forwarder.Reply {
	return forwarder.Reply{ID: h.Get("Id"), Sealed: true}
}

// fixture is one instance with its streams.
type fixture struct {
	config, targets *stream
	callers, ready  string
	app             *fx.App
}

func start(t *testing.T) *fixture {
	t.Helper()

	return startWith(t, func(*gatekeeper.Settings, *gatekeeper.Environment) {})
}

// startWith starts an instance whose settings and environment were changed by a function.
func startWith(t *testing.T, change func(s *gatekeeper.Settings, w *gatekeeper.Environment)) *fixture {
	t.Helper()
	logrus.SetLevel(logrus.PanicLevel)

	s := &fixture{config: &stream{}, targets: &stream{}}
	a, b := porter.Free(t), porter.Free(t)
	x := gatekeeper.Settings{
		Name: "front-1", DataCentre: "dc", Callers: a, Ready: b, Peers: porter.Free(t),
		Tunables: gatekeeper.Tunables{
			StopTimeout: 8 * time.Second, Retries: budgeter.Settings{Ratio: 0.2, Window: time.Second, Slack: 10},
		},
	}
	w := gatekeeper.Environment{
		Dialect: dialect{}, ReadyPath: "/ready", ConfigKey: "config", Config: s.config, Targets: s.targets,
		DecodeConfig: func(b []byte) (cataloger.Document, error) {
			var d cataloger.Document

			return d, json.Unmarshal(b, &d)
		},
		DecodeEvacuation: func(key string, _ []byte) (string, bool, error) {
			c, ok := strings.CutPrefix(key, "evacuate/")

			return c, ok, nil
		},
		DecodeTarget: func(key string, b []byte) (discoverer.Target, error) {
			var t discoverer.Target

			err := json.Unmarshal(b, &t)
			t.ID = key

			return t, err
		},
	}

	change(&x, &w)

	s.callers, s.ready = "http://"+x.Callers.String(), "http://"+x.Ready.String()
	s.app = fx.New(gatekeeper.Options(x, w))

	if err := s.app.Start(t.Context()); err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = s.app.Stop(context.Background()) })

	return s
}

// get calls a URL with an ID and a key, and returns the status, the body and the headers.
func get(t *testing.T, url string) (int, string, http.Header) {
	t.Helper()

	return getBy(t, &http.Transport{DisableKeepAlives: true}, url)
}

func getBy(t *testing.T, x *http.Transport, url string) (int, string, http.Header) {
	t.Helper()

	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}

	q.Host = "app.example"
	q.Header.Set("Id", "1")
	q.Header.Set("Key", "k")

	r, err := x.RoundTrip(q)
	if err != nil {
		return 0, err.Error(), nil
	}

	defer r.Body.Close() //nolint:errcheck // Read below.

	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error(), nil
	}

	// net/http removes the header that announces the close.
	if r.Close {
		r.Header.Set("Connection", "close")
	}

	return r.StatusCode, string(b), r.Header
}

// catalog returns a catalog with a rule for each prefix.
func catalog(version uint64, keys []string, prefixes ...string) cataloger.Document {
	d := cataloger.Document{
		Version: version, Groups: []cataloger.Group{{Name: "g"}},
		Customers: []cataloger.Customer{{Name: "c", Keys: keys}},
	}
	for _, p := range prefixes {
		d.Rules = append(d.Rules, cataloger.Rule{
			Name: p, Host: "app.example", Prefix: p, Timeout: 3 * time.Second,
			Shares: []cataloger.Share{{Group: "g", Weight: 1}},
		})
	}

	return d
}

// target returns a target whose server echoes the ID and answers with a function.
func target(t *testing.T, f func(w http.ResponseWriter)) discoverer.Target {
	t.Helper()

	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		f(w)
	}))
	t.Cleanup(s.Close)

	return discoverer.Target{Group: "g", Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), Slots: 4}
}

// status returns a condition that a call to a URL returns a status.
func status(t *testing.T, url string, want int) func() bool {
	t.Helper()

	return func() bool {
		n, _, _ := get(t, url)

		return n == want
	}
}

func TestReadyOnceCallsCanBeServed(t *testing.T) {
	is := is.New(t)
	s := start(t)

	n, _, _ := get(t, s.ready+"/ready")
	is.Equal(n, http.StatusServiceUnavailable)

	n, _, h := get(t, s.callers+"/x/")
	is.Equal(n, http.StatusServiceUnavailable)
	is.True(h.Get("Retry-After") != "")

	s.config.put(t, "config", catalog(1, []string{"k"}, "/x/"))
	time.Sleep(100 * time.Millisecond)

	n, _, _ = get(t, s.ready+"/ready")
	is.Equal(n, http.StatusServiceUnavailable) // There is no target yet.

	s.targets.put(t, "t1", target(t, func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "hello") }))
	waiter.Until(t, "status 200", status(t, s.ready+"/ready", http.StatusOK))

	n, b, _ := get(t, s.callers+"/x/")
	is.Equal(n, http.StatusOK)
	is.Equal(b, "hello")
}

// Guards against a revoked key that is accepted again, because the platform returns an older state
// or an invalid version follows.
func TestConfigurationNeverReverts(t *testing.T) {
	for name, old := range map[string]any{
		"older version": catalog(3, []string{"k"}, "/x/", "/y/"),
		"invalid":       cataloger.Document{Version: 9, Rules: []cataloger.Rule{{Name: "r", Host: "app.example", Prefix: "no slash"}}},
		"not decodable": "text",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t)
			s.targets.put(t, "t1", target(t, func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "hello") }))
			s.config.put(t, "config", catalog(2, []string{"k"}, "/x/"))
			waiter.Until(t, "status 200", status(t, s.callers+"/x/", http.StatusOK))

			s.config.put(t, "config", catalog(5, []string{"other"}, "/x/"))
			waiter.Until(t, "status 401", status(t, s.callers+"/x/", http.StatusUnauthorized))

			s.config.put(t, "config", old)
			time.Sleep(300 * time.Millisecond)

			n, _, _ := get(t, s.callers+"/x/")
			is.Equal(n, http.StatusUnauthorized)
		})
	}
}

// Guards against failed calls to a target whose entry another writer has overwritten, while the
// former entry remained in use and its address belongs to another process by now. New calls go to
// other targets at once, running calls complete, and a valid entry restores the target.
func TestTargetWithOverwrittenEntry(t *testing.T) {
	is := is.New(t)
	s := start(t)
	slow := make(chan struct{})

	var first atomic.Bool

	a := target(t, func(w http.ResponseWriter) {
		if first.CompareAndSwap(false, true) {
			<-slow
		}

		_, _ = fmt.Fprint(w, "a")
	})

	s.targets.put(t, "a", a)

	// The slow call runs while the change takes effect and all other calls are made.
	d := catalog(1, []string{"k"}, "/x/")
	d.Rules[0].Timeout = time.Minute
	s.config.put(t, "config", d)
	waiter.Until(t, "status 200", status(t, s.ready+"/ready", http.StatusOK))

	done := make(chan string, 1)

	go func() {
		_, b, _ := get(t, s.callers+"/x/")
		done <- b
	}()

	waiter.Until(t, "the first call", first.Load)

	answered := func(want string) func() bool {
		return func() bool {
			_, b, _ := get(t, s.callers+"/x/")

			return b == want
		}
	}

	s.targets.put(t, "b", target(t, func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "b") }))
	waiter.Until(t, "a response from b", answered("b"))
	s.targets.put(t, "a", "not an entry")
	s.targets.put(t, "c", "not an entry either")
	time.Sleep(2 * time.Second) // The default time within which changes are in force.

	for range 50 {
		is.True(answered("b")())
	}

	close(slow)
	is.Equal(<-done, "a")

	s.targets.put(t, "b", nil)
	waiter.Until(t, "status 503", status(t, s.callers+"/x/", http.StatusServiceUnavailable))

	s.targets.put(t, "a", a)
	waiter.Until(t, "a response from a", answered("a"))
}

// Guards against interrupted calls in a planned stop: the running call gets its full response, calls that
// the balancer still sends are served, and each response closes its connection.
func TestPlannedStopInterruptsNoCall(t *testing.T) {
	is := is.New(t)
	s := start(t)
	slow := make(chan struct{})
	s.targets.put(t, "t1", target(t, func(w http.ResponseWriter) {
		<-slow
		_, _ = fmt.Fprint(w, "complete")
	}))
	s.config.put(t, "config", catalog(1, []string{"k"}, "/x/"))
	waiter.Until(t, "status 200", status(t, s.ready+"/ready", http.StatusOK))

	type result struct {
		status     int
		body       string
		connection string
	}

	first, late, stopped := make(chan result, 1), make(chan result, 1), make(chan error, 1)

	go func() {
		n, b, _ := get(t, s.callers+"/x/")
		first <- result{n, b, ""}
	}()

	time.Sleep(100 * time.Millisecond)

	go func() { stopped <- s.app.Stop(context.Background()) }()

	waiter.Until(t, "status 503", status(t, s.ready+"/ready", http.StatusServiceUnavailable))

	go func() {
		n, b, h := getBy(t, &http.Transport{}, s.callers+"/x/")
		late <- result{n, b, h.Get("Connection")}
	}()

	time.Sleep(100 * time.Millisecond)
	close(slow)
	is.Equal(<-first, result{http.StatusOK, "complete", ""})
	is.Equal(<-late, result{http.StatusOK, "complete", "close"})
	is.NoErr(<-stopped)
}

// Guards against calls that are taken late in a stop, sent to targets, and cut without an answer at its end.
func TestStopAnswersCallsThatItTakes(t *testing.T) {
	is := is.New(t)
	s := startWith(t, func(s *gatekeeper.Settings, _ *gatekeeper.Environment) { s.StopTimeout = 2 * time.Second })

	var ran, answered atomic.Int64

	s.targets.put(t, "t1", target(t, func(w http.ResponseWriter) {
		ran.Add(1)
		time.Sleep(400 * time.Millisecond)

		_, _ = fmt.Fprint(w, "complete")
	}))
	s.config.put(t, "config", catalog(1, []string{"k"}, "/x/"))
	waiter.Until(t, "status 200", status(t, s.ready+"/ready", http.StatusOK))

	stopped := make(chan error, 1)

	go func() { stopped <- s.app.Stop(context.Background()) }()

	var g sync.WaitGroup

	for over := false; !over; {
		select {
		case err := <-stopped:
			is.NoErr(err)

			over = true
		case <-time.After(20 * time.Millisecond):
			g.Go(func() {
				if n, b, _ := getBy(t, &http.Transport{}, s.callers+"/x/"); n == http.StatusOK && b == "complete" {
					answered.Add(1)
				}
			})
		}
	}

	g.Wait()
	is.True(ran.Load() > 0)
	is.Equal(answered.Load(), ran.Load())
}

// Guards against calls that last longer than a stop may and whose connections are closed without an answer.
func TestStopAnswersCallsThatLastLonger(t *testing.T) {
	is := is.New(t)
	s := startWith(t, func(s *gatekeeper.Settings, _ *gatekeeper.Environment) { s.StopTimeout = time.Second })
	slow, began := make(chan struct{}), make(chan struct{}, 1)

	s.targets.put(t, "t1", target(t, func(http.ResponseWriter) {
		began <- struct{}{}

		<-slow
	}))
	t.Cleanup(func() { close(slow) })
	s.config.put(t, "config", catalog(1, []string{"k"}, "/x/"))
	waiter.Until(t, "status 200", status(t, s.ready+"/ready", http.StatusOK))

	answer := make(chan int, 1)

	go func() {
		n, _, _ := getBy(t, &http.Transport{}, s.callers+"/x/")
		answer <- n
	}()

	<-began
	is.NoErr(s.app.Stop(context.Background()))
	is.Equal(<-answer, http.StatusBadGateway)
}

// Guards against a stop that uses its full time limit with no call running, because callers ignore
// readiness and keep sending. Each call is answered or refused, and the process exits in time.
func TestStopCompletesWhileCallersKeepSending(t *testing.T) {
	is := is.New(t)
	s := start(t)
	s.targets.put(t, "t1", target(t, func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "complete") }))
	s.config.put(t, "config", catalog(1, []string{"k"}, "/x/"))
	waiter.Until(t, "status 200", status(t, s.ready+"/ready", http.StatusOK))

	stopped := make(chan error, 1)

	go func() { stopped <- s.app.Stop(context.Background()) }()

	seen := make(map[int]int)

	for over := false; !over; {
		select {
		case err := <-stopped:
			is.NoErr(err)

			over = true
		default:
			n, _, h := get(t, s.callers+"/x/")
			seen[n]++

			is.True(n != http.StatusServiceUnavailable || h.Get("Retry-After") != "")
			time.Sleep(10 * time.Millisecond)
		}
	}

	is.True(seen[http.StatusOK] > 0)
	is.True(seen[http.StatusServiceUnavailable] > 0)
	is.Equal(seen[http.StatusBadGateway]+seen[http.StatusGatewayTimeout], 0)
}

func TestLeavingTargetGetsNoNewCalls(t *testing.T) {
	for name, leave := range map[string]func(t *testing.T, s *fixture, x discoverer.Target){
		"announces that it drains": func(t *testing.T, s *fixture, x discoverer.Target) {
			t.Helper()

			x.Draining = true
			s.targets.put(t, "t1", x)
		},
		"removed without notice": func(t *testing.T, s *fixture, _ discoverer.Target) {
			t.Helper()
			s.targets.put(t, "t1", nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t)
			x := target(t, func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "hello") })
			s.targets.put(t, "t1", x)
			s.config.put(t, "config", catalog(1, []string{"k"}, "/x/"))
			waiter.Until(t, "status 200", status(t, s.callers+"/x/", http.StatusOK))

			b := time.Now()

			leave(t, s, x)
			waiter.Until(t, "status 503", status(t, s.callers+"/x/", http.StatusServiceUnavailable))
			is.True(time.Since(b) < 2*time.Second)
		})
	}
}

// Guards against an outage of the platform, longer than the retention of entries, that changes what
// is in force.
func TestOutageOfThePlatform(t *testing.T) {
	is := is.New(t)
	s := start(t)
	s.targets.put(t, "t1", target(t, func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "hello") }))
	s.config.put(t, "config", catalog(1, []string{"k"}, "/x/"))
	waiter.Until(t, "status 200", status(t, s.callers+"/x/", http.StatusOK))

	for _, x := range []*stream{s.config, s.targets} {
		x.mu.Lock()
		x.unavailable = true
		x.mu.Unlock()
	}

	time.Sleep(3 * time.Second)

	n, _, _ := get(t, s.callers+"/x/")
	is.Equal(n, http.StatusOK)

	// An unknown rule may be new, so the caller is requested to retry.
	n, _, h := get(t, s.callers+"/new/")
	is.Equal(n, http.StatusServiceUnavailable)
	is.True(h.Get("Retry-After") != "")
}

// Guards against a panic in the handling of one call that closes its connection without a response,
// which leaves the caller without an outcome. The call gets a response that makes no claim about it,
// and the instance continues to serve.
func TestPanicInOneCall(t *testing.T) {
	i := is.New(t)
	s := start(t)
	s.targets.put(t, "t1", target(t, func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "hello") }))
	s.config.put(t, "config", catalog(1, []string{"k"}, "/x/"))
	waiter.Until(t, "status 200", status(t, s.callers+"/x/", http.StatusOK))

	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.callers+"/x/", nil)
	i.NoErr(err)

	q.Host = "app.example"
	q.Header.Set("Panic", "yes")

	r, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(q)
	i.NoErr(err)
	i.NoErr(r.Body.Close())
	i.Equal(r.StatusCode, http.StatusInternalServerError)

	n, b, _ := get(t, s.callers+"/x/")
	i.Equal(n, http.StatusOK)
	i.Equal(b, "hello")
}

package filterer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/claimer"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/filterer"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/reducer"
	"github.com/auburntray/auburntray/internal/registrar"
	"github.com/auburntray/auburntray/internal/requester"
	"github.com/auburntray/auburntray/internal/sender"
	"github.com/auburntray/auburntray/internal/tracker"
)

// fakeDeps is a fake of the dependencies of a pipeline: claims, homes of cells and targets.
type fakeDeps struct {
	mu sync.Mutex
	// claimDelay is the duration of a claim, and claimOutcome its outcome.
	claimDelay   time.Duration
	claimOutcome claimer.Outcome
	claimErr     error
	settled      []claimer.Outcome
	// reservations are the answers to the first requests for a slot. Later requests
	// are granted.
	reservations []requester.Reservation
	granted      int
	released     int
	// outcomes are the outcomes with which slots were released.
	outcomes []granter.Outcome
	// responses are the results of the first calls to targets. Later calls succeed.
	responses []func() (*http.Response, error)
	sent      int
	// stalled is what Stalled returns.
	stalled bool
}

func (w *fakeDeps) Claim(context.Context, registrar.Claim) (registrar.Status, error) {
	time.Sleep(w.claimDelay)

	return registrar.Status{Outcome: w.claimOutcome, Answer: claimer.Answer{Status: 200, Body: []byte("recorded")}}, w.claimErr
}

func (w *fakeDeps) Settle(_ context.Context, _ registrar.Claim, o claimer.Outcome, _ claimer.Answer) error {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.settled = append(w.settled, o)

	return nil
}

func (w *fakeDeps) Reserve(_ context.Context, r requester.Request) (requester.Reservation, error) {
	if len(w.reservations) > 0 {
		v := w.reservations[0]
		w.reservations = w.reservations[1:]

		return v, nil
	}

	w.granted++

	// A target that was tried already is not granted again.
	n := "t0"
	if len(r.Excluded) > 0 {
		n = "t1"
	}

	return requester.Reservation{Target: hasher.Name(n)}, nil
}

func (w *fakeDeps) Release(_ requester.Reservation, o granter.Outcome) {
	w.released++
	w.outcomes = append(w.outcomes, o)
}

func (w *fakeDeps) Stalled(time.Time) bool                            { return w.stalled }
func (w *fakeDeps) Report(requester.Reservation, int, tracker.State)  {}
func (w *fakeDeps) StartBackoff(requester.Reservation, time.Duration) {}
func (w *fakeDeps) Cancel(*exchanger.Exchange)                        {}
func (w *fakeDeps) MayHaveEnded(context.Context, netip.AddrPort) bool { return false }
func (w *fakeDeps) respond(b string, h http.Header) *http.Response    { return response(200, b, h) }

func (w *fakeDeps) Send(context.Context, *exchanger.Exchange) (*http.Response, error) {
	w.sent++

	if len(w.responses) > 0 {
		f := w.responses[0]
		w.responses = w.responses[1:]

		return f()
	}

	return w.respond("done", http.Header{}), nil
}

func (w *fakeDeps) Resume(context.Context, *exchanger.Exchange, int) (*http.Response, error) {
	return nil, sender.ErrBroken
}

func response(status int, b string, h http.Header) *http.Response {
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(b))}
}

// configuration returns a configuration with two targets, which are services.
func configuration() *follower.Config {
	d := parser.Document{
		Targets: map[string]parser.Target{}, Customers: map[string]parser.Customer{"c": {}},
		Rules: map[string]parser.Rule{
			"reads": {Order: 1, Traffic: "method=GET", Targets: "app=a", Repeatable: true},
			"books": {Order: 2, Targets: "app=a"},
		},
	}

	for n, a := range map[string]string{"t0": "10.0.0.1:1", "t1": "10.0.0.1:2"} {
		d.Targets[n] = parser.Target{
			Address: a, Kind: parser.KindService, Region: "r", DataCentre: "d", Capacity: 8, Labels: map[string]string{"app": "a"},
		}
	}

	return &follower.Config{State: &reducer.State{Revision: 1, Document: d}, Matcher: matcher.New(&d)}
}

// call sends one call through a pipeline with the fake dependencies.
func (w *fakeDeps) call(method string) *httptest.ResponseRecorder {
	n := counter.New()
	f := configuration()
	p := filterer.New(drainer.New(time.Second, 10), w, n, noop.NewTracerProvider().Tracer(""),
		filterer.Accept{MaxBody: 1000},
		filterer.Identify{Deadline: time.Minute, MaxDeadline: time.Minute},
		filterer.Match{Config: func() *follower.Config { return f }},
		filterer.Claim{Claims: w, Counter: n},
		filterer.NewAttempt(w, n, filterer.RefuseQuarantined{}, filterer.Pick{Slots: w, Region: "r", Counter: n},
			filterer.Send{Targets: w, Slots: w, Stalls: w}, filterer.Relay{Targets: w, Counter: n}),
	)
	q := httptest.NewRequest(method, "/x", strings.NewReader("body"))
	q.Header.Set(exchanger.HeaderCustomer, "c")
	q.Header.Set(exchanger.HeaderKey, "k")

	r := httptest.NewRecorder()
	p.ServeHTTP(r, q)
	p.Wait(context.Background())

	return r
}

// failWith returns the function of a call to a target that fails with the given error.
func failWith(err error) func() (*http.Response, error) {
	return func() (*http.Response, error) { return nil, err }
}

// respondWith returns the function of a call to a target that answers with a status and one
// header.
func respondWith(status int, name, value string) func() (*http.Response, error) {
	return func() (*http.Response, error) { return response(status, "", http.Header{name: {value}}), nil }
}

// For each failure on the path of a call, the outcome reported to the caller, the number
// of sends and the outcome recorded under the key must be consistent.
func TestCalls(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)

	refused := requester.Reservation{Reason: granter.OverShare, RetryAfter: time.Second}

	for name, tc := range map[string]struct {
		method  string
		deps    *fakeDeps
		want    exchanger.Outcome
		sent    int
		settled []claimer.Outcome
	}{
		"call with a key succeeds": {
			"POST", &fakeDeps{claimOutcome: claimer.Won}, exchanger.Ran, 1, []claimer.Outcome{claimer.Ran},
		},
		// The router stalls right after its claim succeeded. By the time it
		// continues, another router may have reported the call as unknown.
		"stalled after the claim": {
			"POST", &fakeDeps{claimOutcome: claimer.Won, claimDelay: 11 * time.Second}, exchanger.NotRun, 0, []claimer.Outcome{claimer.NotRun},
		},
		"refused after the claim": {
			"POST", &fakeDeps{claimOutcome: claimer.Won, reservations: []requester.Reservation{refused, refused}}, exchanger.NotRun, 0, []claimer.Outcome{claimer.NotRun},
		},
		"claim log unavailable": {
			"POST", &fakeDeps{claimErr: registrar.ErrNotClaimed}, exchanger.NotRun, 0, nil,
		},
		"key of a call that ran":    {"POST", &fakeDeps{claimOutcome: claimer.Ran}, exchanger.Ran, 0, nil},
		"key of a call in progress": {"POST", &fakeDeps{claimOutcome: claimer.InProgress}, exchanger.Unknown, 0, nil},
		"key of a call whose router may have crashed": {
			"POST", &fakeDeps{claimOutcome: claimer.Unknown}, exchanger.Unknown, 0, nil,
		},
		"no connection, retried at another target": {
			"POST", &fakeDeps{claimOutcome: claimer.Won, responses: []func() (*http.Response, error){failWith(sender.ErrNeverSent)}},
			exchanger.Ran, 2, []claimer.Outcome{claimer.Ran},
		},
		"connection lost after sending": {
			"POST", &fakeDeps{claimOutcome: claimer.Won, responses: []func() (*http.Response, error){failWith(sender.ErrBroken)}},
			exchanger.Unknown, 1, []claimer.Outcome{claimer.Unknown},
		},
		"target reports not run": {
			"POST", &fakeDeps{claimOutcome: claimer.Won, responses: []func() (*http.Response, error){respondWith(503, exchanger.TargetNotRun, "true")}},
			exchanger.Ran, 2, []claimer.Outcome{claimer.Ran},
		},
		"answer to another request": {
			"POST", &fakeDeps{claimOutcome: claimer.Won, responses: []func() (*http.Response, error){respondWith(200, exchanger.TargetRequestID, "other")}},
			exchanger.Unknown, 1, []claimer.Outcome{claimer.Unknown},
		},
		"repeatable call is retried": {
			"GET", &fakeDeps{responses: []func() (*http.Response, error){failWith(sender.ErrBroken), respondWith(500, "X", "y")}}, exchanger.Ran, 3, nil,
		},
		"refused after an attempt that may have run": {
			"GET", &fakeDeps{reservations: []requester.Reservation{{Target: hasher.Name("t0")}, refused, refused}, responses: []func() (*http.Response, error){failWith(sender.ErrBroken)}},
			exchanger.Unknown, 1, nil,
		},
		"cell redirects, then asks to wait": {
			"GET", &fakeDeps{reservations: []requester.Reservation{
				{Reason: granter.OtherCell, Target: configuration().Matcher.Cells()[0].ID}, {Reason: granter.Wait, RetryAfter: time.Second},
			}}, exchanger.Ran, 1, nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := tc.deps
				r := w.call(tc.method)

				i.Equal(r.Header().Get(exchanger.HeaderOutcome), string(tc.want))
				i.Equal(w.sent, tc.sent)
				i.Equal(w.settled, tc.settled)
				i.True(tc.want == exchanger.Ran || r.Code >= 400)
				i.True(w.released >= w.granted) // every slot is released
			})
		})
	}
}

// Guards against targets being marked unhealthy because of a stall of the router: a dial
// that times out while the process is stalled does not count as a failure of the target.
// A time-out without a stall, a refused connection and a broken connection do.
func TestStallDoesNotCountAgainstTarget(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)

	ok := granter.Outcome{OK: true}
	late := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

	for name, tc := range map[string]struct {
		err     error
		stalled bool
		want    granter.Outcome
	}{
		"stalled, dial timed out":          {errors.Mark(late, sender.ErrNeverSent), true, granter.Outcome{OK: true, NeverSent: true}},
		"running, dial timed out":          {errors.Mark(late, sender.ErrNeverSent), false, granter.Outcome{}},
		"stalled, connection refused":      {errors.Mark(refused, sender.ErrNeverSent), true, granter.Outcome{}},
		"running, connection refused":      {errors.Mark(refused, sender.ErrNeverSent), false, granter.Outcome{}},
		"stalled, connection broken":       {errors.Mark(io.ErrUnexpectedEOF, sender.ErrBroken), true, granter.Outcome{}},
		"stalled, timed out after sending": {errors.Mark(late, sender.ErrBroken), true, granter.Outcome{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := &fakeDeps{stalled: tc.stalled, responses: []func() (*http.Response, error){failWith(tc.err)}}

				i.Equal(w.call(http.MethodGet).Header().Get(exchanger.HeaderOutcome), string(exchanger.Ran))
				i.Equal(w.outcomes, []granter.Outcome{tc.want, ok})
			})
		})
	}
}

// A request body that cannot be read is an error of the caller.
func TestTruncatedRequestBody(t *testing.T) {
	i := is.New(t)
	x := &exchanger.Exchange{
		Writer: httptest.NewRecorder(), Request: httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("a"), brokenReader{})),
	}
	err := filterer.Accept{MaxBody: 10}.Apply(t.Context(), x)

	var r *exchanger.Refusal

	i.True(errors.As(err, &r))
	i.Equal(r.Code, exchanger.CodeBadRequest)
}

// Guards against a router that is killed for its memory by many long bodies: what does not fit is refused before it is read.
func TestBodiesBeyondMemory(t *testing.T) {
	i := is.New(t)
	m := accountant.New(64 << 20)
	a := filterer.Accept{MaxBody: 8 << 20, Memory: m}

	var l []*exchanger.Exchange

	accept := func(n int) (int, error) {
		b := bytes.NewReader(make([]byte, n))
		x := &exchanger.Exchange{Writer: httptest.NewRecorder(), Request: httptest.NewRequest(http.MethodPost, "/", b)}
		l = append(l, x)
		err := a.Apply(t.Context(), x)

		return n - b.Len(), err
	}

	var (
		read int
		err  error
	)

	for err == nil {
		read, err = accept(1 << 20)
	}

	var r *exchanger.Refusal

	i.True(errors.As(err, &r))
	i.Equal(r.Code, exchanger.CodeNoMemory)
	i.Equal(read, 0)
	i.True(len(l) > 5)

	_, err = accept(1 << 10)
	i.NoErr(err) // A short one.

	for _, x := range l {
		x.Release()
	}

	i.Equal(m.Held(accountant.Body), int64(0))

	_, err = accept(1 << 20)
	i.NoErr(err)
}

// brokenReader is a body whose connection is lost.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

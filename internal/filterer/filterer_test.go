package filterer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

	"github.com/auburntray/auburntray/internal/asker"
	"github.com/auburntray/auburntray/internal/claimer"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/filterer"
	"github.com/auburntray/auburntray/internal/folder"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/registrar"
	"github.com/auburntray/auburntray/internal/sender"
	"github.com/auburntray/auburntray/internal/tracker"
)

// world is a fake of all that a call meets: claims, homes and targets.
type world struct {
	mu sync.Mutex
	// claimTakes is how long a claim takes, and standing its outcome.
	claimTakes time.Duration
	standing   claimer.Outcome
	claimErr   error
	settled    []claimer.Outcome
	// verdicts are what homes answer, in turn; then they grant.
	verdicts []asker.Place
	granted  int
	released int
	// outcomes are those that the places were given back with.
	outcomes []granter.Outcome
	// answers are what targets answer, in turn; then they answer well.
	answers []func() (*http.Response, error)
	sent    int
	// still says that this process just stood still.
	still bool
}

func (w *world) Claim(context.Context, registrar.Claim) (registrar.Standing, error) {
	time.Sleep(w.claimTakes)

	return registrar.Standing{Outcome: w.standing, Answer: claimer.Answer{Status: 200, Body: []byte("recorded")}}, w.claimErr
}

func (w *world) Settle(_ context.Context, _ registrar.Claim, o claimer.Outcome, _ claimer.Answer) error {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.settled = append(w.settled, o)

	return nil
}

func (w *world) Ask(_ context.Context, r asker.Request) (asker.Place, error) {
	if len(w.verdicts) > 0 {
		v := w.verdicts[0]
		w.verdicts = w.verdicts[1:]

		return v, nil
	}

	w.granted++

	// Targets that were tried already are not granted again.
	n := "t0"
	if len(r.Excluded) > 0 {
		n = "t1"
	}

	return asker.Place{Target: hasher.Name(n)}, nil
}

func (w *world) Release(_ asker.Place, o granter.Outcome) {
	w.released++
	w.outcomes = append(w.outcomes, o)
}

func (w *world) Stalled(time.Time) bool                        { return w.still }
func (w *world) Report(asker.Place, int, tracker.State)        {}
func (w *world) Rest(asker.Place, time.Duration)               {}
func (w *world) Cancel(*exchanger.Exchange)                    {}
func (w *world) answer(b string, h http.Header) *http.Response { return response(200, b, h) }

func (w *world) Send(context.Context, *exchanger.Exchange) (*http.Response, error) {
	w.sent++

	if len(w.answers) > 0 {
		f := w.answers[0]
		w.answers = w.answers[1:]

		return f()
	}

	return w.answer("done", http.Header{}), nil
}

func (w *world) Resume(context.Context, *exchanger.Exchange, int) (*http.Response, error) {
	return nil, sender.ErrBroken
}

func response(status int, b string, h http.Header) *http.Response {
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(b))}
}

func force() *follower.Force {
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

	return &follower.Force{State: &folder.State{Revision: 1, Document: d}, Matcher: matcher.New(&d)}
}

// call sends one call through a pipeline over the world.
func (w *world) call(method string) *httptest.ResponseRecorder {
	n := counter.New()
	f := force()
	p := filterer.New(drainer.New(time.Second, 10), w, n, noop.NewTracerProvider().Tracer(""),
		filterer.Accept{MaxBody: 1000},
		filterer.Identify{Deadline: time.Minute, MaxDeadline: time.Minute},
		filterer.Match{Force: func() *follower.Force { return f }},
		filterer.Claim{Claims: w, Counter: n},
		filterer.NewAttempt(w, n, filterer.Isolate{}, filterer.Pick{Places: w, Region: "r", Counter: n},
			filterer.Send{Targets: w, Places: w, Pauses: w}, filterer.Relay{Targets: w, Counter: n}),
	)
	q := httptest.NewRequest(method, "/x", strings.NewReader("body"))
	q.Header.Set(exchanger.HeaderCustomer, "c")
	q.Header.Set(exchanger.HeaderKey, "k")

	r := httptest.NewRecorder()
	p.ServeHTTP(r, q)
	p.Wait(context.Background())

	return r
}

func failing(err error) func() (*http.Response, error) {
	return func() (*http.Response, error) { return nil, err }
}

func answering(status int, name, value string) func() (*http.Response, error) {
	return func() (*http.Response, error) { return response(status, "", http.Header{name: {value}}), nil }
}

// What a call is told, whether it was sent, and what is recorded under its key
// must agree, whatever fails on its way.
func TestCalls(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)

	refused := asker.Place{Reason: granter.OverShare, RetryAfter: time.Second}

	for name, tc := range map[string]struct {
		method  string
		world   *world
		want    exchanger.Outcome
		sent    int
		settled []claimer.Outcome
	}{
		"a booking": {
			"POST", &world{standing: claimer.Won}, exchanger.Ran, 1, []claimer.Outcome{claimer.Ran},
		},
		// The router is paused right after its claim won. By the time it wakes,
		// the caller may have been told by another that the call is unknown.
		"paused after the claim": {
			"POST", &world{standing: claimer.Won, claimTakes: 11 * time.Second}, exchanger.NotRun, 0, []claimer.Outcome{claimer.NotRun},
		},
		"refused after the claim": {
			"POST", &world{standing: claimer.Won, verdicts: []asker.Place{refused, refused}}, exchanger.NotRun, 0, []claimer.Outcome{claimer.NotRun},
		},
		"the log is down": {
			"POST", &world{claimErr: registrar.ErrNotClaimed}, exchanger.NotRun, 0, nil,
		},
		"it ran before": {"POST", &world{standing: claimer.Ran}, exchanger.Ran, 0, nil},
		"it runs":       {"POST", &world{standing: claimer.InProgress}, exchanger.Unknown, 0, nil},
		"its holder died, or may have": {
			"POST", &world{standing: claimer.Unknown}, exchanger.Unknown, 0, nil,
		},
		"no connection, then another target": {
			"POST", &world{standing: claimer.Won, answers: []func() (*http.Response, error){failing(sender.ErrNeverSent)}},
			exchanger.Ran, 2, []claimer.Outcome{claimer.Ran},
		},
		"cut after it was sent": {
			"POST", &world{standing: claimer.Won, answers: []func() (*http.Response, error){failing(sender.ErrBroken)}},
			exchanger.Unknown, 1, []claimer.Outcome{claimer.Unknown},
		},
		"the target did not run it": {
			"POST", &world{standing: claimer.Won, answers: []func() (*http.Response, error){answering(503, exchanger.TargetNotRun, "true")}},
			exchanger.Ran, 2, []claimer.Outcome{claimer.Ran},
		},
		"an answer to another request": {
			"POST", &world{standing: claimer.Won, answers: []func() (*http.Response, error){answering(200, exchanger.TargetRequestID, "other")}},
			exchanger.Unknown, 1, []claimer.Outcome{claimer.Unknown},
		},
		"a read that was cut is repeated": {
			"GET", &world{answers: []func() (*http.Response, error){failing(sender.ErrBroken), answering(500, "X", "y")}}, exchanger.Ran, 3, nil,
		},
		"a read refused after it was cut may have run": {
			"GET", &world{verdicts: []asker.Place{{Target: hasher.Name("t0")}, refused, refused}, answers: []func() (*http.Response, error){failing(sender.ErrBroken)}},
			exchanger.Unknown, 1, nil,
		},
		"a home that sends elsewhere, then waits": {
			"GET", &world{verdicts: []asker.Place{
				{Reason: granter.Elsewhere, Target: force().Matcher.Cells()[0].ID}, {Reason: granter.Wait, RetryAfter: time.Second},
			}}, exchanger.Ran, 1, nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := tc.world
				r := w.call(tc.method)

				i.Equal(r.Header().Get(exchanger.HeaderOutcome), string(tc.want))
				i.Equal(w.sent, tc.sent)
				i.Equal(w.settled, tc.settled)
				i.True(tc.want == exchanger.Ran || r.Code >= 400)
				i.True(w.released >= w.granted) // every place is given back
			})
		})
	}
}

// This router stands still while it dials a target for a call, and on waking the dial
// has run out of time. The call goes to another target, and nothing is held against the
// first; a target that is mute while the router runs, that refuses the connection, or
// that broke the call off, failed.
func TestAPauseIsNotHeldAgainstATarget(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)

	well := granter.Outcome{OK: true}
	late := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

	for name, tc := range map[string]struct {
		err   error
		still bool
		want  granter.Outcome
	}{
		"stood still, the dial ran out": {errors.Mark(late, sender.ErrNeverSent), true, granter.Outcome{OK: true, NeverSent: true}},
		"runs, the dial ran out":        {errors.Mark(late, sender.ErrNeverSent), false, granter.Outcome{}},
		"stood still, refused":          {errors.Mark(refused, sender.ErrNeverSent), true, granter.Outcome{}},
		"runs, refused":                 {errors.Mark(refused, sender.ErrNeverSent), false, granter.Outcome{}},
		"stood still, broke off":        {errors.Mark(io.ErrUnexpectedEOF, sender.ErrBroken), true, granter.Outcome{}},
		"stood still, sent, timed out":  {errors.Mark(late, sender.ErrBroken), true, granter.Outcome{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := &world{still: tc.still, answers: []func() (*http.Response, error){failing(tc.err)}}

				i.Equal(w.call(http.MethodGet).Header().Get(exchanger.HeaderOutcome), string(exchanger.Ran))
				i.Equal(w.outcomes, []granter.Outcome{tc.want, well})
			})
		})
	}
}

// A body that can't be read is the caller's fault, and tells nobody anything.
func TestABodyThatBreaksOff(t *testing.T) {
	i := is.New(t)
	x := &exchanger.Exchange{
		Writer: httptest.NewRecorder(), Request: httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("a"), broken{})),
	}
	err := filterer.Accept{MaxBody: 10}.Apply(t.Context(), x)

	var r *exchanger.Refusal

	i.True(errors.As(err, &r))
	i.Equal(r.Code, exchanger.CodeBadRequest)
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

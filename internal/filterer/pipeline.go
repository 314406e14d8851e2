// Package filterer holds the filters that a call passes through, in this order:
// accept, identify, match, claim, then for each attempt pick, send and relay,
// and at the end settle.
package filterer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/exchanger"
)

// errAnswered ends a call early with the answer that it carries.
var errAnswered = errors.New("answered")

type tracerKey struct{}

// Pipeline serves calls. It is safe for concurrent use.
type Pipeline struct {
	filters  []exchanger.Filter
	drainer  *drainer.Drainer
	claims   claims
	counter  *counter.Counter
	tracer   trace.Tracer
	settling sync.WaitGroup
}

// New returns a Pipeline over the given filters.
func New(d *drainer.Drainer, m claims, n *counter.Counter, t trace.Tracer, f ...exchanger.Filter) *Pipeline {
	return &Pipeline{filters: f, drainer: d, claims: m, counter: n, tracer: t}
}

// ServeHTTP serves one call. While the router stops, or has too much to do, it
// answers that the call was not run.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchanger.Exchange{Writer: w, Request: r, ID: uuid.NewString()}

	p.counter.Add(counter.Requests, 1)

	s, ok := p.drainer.Enter(time.Now())
	if s != drainer.Serving {
		w.Header().Set("Connection", "close")
	}

	if !ok {
		p.answer(x, p.closed(s))

		return
	}

	defer p.drainer.Exit()

	c := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	c, a := p.tracer.Start(c, "call", trace.WithSpanKind(trace.SpanKindServer))

	defer a.End()

	err := p.serve(context.WithValue(c, tracerKey{}, p.tracer), x)
	a.SetAttributes(attribute.String("request", x.ID), attribute.String("customer", x.Customer))
	p.answer(x, err)
}

// Wait waits until the claims of all calls are settled, or the context ends.
func (p *Pipeline) Wait(c context.Context) {
	d := make(chan struct{})

	go func() {
		p.settling.Wait()
		close(d)
	}()

	select {
	case <-d:
	case <-c.Done():
	}
}

func (p *Pipeline) serve(c context.Context, x *exchanger.Exchange) error {
	// The first filters read the body and the deadline, so they run before it
	// is known.
	if err := run(c, x, p.filters[:2]); err != nil {
		return err
	}

	d, stop := context.WithDeadline(c, x.Deadline)
	defer stop()

	err := run(d, x, p.filters[2:])
	Isolate{}.over(x)
	p.settle(x, err)

	return err
}

// run applies filters in their order, each in a span.
func run(c context.Context, x *exchanger.Exchange, l []exchanger.Filter) error {
	for _, f := range l {
		if err := step(c, x, f); err != nil {
			return err
		}
	}

	return nil
}

func step(c context.Context, x *exchanger.Exchange, f exchanger.Filter) error {
	c, end := span(c, f.Name())
	err := f.Apply(c, x)
	end(err)

	return err
}

// span begins a span of the call's trace and returns what ends it.
func span(c context.Context, name string) (context.Context, func(error)) {
	t, ok := c.Value(tracerKey{}).(trace.Tracer)
	if !ok {
		return c, func(error) {}
	}

	c, s := t.Start(c, name)

	return c, func(err error) {
		if err != nil && !errors.Is(err, errAnswered) {
			s.SetStatus(codes.Error, err.Error())
		}

		s.End()
	}
}

func (p *Pipeline) closed(s drainer.Phase) error {
	if s == drainer.Serving {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeBusy, comeBack, "this router has too much to do")
	}

	return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeStopping, time.Second, "this router is stopping")
}

// answer writes what the call came to.
func (p *Pipeline) answer(x *exchanger.Exchange, err error) {
	var r *exchanger.Refusal

	switch {
	case err == nil || errors.Is(err, errAnswered):
		p.counter.Add(counter.Served, 1)
		p.whole(x)
	case errors.As(err, &r):
		p.refuse(x, r)
	default:
		p.refuse(x, exchanger.Fail(exchanger.CodeInternalError, "%v", err))
	}
}

func (p *Pipeline) whole(x *exchanger.Exchange) {
	if x.Relayed {
		return
	}

	h := x.Writer.Header()
	for k, v := range x.Answer.Header {
		h[k] = v
	}

	describe(h, x)
	h.Set("Content-Length", strconv.Itoa(len(x.Answer.Body)))
	x.Writer.WriteHeader(x.Answer.Status)
	_, _ = x.Writer.Write(x.Answer.Body)
}

// describe sets the fields that every answer from a target carries.
func describe(h http.Header, x *exchanger.Exchange) {
	h.Set(exchanger.HeaderOutcome, string(exchanger.Ran))

	if x.Target != nil {
		h.Set(exchanger.HeaderTarget, x.Target.Name)
	}

	if x.Target != nil && x.Assistant {
		h.Set(exchanger.HeaderPlace, token(x.Target.ID))
	}
}

// refusalBody is the body of an answer that is no target's.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code         exchanger.Code    `json:"code"`
	Message      string            `json:"message"`
	Outcome      exchanger.Outcome `json:"outcome"`
	RetryAfterMs int64             `json:"retryAfterMs,omitempty"`
}

func (p *Pipeline) refuse(x *exchanger.Exchange, r *exchanger.Refusal) {
	p.note(x, r)

	b, _ := json.Marshal(refusalBody{refusalError{ //nolint:errchkjson // Plain fields.
		Code: r.Code, Message: r.Message, Outcome: r.Outcome, RetryAfterMs: r.RetryAfter.Milliseconds(),
	}})

	// A part of the answer is with the caller already. The error goes out as an
	// event and the connection is closed without the end that a whole answer
	// has: taken for whole, a cut restock plan would be acted on.
	if x.Relayed {
		_, _ = x.Writer.Write([]byte("data: " + string(b) + "\n\n"))
		_ = http.NewResponseController(x.Writer).Flush()

		panic(http.ErrAbortHandler)
	}

	h := x.Writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set(exchanger.HeaderOutcome, string(r.Outcome))

	if r.RetryAfter > 0 {
		s := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(s), 10))
	}

	x.Writer.WriteHeader(r.Status)
	_, _ = x.Writer.Write(b)
}

func (p *Pipeline) note(x *exchanger.Exchange, r *exchanger.Refusal) {
	l := logrus.WithFields(logrus.Fields{
		"event": "callEnded", "request": x.ID, "customer": x.Customer,
		"code": r.Code, "outcome": r.Outcome, "message": r.Message,
	})

	switch r.Outcome {
	case exchanger.NotRun:
		p.counter.Add(counter.Refused, 1)
		l.Debug()
	case exchanger.Unknown:
		p.counter.Add(counter.Unknown, 1)
		l.Warn()
	default:
		p.counter.Add(counter.Failed, 1)
		l.Info()
	}
}

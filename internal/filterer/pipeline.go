// Package filterer implements the filters that a call passes through. Their order is
// accept, identify, match, isolate, claim and, for each attempt, pick, send and relay. At
// the end the pipeline records the outcome of a claimed call.
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

// errAnswered ends the pipeline early with the answer that is set in the exchange.
var errAnswered = errors.New("answered")

// tracerKey is the context key of the call's tracer.
type tracerKey struct{}

// Pipeline serves calls. It is safe for concurrent use.
type Pipeline struct {
	filters []exchanger.Filter
	drainer *drainer.Drainer
	claims  claims
	counter *counter.Counter
	tracer  trace.Tracer
	// settling counts the outcomes that are being recorded.
	settling sync.WaitGroup
}

// New returns a Pipeline that applies the given filters in order. The first two must set
// the start time and the deadline of the call.
func New(d *drainer.Drainer, m claims, n *counter.Counter, t trace.Tracer, f ...exchanger.Filter) *Pipeline {
	return &Pipeline{filters: f, drainer: d, claims: m, counter: n, tracer: t}
}

// ServeHTTP serves one call. While the router is stopping or at its limit of concurrent
// calls, it answers that the call was not run.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchanger.Exchange{Writer: w, Request: r, ID: uuid.NewString()}
	defer x.Release()

	p.counter.Add(counter.Requests, 1)

	s, ok := p.drainer.Enter(time.Now())
	if s != drainer.Serving {
		w.Header().Set("Connection", "close")
	}

	if !ok {
		p.respond(x, p.rejection(s))

		return
	}

	defer p.drainer.Exit()

	c := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	c, a := p.tracer.Start(c, "call", trace.WithSpanKind(trace.SpanKindServer))

	defer a.End()

	err := p.serve(context.WithValue(c, tracerKey{}, p.tracer), x)
	a.SetAttributes(attribute.String("request", x.ID), attribute.String("customer", x.Customer))
	p.respond(x, err)
}

// Wait blocks until the outcomes of all claimed calls are recorded or the context ends.
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

// serve applies the filters to the call and records the outcome.
func (p *Pipeline) serve(c context.Context, x *exchanger.Exchange) error {
	// The first two filters determine the deadline, so they run without one.
	if err := runFilters(c, x, p.filters[:2]); err != nil {
		return err
	}

	d, stop := context.WithDeadline(c, x.Deadline)
	defer stop()

	err := runFilters(d, x, p.filters[2:])
	RefuseQuarantined{}.endTrial(x)
	p.settle(x, err)

	return err
}

// runFilters applies the filters in order, each in a span of its own, until one fails.
func runFilters(c context.Context, x *exchanger.Exchange, l []exchanger.Filter) error {
	for _, f := range l {
		if err := runFilter(c, x, f); err != nil {
			return err
		}
	}

	return nil
}

func runFilter(c context.Context, x *exchanger.Exchange, f exchanger.Filter) error {
	c, end := span(c, f.Name())
	err := f.Apply(c, x)
	end(err)

	return err
}

// span starts a span of the call's trace and returns the function that ends it. Without a
// tracer in the context it does nothing.
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

// rejection returns the Refusal for a call that the drainer did not admit.
func (p *Pipeline) rejection(s drainer.Phase) error {
	if s == drainer.Serving {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeBusy, defaultRetryAfter, "this router has too much to do")
	}

	return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeStopping, time.Second, "this router is stopping")
}

// respond writes the answer or the error of the call.
func (p *Pipeline) respond(x *exchanger.Exchange, err error) {
	var r *exchanger.Refusal

	switch {
	case err == nil || errors.Is(err, errAnswered):
		p.counter.Add(counter.Served, 1)
		p.writeAnswer(x)
	case errors.As(err, &r):
		p.writeRefusal(x, r)
	default:
		p.writeRefusal(x, exchanger.Fail(exchanger.CodeInternalError, "%v", err))
	}
}

// writeAnswer writes a buffered answer. An answer that was streamed is written already.
func (p *Pipeline) writeAnswer(x *exchanger.Exchange) {
	if x.Relayed {
		return
	}

	h := x.Writer.Header()
	for k, v := range x.Answer.Header {
		h[k] = v
	}

	setTargetHeaders(h, x)
	h.Set("Content-Length", strconv.Itoa(len(x.Answer.Body)))
	x.Writer.WriteHeader(x.Answer.Status)
	_, _ = x.Writer.Write(x.Answer.Body)
}

// setTargetHeaders sets the headers that the router adds to every answer of a target.
func setTargetHeaders(h http.Header, x *exchanger.Exchange) {
	h.Set(exchanger.HeaderOutcome, string(exchanger.Ran))

	if x.Target != nil {
		h.Set(exchanger.HeaderTarget, x.Target.Name)
	}

	if x.Target != nil && x.ChatCompletion {
		h.Set(exchanger.HeaderPlacement, placementToken(x.Target.ID))
	}
}

// refusalBody is the JSON body of an error answer of the router itself.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code         exchanger.Code    `json:"code"`
	Message      string            `json:"message"`
	Outcome      exchanger.Outcome `json:"outcome"`
	RetryAfterMs int64             `json:"retryAfterMs,omitempty"`
}

// writeRefusal writes an error answer. If a part of a streamed answer was sent already, it
// appends the error as an event and aborts the connection by a panic.
func (p *Pipeline) writeRefusal(x *exchanger.Exchange, r *exchanger.Refusal) {
	p.logRefusal(x, r)

	b, _ := json.Marshal(refusalBody{refusalError{ //nolint:errchkjson // The fields are plain values.
		Code: r.Code, Message: r.Message, Outcome: r.Outcome, RetryAfterMs: r.RetryAfter.Milliseconds(),
	}})

	// The connection is closed without the normal end of a stream. Otherwise a
	// caller could take the truncated answer for complete and act on it.
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

// logRefusal counts and logs a call that failed or was refused.
func (p *Pipeline) logRefusal(x *exchanger.Exchange, r *exchanger.Refusal) {
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

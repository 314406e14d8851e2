package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/selector"
)

const (
	// maxAnswerBytes bounds the body of an answer that is buffered completely.
	maxAnswerBytes = 16 << 20
	// answerWaitFactor is the fraction of the latency objective that an idempotent call waits for
	// the answer of a target before it is sent to another target, which then still has time to
	// answer. Well over nine in ten answers arrive earlier.
	answerWaitFactor = 0.6
	// streamWaitFactor is the multiple of the latency objective that a call waits for the first
	// event of a stream. It is greater than answerWaitFactor because an engine that processes
	// long prompts is slow meanwhile, and a second engine would have to process the prompt again.
	streamWaitFactor = 1.5
)

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *accountant.Buffer
}

// write relays the answer to a call with a method.
func (a *bufferedAnswer) write(w http.ResponseWriter, method string) {
	copyHeader(w.Header(), a.header)

	if method == http.MethodHead {
		setLength(w.Header(), a.header)
	} else {
		w.Header().Set("Content-Length", strconv.FormatInt(a.body.Len(), 10))
	}

	w.WriteHeader(a.status)
	_, _ = a.body.WriteTo(w) // The caller may have left.
}

// bufferedAttempt makes an attempt whose answer is read completely before any part of it is relayed,
// so that the call can be sent again if the answer is incomplete.
func (f *Forwarder) bufferedAttempt(c context.Context, x *exchange, m attempt) result {
	t := m.choice

	m.handover.await(f.firstPartTimeout(x))

	a, p, r := f.receive(c, x, m)
	if r.err != nil {
		return r
	}

	defer a.Body.Close() //nolint:errcheck // The body was read to its end or is abandoned.

	if a.StatusCode < http.StatusMultipleChoices && !p.Sealed {
		return result{err: errors.Mark(errors.New("answer has no seal, the proof that a target made it"), errBroken), outcome: selector.Failed}
	}

	b, err := f.readAnswer(x, a)
	if errors.Is(err, accountant.ErrExhausted) && f.mayRelayUnfinished(x, a) {
		if !m.handover.pause() {
			return result{err: errors.Mark(errSlow, errBroken), outcome: selector.Failed}
		}

		return f.relayUnfinished(c, x, t, a, b)
	}

	if err == nil {
		err = f.checkUnframed(c, a, t.Target)
	}

	if err != nil {
		return result{err: errors.Mark(err, errBroken), outcome: selector.Failed}
	}

	o := &bufferedAnswer{status: a.StatusCode, header: a.Header, body: b}

	if a.StatusCode >= http.StatusInternalServerError {
		return result{err: errors.Newf("the target answered with status %d", a.StatusCode), answer: o, outcome: selector.Failed}
	}

	if breaksPromise(x, a.StatusCode) {
		return result{err: errors.Newf("the target answered with status %d and does not state that it did not run the call", a.StatusCode), answer: o}
	}

	m.handover.pause() // A whole answer is of use, also if another target has taken the call.
	f.recordFirstPart(x, t)

	x.relayed = true
	x.recordRelay(time.Now())
	o.write(x.writer, x.request.Method)

	return result{}
}

// firstPartTimeout returns how long an attempt waits for its answer, or for the first event of a
// stream, before the call is sent to another target. Zero means no time-out, as the call can't be
// sent again.
func (f *Forwarder) firstPartTimeout(x *exchange) time.Duration {
	if !x.rule.Repeatable() || x.sent+1 >= x.rule.Attempts || x.rule.Latency <= 0 {
		return 0
	}

	w := answerWaitFactor
	if x.rule.Kind == cataloger.Stream {
		w = streamWaitFactor
	}

	return time.Duration(w * float64(x.rule.Latency))
}

// setLength sets the length that an answer without a body states, if it does.
func setLength(to, from http.Header) {
	if l := from.Get("Content-Length"); l != "" {
		to.Set("Content-Length", l)
	}
}

func copyHeader(to, from http.Header) {
	for k, v := range endToEndHeaders(from) {
		if v != nil {
			to[k] = v
		}
	}
}

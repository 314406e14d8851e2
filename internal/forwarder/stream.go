package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/splitter"
)

// pauseFactor is how many times the longest pause of full use a stream that may
// go on elsewhere waits for its next event.
const pauseFactor = 4

// stream makes an attempt whose answer is passed on event by event.
func (f *Forwarder) stream(c context.Context, stop context.CancelCauseFunc, x *exchange, t selector.Choice) result {
	group := x.group

	g := newGuard(func() { f.leaveSlow(t, group, stop) })
	defer g.end()

	g.set(f.firstWait(x))

	a, p, r := f.send(c, x, t)
	if r.err != nil {
		return r
	}

	defer a.Body.Close() //nolint:errcheck // Read to its end, or given up.

	if a.StatusCode >= http.StatusMultipleChoices || !p.Sealed {
		return f.failure(a)
	}

	s := splitter.New(a.Body)

	for first := true; ; first = false {
		e, id, err := s.Next()
		if errors.Is(err, io.EOF) {
			return f.finish(x, a)
		}

		if err != nil {
			return result{err: errors.Mark(err, errBroken), outcome: selector.Failed}
		}

		if !follows(x.lastEvent, id) {
			return result{err: errors.Mark(errors.Newf("event %q came after %q", id, x.lastEvent), errBroken), outcome: selector.Failed}
		}

		if first {
			f.read(t)
		}

		if !x.relayed {
			f.begun(x, t)
		}

		f.begin(x, a)
		x.pass(time.Now())

		if _, err := x.writer.Write(e); err != nil {
			return result{err: errors.Mark(err, errCallerLeft), outcome: selector.Inconclusive}
		}

		x.lastEvent = id

		if !s.Ready() {
			_ = http.NewResponseController(x.writer).Flush() // A caller that left shows at the next write.
		}

		g.set(f.pause(x))
	}
}

// failure is the result of an answer that is no stream.
func (f *Forwarder) failure(a *http.Response) result {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil || a.StatusCode < http.StatusMultipleChoices {
		return result{err: errors.Mark(errors.Newf("status %d without a proof or an end", a.StatusCode), errBroken), outcome: selector.Failed}
	}

	return result{
		err:     errors.Newf("the target answered with status %d", a.StatusCode),
		answer:  &whole{status: a.StatusCode, header: a.Header, body: b},
		outcome: selector.Failed,
	}
}

// begin passes on the headers of the first answer, once.
func (f *Forwarder) begin(x *exchange, a *http.Response) {
	if x.relayed {
		return
	}

	x.relayed = true
	copyHeader(x.writer.Header(), a.Header)
	x.writer.WriteHeader(a.StatusCode)
}

// finish ends an answer that came whole.
func (f *Forwarder) finish(x *exchange, a *http.Response) result {
	f.begin(x, a)

	return result{}
}

// pause is how long the next event may take before a stream goes on elsewhere;
// zero when it can't.
func (f *Forwarder) pause(x *exchange) time.Duration {
	if !x.rule.Resumable || x.sent+1 >= x.rule.Attempts {
		return 0
	}

	return pauseFactor * x.rule.Pause
}

// follows says that an event may come after another. A target that goes on with a
// stream may begin too early or too late; passing that on would double or lose a
// part of the answer.
func follows(last, id string) bool {
	a, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}

	b, err := strconv.ParseUint(id, 10, 64)

	return err != nil || b == a+1
}

// guard calls a function when the next step of an attempt takes too long.
type guard struct {
	leave func()
	timer *time.Timer
}

func newGuard(leave func()) *guard {
	return &guard{leave: leave}
}

// set bounds the next step; zero does not bound it.
func (g *guard) set(d time.Duration) {
	switch {
	case d <= 0:
		g.end()
	case g.timer == nil:
		g.timer = time.AfterFunc(d, g.leave)
	default:
		g.timer.Reset(d)
	}
}

func (g *guard) end() {
	if g.timer != nil {
		g.timer.Stop()
	}
}

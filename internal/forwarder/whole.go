package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/selector"
)

const (
	// maxAnswer bounds an answer that is read whole.
	maxAnswer = 16 << 20
	// waitPart is the part of the time of full use that an idempotent call waits
	// for a target before it goes to another, which then still has time to answer.
	// Well over nine in ten answers come before it.
	waitPart = 0.6
	// streamWait is the same for the first event of a stream. An engine that reads
	// long prompts is slow for a while, and the prompt would be read twice.
	streamWait = 1.5
)

var (
	errSlow = errors.New("the target is too slow")
	errLong = errors.New("the answer is too long")
)

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

func (a *whole) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// whole makes an attempt whose answer is read whole before anything of it is
// passed on, so that one that breaks off can be asked for again.
func (f *Forwarder) whole(c context.Context, stop context.CancelCauseFunc, x *exchange, t selector.Choice) result {
	if d := f.firstWait(x); d > 0 {
		group := x.group

		w := time.AfterFunc(d, func() { f.leaveSlow(t, group, stop) })
		defer w.Stop()
	}

	a, p, r := f.send(c, x, t)
	if r.err != nil {
		return r
	}

	defer a.Body.Close() //nolint:errcheck // Read to its end, or given up.

	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		err = errLong
	}

	if err != nil {
		return result{err: errors.Mark(err, errBroken), outcome: selector.Failed}
	}

	o := &whole{status: a.StatusCode, header: a.Header, body: b}

	if a.StatusCode >= http.StatusInternalServerError {
		return result{err: errors.Newf("the target answered with status %d", a.StatusCode), answer: o, outcome: selector.Failed}
	}

	if a.StatusCode < http.StatusMultipleChoices && !p.Sealed {
		return result{err: errors.Mark(errors.New("the answer has no proof that a target made it"), errBroken), outcome: selector.Failed}
	}

	f.begun(x, t)

	x.relayed = true
	x.pass(time.Now())
	o.write(x.writer)

	return result{}
}

// firstWait is how long an attempt waits for its answer, or the first event of
// it, before the call goes to another target; zero when it can't.
func (f *Forwarder) firstWait(x *exchange) time.Duration {
	if !x.rule.Repeatable() || x.sent+1 >= x.rule.Attempts || x.rule.Latency <= 0 {
		return 0
	}

	w := waitPart
	if x.rule.Kind == cataloger.Stream {
		w = streamWait
	}

	return time.Duration(w * float64(x.rule.Latency))
}

// leaveSlow ends an attempt that takes too long, if the call can go to another target.
// Where it can't, an answer that is late is better than none. It is called by a timer.
func (f *Forwarder) leaveSlow(t selector.Choice, group string, stop context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if t.Usable > 1 && f.budgeter.Room(time.Now(), group, f.facts.Instances()) {
		stop(errSlow)
	}
}

func copyHeader(to, from http.Header) {
	for k, v := range forwarded(from) {
		if v != nil {
			to[k] = v
		}
	}
}

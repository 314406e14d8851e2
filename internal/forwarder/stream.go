package forwarder

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/splitter"
)

// pauseFactor is the multiple of the rule's MaxEventGap that a resumable stream waits for its next
// event before it is resumed at another target. A sound target may fall silent for about four times the gap; callers
// abandon a stream after eight times.
const pauseFactor = 6

// maxTrialOfStream is how long a stream goes on until other calls with the same suspected part may begin. A call that crashes
// targets does so as it begins to be answered.
const maxTrialOfStream = time.Second

// streamAttempt makes an attempt whose answer is relayed event by event.
func (f *Forwarder) streamAttempt(c context.Context, x *exchange, m attempt) result {
	t := m.choice

	m.handover.await(f.firstPartTimeout(x))

	a, p, r := f.receive(c, x, m)
	if r.err != nil {
		return r
	}

	defer a.Body.Close() //nolint:errcheck // The body was read to its end or is abandoned.

	if a.StatusCode >= http.StatusMultipleChoices || !p.Sealed {
		return f.readFailure(x, a)
	}

	x.dropAnswer()
	x.answer = f.memory.Open(accountant.Answer, math.MaxInt64)

	s := splitter.New(a.Body, x.answer.Reserve)

	for first := true; ; first = false {
		e, id, err := s.Next()
		if errors.Is(err, io.EOF) {
			if err = f.checkUnframed(c, a, t.Target); err == nil {
				return f.completeStream(x, a)
			}
		}

		if err != nil {
			return result{err: errors.Mark(err, errBroken), outcome: selector.Failed}
		}

		if !mayRelayEvent(x, id) {
			return result{err: errors.Mark(errors.Newf("event %q came after %q", id, x.lastEvent), errBroken), outcome: selector.Failed}
		}

		if !m.handover.pause() {
			return result{err: errors.Mark(errSlow, errBroken), outcome: selector.Failed}
		}

		if first {
			f.confirmPlacements(x, t)
		}

		if !x.relayed {
			f.recordFirstPart(x, t)
		}

		if first {
			x.trialEndsAt = time.Now().Add(maxTrialOfStream)
		}

		if err := f.relayEvent(x, t, a, e, id); err != nil {
			return result{err: errors.Mark(err, errCallerLeft), outcome: selector.Inconclusive}
		}

		if !s.Ready() {
			_ = http.NewResponseController(x.writer).Flush() // The next write fails if the caller disconnected.
		}

		m.handover.resume(x, f.eventTimeout(x))

		if !x.trialEndsAt.IsZero() && x.lastRelay.After(x.trialEndsAt) {
			x.finishTrial()
		}
	}
}

// relayEvent sends an event of an answer, with its ID, to the caller.
func (f *Forwarder) relayEvent(x *exchange, t selector.Choice, a *http.Response, event []byte, id string) error {
	f.relayHeaders(x, a)
	x.recordRelay(time.Now())

	if _, err := x.writer.Write(event); err != nil {
		return err
	}

	if x.lastEvent == "" {
		x.version = t.Target.SoftwareVersion()
	}

	x.lastEvent = id

	return nil
}

// readFailure returns the result of an answer that is not a stream.
func (f *Forwarder) readFailure(x *exchange, a *http.Response) result {
	var (
		b   *accountant.Buffer
		err error
	)

	if a.StatusCode >= http.StatusMultipleChoices {
		b, err = f.readAnswer(x, a)
	}

	if err != nil || a.StatusCode < http.StatusMultipleChoices {
		return result{err: errors.Mark(errors.Newf("answer with status %d is incomplete or has no seal, the proof that a target made it", a.StatusCode), errBroken), outcome: selector.Failed}
	}

	return result{
		err:     errors.Newf("the target answered with status %d", a.StatusCode),
		answer:  &bufferedAnswer{status: a.StatusCode, header: a.Header, body: b},
		outcome: selector.Failed,
	}
}

// relayHeaders sends the headers of the first answer to the caller, once.
func (f *Forwarder) relayHeaders(x *exchange, a *http.Response) {
	if x.relayed {
		return
	}

	x.relayed = true
	copyHeader(x.writer.Header(), a.Header)
	x.writer.WriteHeader(a.StatusCode)
}

// completeStream ends a stream that was received to its end.
func (f *Forwarder) completeStream(x *exchange, a *http.Response) result {
	f.relayHeaders(x, a)

	return result{}
}

// eventTimeout returns how long to wait for the next event before the stream is resumed at another
// target; zero means no time-out, as the stream can't be resumed.
func (f *Forwarder) eventTimeout(x *exchange) time.Duration {
	if !x.rule.Resumable || x.sent+1 >= x.rule.Attempts {
		return 0
	}

	return pauseFactor * x.rule.MaxEventGap
}

// mayRelayEvent reports whether the event with an ID may be relayed. A stream that may be resumed has an ID in each event; bytes without
// end may look like events without one.
func mayRelayEvent(x *exchange, id string) bool {
	return (id != "" || !x.rule.Resumable) && isNextEvent(x.lastEvent, id)
}

// isNextEvent reports whether the event with an ID may follow the event with the ID last. A target
// that resumes a stream may start too early or too late; relaying that would duplicate or lose a
// part of the answer. After an ID that is a number only the next number may follow, or an event without an ID.
func isNextEvent(last, id string) bool {
	a, err := strconv.ParseUint(last, 10, 64)
	if err != nil || id == "" {
		return true
	}

	b, err := strconv.ParseUint(id, 10, 64)

	return err == nil && b == a+1
}

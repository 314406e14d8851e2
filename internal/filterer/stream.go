package filterer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/sender"
)

// errCallerWrite marks failures to write to the caller.
var errCallerWrite = errors.New("writing to the caller failed")

// stream is the state of one streamed answer that is being forwarded.
type stream struct {
	relay    Relay
	exchange *exchanger.Exchange
	events   *sender.EventReader
	// offset is the number of tokens sent to the caller.
	offset int
	// resumes is the number of attempts to resume the stream.
	resumes int
	// pending holds the events other than tokens. They are sent at the end of the
	// stream, because a resumed stream repeats them.
	pending []byte
}

// read begins to read an answer, from its beginning or from where it broke. Nothing is held of the one before.
func (s *stream) read(b io.Reader) {
	m := s.relay.openAnswer(s.exchange)
	s.events = sender.NewEventReader(b, m.Reserve)
}

// copy forwards events until the stream is complete or fails.
func (s *stream) copy() error {
	for {
		e, err := s.events.Next()
		if err != nil {
			return err
		}

		// A late event of an earlier attempt or of another caller's request carries
		// the ID of that request. Forwarding it would insert text of another answer.
		if e.ID != "" && e.ID != sender.RequestID(s.exchange) {
			return sender.ErrWrongRequest
		}

		if e.PromptTokens > 0 {
			s.relay.countTokens(e.PromptTokens, e.CachedTokens)
		}

		switch {
		case e.Done:
			return s.write(append(s.pending, e.Raw...))
		case e.Content:
			if err := s.write(e.Raw); err != nil {
				return err
			}

			s.offset++
		default:
			if err := s.keep(e.Raw); err != nil {
				return err
			}
		}
	}
}

// keep keeps an event until the end of the stream. It fails with sender.ErrTooLong if there are too many, as a target that sends such
// events without end would otherwise use up the memory.
func (s *stream) keep(b []byte) error {
	// The buffer is at most twice as long as what it holds.
	if len(s.pending)+len(b) > maxAnswerBytes || !s.exchange.AnswerMemory.Reserve(2*int64(len(b))) {
		return errors.Mark(errors.New("too many events other than tokens"), sender.ErrTooLong)
	}

	s.pending = append(s.pending, b...)

	return nil
}

// write sends events to the caller. It sends the header before the first event.
func (s *stream) write(b []byte) error {
	x := s.exchange
	if !x.Relayed {
		h := x.Writer.Header()
		sender.CopyAnswerHeader(h, x.Response.Header)
		setTargetHeaders(h, x)
		x.Writer.WriteHeader(http.StatusOK)

		x.Relayed = true
	}

	if _, err := x.Writer.Write(b); err != nil {
		return errors.Mark(err, errCallerWrite)
	}

	// Events that arrive together are flushed together, as each flush is a system call.
	if s.events.Ready() {
		return nil
	}

	if err := http.NewResponseController(x.Writer).Flush(); err != nil {
		return errors.Mark(err, errCallerWrite)
	}

	return nil
}

// reconnect resumes the stream. It retries if no connection to the target is made.
//
// An engine that interrupts streams is often too busy to accept a connection at once, but
// accepts the next. Without the retry, 3 of 2,133 streams failed permanently, on a machine
// with other busy processes, because of a single failed dial.
func (s *stream) reconnect(c context.Context) error {
	for {
		s.resumes++

		err := s.resume(c)
		if !errors.Is(err, sender.ErrNeverSent) || s.resumes >= maxResumes {
			return err
		}

		logrus.WithFields(logrus.Fields{
			"event": "resumeFailed", "request": s.exchange.ID, "attempt": s.exchange.Attempt, "target": s.exchange.Target.Name, "error": err,
		}).Warn()
	}
}

// resume waits for resumeDelay and then requests the rest of the stream, from the current
// offset on.
func (s *stream) resume(c context.Context) error {
	t := time.NewTimer(resumeDelay)
	defer t.Stop()

	select {
	case <-t.C:
	case <-c.Done():
		return errors.Mark(c.Err(), sender.ErrBroken)
	}

	y, end := span(c, "resume")
	r, err := s.relay.Targets.Resume(y, s.exchange, s.offset)
	end(err)

	if err != nil {
		return err
	}

	context.AfterFunc(c, func() { _ = r.Body.Close() })

	s.pending = nil
	s.read(r.Body)

	return nil
}

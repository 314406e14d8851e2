package filterer

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/sender"
)

// errCaller means that the caller could not be written to.
var errCaller = errors.New("the caller can't be written to")

// stream is one streamed answer on its way to the caller.
type stream struct {
	relay    Relay
	exchange *exchanger.Exchange
	events   *sender.EventReader
	// offset is how many tokens the caller has.
	offset int
	// resumes is how often the rest was asked for.
	resumes int
	// tail holds the events after the last token. They go out only once the
	// stream is whole: a resumed stream sends them again.
	tail []byte
}

// copy relays events until the stream is whole.
func (s *stream) copy() error {
	for {
		e, err := s.events.Next()
		if err != nil {
			return err
		}

		// A late event of an earlier attempt, or of another caller's request,
		// carries that one's id. Relayed, it would show as foreign words in the
		// middle of an answer.
		if e.ID != "" && e.ID != sender.RequestID(s.exchange) {
			return sender.ErrStranger
		}

		if e.Prompt > 0 {
			s.relay.count(e.Prompt, e.Cached)
		}

		switch {
		case e.Done:
			return s.write(append(s.tail, e.Raw...))
		case e.Content:
			if err := s.write(e.Raw); err != nil {
				return err
			}

			s.offset++
		default:
			s.tail = append(s.tail, e.Raw...)
		}
	}
}

// write sends events to the caller, after the header for the first.
func (s *stream) write(b []byte) error {
	x := s.exchange
	if !x.Relayed {
		h := x.Writer.Header()
		sender.CopyAnswer(h, x.Response.Header)
		describe(h, x)
		x.Writer.WriteHeader(http.StatusOK)

		x.Relayed = true
	}

	if _, err := x.Writer.Write(b); err != nil {
		return errors.Mark(err, errCaller)
	}

	// What has arrived together goes out together; each flush is a system call.
	if s.events.Buffered() {
		return nil
	}

	if err := http.NewResponseController(x.Writer).Flush(); err != nil {
		return errors.Mark(err, errCaller)
	}

	return nil
}

// reconnect resumes the stream, also when the first connection for it is not made.
//
// An engine that breaks streams off is often too busy to take a connection. The caller
// would see its answer end for good at one dial that failed, though the engine has the
// rest and takes the next: beside busy processes that was so for 3 of 2,133 streams.
func (s *stream) reconnect(c context.Context) error {
	for {
		s.resumes++

		err := s.resume(c)
		if !errors.Is(err, sender.ErrNeverSent) || s.resumes >= resumes {
			return err
		}

		logrus.WithFields(logrus.Fields{
			"event": "resumeFailed", "request": s.exchange.ID, "attempt": s.exchange.Attempt, "target": s.exchange.Target.Name, "error": err,
		}).Warn()
	}
}

// resume gets the rest of the stream from where the caller is.
func (s *stream) resume(c context.Context) error {
	t := time.NewTimer(resumePause)
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

	s.events = sender.NewEventReader(r.Body)
	s.tail = nil

	return nil
}

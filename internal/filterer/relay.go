package filterer

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/sender"
	"github.com/auburntray/auburntray/internal/verifier"
)

const (
	// maxAnswerBytes is the largest answer that is buffered in memory.
	maxAnswerBytes = 32 << 20
	// maxResumes is the largest number of attempts to resume one streamed answer.
	maxResumes = 3
	// resumeDelay is the wait before each resume.
	resumeDelay = 50 * time.Millisecond
)

// Relay forwards a streamed answer to the caller and buffers any other answer.
type Relay struct {
	Targets targets
	Counter *counter.Counter
	// Memory bounds what is held for calls; nil sets no bound.
	Memory *accountant.Accountant
}

// Name implements exchanger.Filter.
func (Relay) Name() string { return "relay" }

// Apply forwards or buffers the answer and closes its body. It fails with
// sender.ErrWrongRequest if the answer belongs to another request, with sender.ErrBroken if it
// is incomplete, and with sender.ErrTooLong if it is too large to be buffered.
func (r Relay) Apply(c context.Context, x *exchanger.Exchange) error {
	defer func() { _ = x.Response.Body.Close() }()

	// An answer with the ID of another request belongs to another caller.
	if v := x.Response.Header.Get(exchanger.TargetRequestID); v != "" && v != sender.RequestID(x) {
		x.Result.TargetFailed = true

		return sender.ErrWrongRequest
	}

	var err error

	// A stream is relayed with status 200. An answer with another status must keep its own.
	if x.ChatCompletion && x.Response.StatusCode == http.StatusOK && strings.HasPrefix(x.Response.Header.Get("Content-Type"), "text/event-stream") {
		err = r.stream(c, x)
	} else {
		err = r.buffer(c, x)
	}

	if err == nil {
		return nil
	}

	if c.Err() != nil {
		// The caller no longer waits for the answer. A cancellation at the target
		// frees the call's slot for other calls.
		if x.ChatCompletion {
			r.Counter.Add(counter.Canceled, 1)

			go r.Targets.Cancel(x)
		}

		return err
	}

	x.Result.TargetFailed = true

	return err
}

// openAnswer returns an empty account for the bytes of an answer, and closes that of the one before.
func (r Relay) openAnswer(x *exchanger.Exchange) *accountant.Account {
	if x.AnswerMemory != nil {
		x.AnswerMemory.Close()
	}

	x.AnswerMemory = r.Memory.Open(accountant.Answer, math.MaxInt64)

	return x.AnswerMemory
}

// buffer reads an answer that is not streamed. Nothing of it is sent to the caller before
// it is complete, so that the caller never gets a truncated answer.
func (r Relay) buffer(c context.Context, x *exchanger.Exchange) error {
	m := r.openAnswer(x)

	n := x.Response.ContentLength
	if x.Response.Body == http.NoBody {
		n = 0 // A length may be stated nevertheless.
	}

	l, err := m.Read(x.Response.Body, n, maxAnswerBytes)

	var b []byte
	if err == nil {
		b, err = m.Join(l)
	}

	switch {
	case errors.Is(err, accountant.ErrTooLong) || errors.Is(err, accountant.ErrExhausted):
		return errors.Mark(err, sender.ErrTooLong)
	case err != nil:
		return errors.Mark(err, sender.ErrBroken)
	case verifier.IsUnframed(x.Response) && r.Targets.MayHaveEnded(c, x.Target.Address):
		return errors.Mark(errors.New("the target may have ended within its answer, which has neither a length nor chunks"), sender.ErrBroken)
	}

	h := make(http.Header)
	sender.CopyAnswerHeader(h, x.Response.Header)
	x.Answer = exchanger.Answer{Status: x.Response.StatusCode, Header: h, Body: b}

	if x.ChatCompletion {
		var u struct {
			Usage sender.Usage `json:"usage"`
		}
		if json.Unmarshal(b, &u) == nil {
			r.countTokens(u.Usage.PromptTokens, u.Usage.Details.CachedTokens)
		}
	}

	return nil
}

// stream forwards events as they arrive and resumes the stream if it is interrupted.
func (r Relay) stream(c context.Context, x *exchanger.Exchange) error {
	s := &stream{relay: r, exchange: x}
	s.read(x.Response.Body)

	for {
		err := s.copy()
		if err == nil {
			return nil
		}

		if c.Err() != nil || s.resumes >= maxResumes || errors.Is(err, errCallerWrite) || errors.Is(err, sender.ErrTooLong) {
			return err
		}

		logrus.WithFields(logrus.Fields{
			"event": "streamBroke", "request": x.ID, "attempt": x.Attempt, "target": x.Target.Name, "offset": s.offset, "error": err,
		}).Warn()

		if err := s.reconnect(c); err != nil {
			return err
		}

		r.Counter.Add(counter.Resumed, 1)
	}
}

// countTokens counts the tokens of a prompt and how many of them the engine had cached.
func (r Relay) countTokens(prompt, cached int) {
	r.Counter.Add(counter.PromptTokens, int64(prompt))
	r.Counter.Add(counter.CachedTokens, int64(cached))
}

package filterer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/sender"
)

const (
	// maxAnswer bounds an answer that is held whole, in bytes.
	maxAnswer = 32 << 20
	// resumes is how often the rest of one streamed answer is asked for.
	resumes     = 3
	resumePause = 50 * time.Millisecond
)

// Relay brings the answer to the caller, or into memory when it is not
// streamed.
type Relay struct {
	Targets targets
	Counter *counter.Counter
}

// Name returns the name of the step.
func (Relay) Name() string { return "relay" }

// Apply relays a stream or reads an answer whole.
func (r Relay) Apply(c context.Context, x *exchanger.Exchange) error {
	defer func() { _ = x.Response.Body.Close() }()

	// An answer that names another request is another caller's.
	if v := x.Response.Header.Get(exchanger.TargetRequestID); v != "" && v != sender.RequestID(x) {
		x.Result.TargetFailed = true

		return sender.ErrStranger
	}

	var err error

	if x.Assistant && strings.HasPrefix(x.Response.Header.Get("Content-Type"), "text/event-stream") {
		err = r.stream(c, x)
	} else {
		err = r.whole(x)
	}

	if err == nil {
		return nil
	}

	if c.Err() != nil {
		// Nobody waits for the answer any more; the slot is freed for others.
		if x.Assistant {
			r.Counter.Add(counter.Canceled, 1)

			go r.Targets.Cancel(x)
		}

		return err
	}

	x.Result.TargetFailed = true

	return err
}

// whole reads an answer that is not streamed. The caller gets its first byte
// only once the last one is here, so that it never gets a part.
func (r Relay) whole(x *exchanger.Exchange) error {
	b, err := io.ReadAll(io.LimitReader(x.Response.Body, maxAnswer+1))
	if err != nil {
		return errors.Mark(err, sender.ErrBroken)
	}

	if len(b) > maxAnswer {
		return sender.ErrTooLong
	}

	h := make(http.Header)
	sender.CopyAnswer(h, x.Response.Header)
	x.Answer = exchanger.Answer{Status: x.Response.StatusCode, Header: h, Body: b}

	if x.Assistant {
		var u struct {
			Usage sender.Usage `json:"usage"`
		}
		if json.Unmarshal(b, &u) == nil {
			r.count(u.Usage.PromptTokens, u.Usage.Details.CachedTokens)
		}
	}

	return nil
}

// stream relays events as they come and resumes the stream where it breaks.
func (r Relay) stream(c context.Context, x *exchanger.Exchange) error {
	s := &stream{relay: r, exchange: x, events: sender.NewEventReader(x.Response.Body)}

	for {
		err := s.copy()
		if err == nil {
			return nil
		}

		if c.Err() != nil || s.resumes >= resumes || errors.Is(err, errCaller) {
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

func (r Relay) count(prompt, cached int) {
	r.Counter.Add(counter.PromptTokens, int64(prompt))
	r.Counter.Add(counter.CachedTokens, int64(cached))
}

package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/sender"
	"github.com/auburntray/auburntray/internal/standin/engine"
)

const (
	promptLines        = 60
	maxHistoryMessages = 24
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat is a multi-turn chat, whose prompt grows with each turn.
type chat struct {
	name      string
	customer  string
	placement string
	turn      int
	messages  []message
}

func newChat(i int, s Settings) *chat {
	c := s.Customers[i%len(s.Customers)]
	// The chats of a customer share a prompt prefix.
	p := strings.Repeat("Line of the chart of accounts of "+c+". ", promptLines)

	return &chat{name: fmt.Sprintf("chat-%d", i), customer: c, messages: []message{{Role: "system", Content: p}}}
}

// sendTurn sends the chat's next message and validates the answer.
func (d *Driver) sendTurn(c context.Context, h *chat) {
	h.turn++
	n := 1 + d.intN(max(d.settings.Tokens, 1))
	q := fmt.Sprintf("%s asks question %d: %s", h.name, h.turn, strings.Repeat("Which cells fit? ", 1+d.intN(20))) //nolint:mnd // Random length.
	h.messages = append(h.messages, message{Role: "user", Content: q})

	b, err := json.Marshal(map[string]any{
		"model": d.settings.Model, "messages": h.messages, "stream": true, "max_tokens": n,
	})
	if err != nil {
		d.result.add(Failed, "request", 0, 0)

		return
	}

	x := http.Header{"Content-Type": {"application/json"}}
	x.Set(exchanger.HeaderCustomer, h.customer)
	x.Set(exchanger.HeaderChat, h.name)
	x.Set(exchanger.HeaderDeadline, d.settings.Deadline.String())

	if h.placement != "" {
		x.Set(exchanger.HeaderPlacement, h.placement)
	}

	a := d.send(c, call{path: "/v1/chat/completions", body: b, header: x}, d.readStream)
	if a.outcome == Served && string(a.body) != strings.Join(engine.Answer(q, n), "") {
		a.outcome = Wrong
	}

	d.result.add(a.outcome, a.code, a.first, a.total)
	h.recordAnswer(a)
}

// recordAnswer appends a served answer to the chat's history; otherwise it removes
// the message that was not answered. A history over the limit is reset to the system
// message.
func (h *chat) recordAnswer(a answer) {
	if a.outcome != Served {
		h.messages = h.messages[:len(h.messages)-1]

		return
	}

	h.placement = a.header.Get(exchanger.HeaderPlacement)
	h.messages = append(h.messages, message{Role: "assistant", Content: string(a.body)})

	if len(h.messages) > maxHistoryMessages {
		h.messages = h.messages[:1]
	}
}

// readStream reads a streamed answer. It fails with errInterrupted if the stream
// ends without its final event.
func (d *Driver) readStream(r *http.Response) ([]byte, time.Time, error) {
	var (
		b     strings.Builder
		first time.Time
	)

	e := sender.NewEventReader(r.Body, nil)

	for {
		v, err := e.Next()
		if err != nil {
			return nil, first, errors.Mark(err, errInterrupted)
		}

		if v.PromptTokens > 0 {
			d.result.addTokens(v.PromptTokens, v.CachedTokens)
		}

		if v.Done {
			// Reading up to EOF detects a connection that was closed abnormally
			// after the last event.
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return nil, first, errors.Mark(err, errInterrupted)
			}

			return []byte(b.String()), first, nil
		}

		if v.Content {
			if first.IsZero() {
				first = time.Now()
			}

			b.WriteString(v.Text)
		}
	}
}

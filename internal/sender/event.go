package sender

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/splitter"
)

const (
	dataPrefix = "data: "
	dataDone   = "[DONE]"
)

// Event is one server-sent event of a streamed answer.
type Event struct {
	// Raw is the event as received, including the empty line at its end.
	Raw []byte
	// ID is the ID of the answer, empty when the event has none.
	ID string
	// Content reports whether the event contains a part of the answer; Text is that part.
	Content bool
	Text    string
	// Done reports whether the answer is complete.
	Done bool
	// PromptTokens and CachedTokens are the token counts of the usage event, zero in other events.
	PromptTokens, CachedTokens int
}

// Usage holds the token counts of an answer.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	Details      struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type chunk struct {
	ID      string `json:"id"`
	Usage   *Usage `json:"usage"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// EventReader reads the events of a streamed answer. It is not safe for
// concurrent use.
type EventReader struct {
	events *splitter.Splitter
}

// NewEventReader returns an EventReader over an answer's body. It calls reserve before it holds a long event, as splitter.New does.
func NewEventReader(r io.Reader, reserve func(bytes int64) bool) *EventReader {
	return &EventReader{events: splitter.New(r, reserve)}
}

// Next returns the next event, which is valid until the next call. It fails with ErrBroken when the body ends before an
// event is complete, or when an event is longer than 1 MiB or than the memory that can be reserved.
func (e *EventReader) Next() (Event, error) {
	b, _, err := e.events.Next()
	if err != nil {
		return Event{}, errors.Mark(err, ErrBroken)
	}

	o := Event{Raw: b}

	for l := range bytes.Lines(b) {
		if d, ok := bytes.CutPrefix(bytes.TrimRight(l, "\r\n"), []byte(dataPrefix)); ok {
			o.decode(d)
		}
	}

	return o, nil
}

// Ready reports whether the next event can be read without blocking.
func (e *EventReader) Ready() bool {
	return e.events.Ready()
}

// decode sets the fields of the event from the content of its data field. Content that is not
// a JSON object of the expected form is ignored.
func (e *Event) decode(d []byte) {
	if string(d) == dataDone {
		e.Done = true

		return
	}

	var c chunk
	if err := json.Unmarshal(d, &c); err != nil {
		return
	}

	e.ID = c.ID

	for _, x := range c.Choices {
		e.Content = e.Content || x.Delta.Content != ""
		e.Text += x.Delta.Content
	}

	if c.Usage != nil {
		e.PromptTokens = c.Usage.PromptTokens
		e.CachedTokens = c.Usage.Details.CachedTokens
	}
}

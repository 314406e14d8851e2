package sender

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

const (
	dataPrefix = "data: "
	dataDone   = "[DONE]"
)

// Event is one event of a streamed answer.
type Event struct {
	// Raw is the event as it came, with the empty line after it.
	Raw []byte
	// ID is the answer's id, empty when the event has none.
	ID string
	// Content says that the event carries a part of the answer, which is Text.
	Content bool
	Text    string
	// Done says that the answer is whole.
	Done bool
	// Prompt and Cached are token counts of the usage event, else zero.
	Prompt, Cached int
}

// Usage is the part of an answer that counts tokens.
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
	reader *bufio.Reader
}

// NewEventReader returns an EventReader over an answer's body.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReader(r)}
}

// Next returns the next event. It fails with ErrBroken when the body ends
// before an event is whole.
func (e *EventReader) Next() (Event, error) {
	var o Event

	for {
		l, err := e.reader.ReadBytes('\n')
		if err != nil {
			return o, errors.Mark(err, ErrBroken)
		}

		o.Raw = append(o.Raw, l...)
		if len(o.Raw) > maxEvent {
			return o, errors.Mark(errors.New("an event is too long"), ErrBroken)
		}

		l = bytes.TrimRight(l, "\r\n")
		if len(l) == 0 {
			return o, nil
		}

		if d, ok := bytes.CutPrefix(l, []byte(dataPrefix)); ok {
			o.read(d)
		}
	}
}

// Buffered says that more of the answer is here already.
func (e *EventReader) Buffered() bool {
	return e.reader.Buffered() > 0
}

func (e *Event) read(d []byte) {
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
		e.Prompt = c.Usage.PromptTokens
		e.Cached = c.Usage.Details.CachedTokens
	}
}

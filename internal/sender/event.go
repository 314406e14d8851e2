package sender

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

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
	reader *bufio.Reader
}

// NewEventReader returns an EventReader over an answer's body.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReader(r)}
}

// Next returns the next event. It fails with ErrBroken when the body ends before an
// event is complete, or when an event is longer than 1 MiB.
func (e *EventReader) Next() (Event, error) {
	var o Event

	line := 0 // Where the current line begins.

	for {
		l, err := e.reader.ReadSlice('\n')

		// A line without end must not be read to its end.
		full := errors.Is(err, bufio.ErrBufferFull)
		if err != nil && !full {
			return o, errors.Mark(err, ErrBroken)
		}

		o.Raw = append(o.Raw, l...)
		if len(o.Raw) > maxEventBytes {
			return o, errors.Mark(errors.New("an event is too long"), ErrBroken)
		}

		if full {
			continue
		}

		l = bytes.TrimRight(o.Raw[line:], "\r\n")
		line = len(o.Raw)

		if len(l) == 0 {
			return o, nil
		}

		if d, ok := bytes.CutPrefix(l, []byte(dataPrefix)); ok {
			o.decode(d)
		}
	}
}

// Buffered reports whether more of the answer can be read without blocking.
func (e *EventReader) Buffered() bool {
	return e.reader.Buffered() > 0
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

// Package splitter cuts a streamed answer into its events.
package splitter

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxEvent bounds one event; what is longer is no event.
	maxEvent = 1 << 20
	// bufferBytes holds a few of the usual events.
	bufferBytes = 4 << 10
)

// ErrBroken means that the stream ended in the middle of an event, or is none.
var ErrBroken = errors.New("the stream is broken")

var idField = []byte("id:") //nolint:gochecknoglobals // A constant.

// Splitter reads the events of a stream. It is not safe for concurrent use.
type Splitter struct {
	reader *bufio.Reader
}

// New returns a Splitter over a stream.
func New(r io.Reader) *Splitter {
	return &Splitter{reader: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the next event as it came, with the empty line that ends it, and
// its ID, which is empty when it has none. At the end between two events it
// returns io.EOF; it fails with ErrBroken when the stream ends elsewhere.
func (s *Splitter) Next() (raw []byte, id string, err error) {
	for {
		l, err := s.reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(l) == 0 && len(raw) == 0 {
			return nil, "", io.EOF
		}

		if err != nil {
			// Not marked on the error itself: an end in the middle of an event must
			// not look like one between two.
			return nil, "", errors.Mark(errors.Newf("the stream ended in an event: %v", err), ErrBroken)
		}

		raw = append(raw, l...)
		if len(raw) > maxEvent {
			return nil, "", errors.Mark(errors.New("an event is too long"), ErrBroken)
		}

		l = bytes.TrimRight(l, "\r\n")
		if len(l) == 0 {
			return raw, id, nil
		}

		if x, ok := bytes.CutPrefix(l, idField); ok {
			id = string(bytes.TrimSpace(x))
		}
	}
}

// Ready says that the next event is here already, whole.
func (s *Splitter) Ready() bool {
	b, err := s.reader.Peek(s.reader.Buffered())

	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

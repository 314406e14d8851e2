// Package splitter splits a streamed answer into server-sent events.
package splitter

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes limits the length of one event, so that an event that never ends cannot exhaust the memory.
	maxEventBytes = 1 << 20
	// bufferBytes has space for several events of usual size.
	bufferBytes = 4 << 10
)

// ErrBroken means that the stream ended in the middle of an event, or that an event is too long.
var ErrBroken = errors.New("the event stream is broken")

var idField = []byte("id:") //nolint:gochecknoglobals // A constant.

// Splitter reads the events of a stream. It is not safe for concurrent use.
type Splitter struct {
	reader *bufio.Reader
}

// New returns a Splitter over a stream.
func New(r io.Reader) *Splitter {
	return &Splitter{reader: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the next event as received, with the empty line that ends it, and
// its ID, which is empty when the event has none. It returns io.EOF when the stream
// ends after a complete event, and fails with ErrBroken when it ends elsewhere or
// an event is longer than 1 MiB.
func (s *Splitter) Next() (raw []byte, id string, err error) {
	for {
		l, err := s.reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(l) == 0 && len(raw) == 0 {
			return nil, "", io.EOF
		}

		if err != nil {
			// The error is formatted, not wrapped: io.EOF in the middle of an event
			// must not be mistaken for the regular end of the stream.
			return nil, "", errors.Mark(errors.Newf("the stream ended in an event: %v", err), ErrBroken)
		}

		raw = append(raw, l...)
		if len(raw) > maxEventBytes {
			return nil, "", errors.Mark(errors.Newf("an event is longer than %d bytes", maxEventBytes), ErrBroken)
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

// Ready reports whether the next event is buffered completely, so that Next does not block.
func (s *Splitter) Ready() bool {
	b, err := s.reader.Peek(s.reader.Buffered())

	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

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
	// usualBytes is the length up to which an event needs no reservation.
	usualBytes = 16 << 10
)

// ErrBroken means that the stream ended in the middle of an event, or that an event is too long.
var ErrBroken = errors.New("the event stream is broken")

var idField = []byte("id:") //nolint:gochecknoglobals // A constant.

// Splitter reads the events of a stream. It is not safe for concurrent use.
type Splitter struct {
	reader  *bufio.Reader
	reserve func(bytes int64) bool
	// reserved is the length up to which an event needs no further reservation.
	reserved int
	// event is the buffer of the current event.
	event []byte
}

// New returns a Splitter over a stream. It calls reserve before it holds more bytes of an event than of any before, beyond 16 KiB,
// with the number of further bytes; the result reports whether they may be held. They remain reserved. With a nil reserve they
// always may.
func New(r io.Reader, reserve func(bytes int64) bool) *Splitter {
	return &Splitter{reader: bufio.NewReaderSize(r, bufferBytes), reserve: reserve, reserved: usualBytes}
}

// Next returns the next event as received, with the empty line that ends it, and
// its ID, which is empty when the event has none. The event is valid until the next call. It returns io.EOF when the stream
// ends after a complete event, and fails with ErrBroken when it ends elsewhere or
// an event is longer than 1 MiB or than the memory that can be reserved.
func (s *Splitter) Next() (raw []byte, id string, err error) {
	line := 0 // Where the current line begins.
	raw = s.event[:0]

	for {
		l, err := s.reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) && len(l) == 0 && len(raw) == 0 {
			return nil, "", io.EOF
		}

		// A line without end must not be read to its end.
		full := errors.Is(err, bufio.ErrBufferFull)
		if err != nil && !full {
			// The error is formatted, not wrapped: io.EOF in the middle of an event
			// must not be mistaken for the regular end of the stream.
			return nil, "", errors.Mark(errors.Newf("the stream ended in an event: %v", err), ErrBroken)
		}

		if err := s.grow(len(raw) + len(l)); err != nil {
			return nil, "", err
		}

		raw = append(raw, l...)
		s.event = raw

		if full {
			continue
		}

		l = bytes.TrimRight(raw[line:], "\r\n")
		line = len(raw)

		if len(l) == 0 {
			return raw, id, nil
		}

		if x, ok := bytes.CutPrefix(l, idField); ok {
			id = string(bytes.TrimSpace(x))
		}
	}
}

// grow reserves the memory for an event of n bytes. It fails with ErrBroken if the event is too long.
func (s *Splitter) grow(n int) error {
	if n > maxEventBytes {
		return errors.Mark(errors.Newf("an event is longer than %d bytes", maxEventBytes), ErrBroken)
	}

	if n <= s.reserved {
		return nil
	}

	// The buffer of an event is at most twice as long as the event.
	to := min(max(n, 2*s.reserved), maxEventBytes)
	if s.reserve != nil && !s.reserve(2*int64(to-s.reserved)) {
		return errors.Mark(errors.Newf("no memory for an event of more than %d bytes", s.reserved), ErrBroken)
	}

	s.reserved = to

	return nil
}

// Ready reports whether the next event is buffered completely, so that Next does not block.
func (s *Splitter) Ready() bool {
	b, err := s.reader.Peek(s.reader.Buffered())

	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

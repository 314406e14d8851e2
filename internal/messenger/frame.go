package messenger

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// MaxFrame is the largest frame in bytes. It is several times the size of the configuration
	// document of the largest fleet that the system is designed for.
	MaxFrame = 16 << 20
	// readChunkBytes is the number of bytes of a frame that are read at a time.
	readChunkBytes = 16 << 10
	// frameOverhead is the capacity in bytes for the length and the frame's other fields.
	frameOverhead = 24
)

// Size returns the size of a message's frame in bytes, including the length, or zero if
// the message can't be encoded.
func Size(k wire.Kind, id uint32, m msgp.Marshaler) int {
	b, err := encode(k, id, m)
	if err != nil {
		return 0
	}

	return len(b)
}

// encode returns a frame preceded by its length. It fails with ErrFrame if the message
// can't be encoded or exceeds MaxFrame.
func encode(k wire.Kind, id uint32, m msgp.Marshaler) ([]byte, error) {
	b := msgp.Raw{}

	if m != nil {
		x, err := m.MarshalMsg(nil)
		if err != nil {
			return nil, errors.Mark(err, ErrFrame)
		}

		b = x
	}

	f := wire.Frame{Kind: k, ID: id, Body: b}

	o, err := f.MarshalMsg(make([]byte, binary.MaxVarintLen32, len(b)+frameOverhead))
	if err != nil {
		return nil, errors.Mark(err, ErrFrame)
	}

	n := len(o) - binary.MaxVarintLen32
	if n > MaxFrame {
		return nil, errors.Mark(errors.Newf("frame of %d bytes exceeds the limit of %d bytes", n, MaxFrame), ErrFrame)
	}

	// The length is written into the space before the frame, which avoids a copy.
	var l [binary.MaxVarintLen64]byte

	s := binary.MaxVarintLen32 - binary.PutUvarint(l[:], uint64(n)) //nolint:gosec // Not negative.
	copy(o[s:], l[:binary.MaxVarintLen32-s])

	return o[s:], nil
}

// decode reads one frame and returns it with its size in bytes. It fails with ErrFrame if
// the frame is invalid and with ErrUnreachable if the connection breaks. A length above
// MaxFrame is refused before the memory is allocated, so that a faulty peer can't exhaust
// the memory.
//
// If progress is not nil, it is called for each further chunk of a long frame.
func decode(r *bufio.Reader, progress func()) (wire.Frame, int, error) {
	var f wire.Frame

	n, err := binary.ReadUvarint(r)
	if err != nil {
		return f, 0, errors.Mark(err, ErrUnreachable)
	}

	if n == 0 || n > MaxFrame {
		return f, 0, errors.Mark(errors.Newf("frame length of %d bytes is not between 1 and %d", n, MaxFrame), ErrFrame)
	}

	// The memory grows with what has arrived: a peer that names a length may send nothing.
	var b []byte

	for o := 0; o < int(n); o += readChunkBytes {
		if o > 0 && progress != nil {
			progress()
		}

		k := min(readChunkBytes, int(n)-o)
		b = slices.Grow(b, k)[:o+k]

		if _, err := io.ReadFull(r, b[o:]); err != nil {
			return f, 0, errors.Mark(err, ErrUnreachable)
		}
	}

	if _, err := f.UnmarshalMsg(b); err != nil {
		return f, 0, errors.Mark(err, ErrFrame)
	}

	return f, len(binary.AppendUvarint(nil, n)) + int(n), nil
}

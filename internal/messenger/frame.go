package messenger

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// MaxFrame is the largest frame in bytes. A document of the design size
	// fits several times.
	MaxFrame = 16 << 20
	// piece is how many bytes of a frame are read at a time.
	piece = 16 << 10
	// room is for the length and the frame's own fields.
	room = 24
)

// Size returns how many bytes a message takes on a connection.
func Size(k wire.Kind, id uint32, m msgp.Marshaler) int {
	b, err := encode(k, id, m)
	if err != nil {
		return 0
	}

	return len(b)
}

// encode returns a frame with its length before it.
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

	o, err := f.MarshalMsg(make([]byte, binary.MaxVarintLen32, len(b)+room))
	if err != nil {
		return nil, errors.Mark(err, ErrFrame)
	}

	n := len(o) - binary.MaxVarintLen32
	if n > MaxFrame {
		return nil, errors.Mark(errors.Newf("a frame of %d bytes", n), ErrFrame)
	}

	// The length is written right before the frame, so that nothing is copied.
	var l [binary.MaxVarintLen64]byte

	s := binary.MaxVarintLen32 - binary.PutUvarint(l[:], uint64(n)) //nolint:gosec // Not negative.
	copy(o[s:], l[:binary.MaxVarintLen32-s])

	return o[s:], nil
}

// decode reads one frame and returns it with its size. A length above MaxFrame
// is refused before memory is taken for it, or one bad peer could take all of
// it.
//
// It calls came, when that is not nil, as the pieces of a long frame arrive.
func decode(r *bufio.Reader, came func()) (wire.Frame, int, error) {
	var f wire.Frame

	n, err := binary.ReadUvarint(r)
	if err != nil {
		return f, 0, errors.Mark(err, ErrUnreachable)
	}

	if n == 0 || n > MaxFrame {
		return f, 0, errors.Mark(errors.Newf("a frame of %d bytes", n), ErrFrame)
	}

	b := make([]byte, n)

	for o := 0; o < len(b); o += piece {
		if o > 0 && came != nil {
			came()
		}

		if _, err := io.ReadFull(r, b[o:min(o+piece, len(b))]); err != nil {
			return f, 0, errors.Mark(err, ErrUnreachable)
		}
	}

	if _, err := f.UnmarshalMsg(b); err != nil {
		return f, 0, errors.Mark(err, ErrFrame)
	}

	return f, len(binary.AppendUvarint(nil, n)) + int(n), nil
}

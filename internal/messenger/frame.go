package messenger

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// MaxFrame is the largest frame in bytes. A document of the design size
	// fits several times.
	MaxFrame    = 16 << 20
	lengthBytes = 4
)

// Message is a generated wire message.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
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

	o, err := f.MarshalMsg(make([]byte, lengthBytes, lengthBytes+len(b)+16)) //nolint:mnd // Room for the frame's own fields.
	if err != nil {
		return nil, errors.Mark(err, ErrFrame)
	}

	if len(o)-lengthBytes > MaxFrame {
		return nil, errors.Mark(errors.Newf("a frame of %d bytes", len(o)), ErrFrame)
	}

	binary.BigEndian.PutUint32(o, uint32(len(o)-lengthBytes)) //nolint:gosec // Bounded by MaxFrame.

	return o, nil
}

// decode reads one frame. A length above MaxFrame is refused before memory is
// taken for it, or one bad peer could take all of it.
func decode(r io.Reader) (wire.Frame, int, error) {
	var (
		f wire.Frame
		h [lengthBytes]byte
	)

	if _, err := io.ReadFull(r, h[:]); err != nil {
		return f, 0, errors.Mark(err, ErrUnreachable)
	}

	n := binary.BigEndian.Uint32(h[:])
	if n == 0 || n > MaxFrame {
		return f, 0, errors.Mark(errors.Newf("a frame of %d bytes", n), ErrFrame)
	}

	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return f, 0, errors.Mark(err, ErrUnreachable)
	}

	if _, err := f.UnmarshalMsg(b); err != nil {
		return f, 0, errors.Mark(err, ErrFrame)
	}

	return f, lengthBytes + int(n), nil
}

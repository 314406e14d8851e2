package messenger

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// MaxFrame is the largest frame in bytes. It is several times the size of the configuration
	// document of the largest fleet that the system is designed for.
	MaxFrame = 16 << 20
	// readChunkBytes is the number of bytes of a frame that are read at a time, and maxChunkBytes the length of the longest chunk.
	readChunkBytes = 16 << 10
	maxChunkBytes  = 256 << 10
	// usualFrameBytes is what a frame may take that is essential to the instances' agreement.
	usualFrameBytes = 256 << 10
	// frameCopies is how many times its length a frame takes until it is handled: its chunks, all of them, and the decoded message.
	frameCopies = 3
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

// decoder reads the frames of one connection.
type decoder struct {
	reader *bufio.Reader
	// most is the length of the longest frame, in bytes.
	most uint64
	// memory counts long frames while they arrive and are handled; it may be nil.
	memory *accountant.Accountant
	// progress is called with the number of bytes that have arrived of a frame, before each readChunkBytes more; it may be nil.
	progress func(arrived int)
}

// decode reads one frame and returns it with its size in bytes. The release function must be called once the frame was handled. It fails
// with ErrFrame if the frame is invalid or there is no memory for it, and with ErrUnreachable if the connection breaks. A length
// above the most is refused before the memory is allocated, so that a faulty peer can't exhaust the memory.
func (d *decoder) decode() (f wire.Frame, size int, release func(), err error) {
	n, err := binary.ReadUvarint(d.reader)
	if err != nil {
		return f, 0, nil, errors.Mark(err, ErrUnreachable)
	}

	if n == 0 || n > d.most {
		return f, 0, nil, errors.Mark(errors.Newf("frame length of %d bytes is not between 1 and %d", n, d.most), ErrFrame)
	}

	a := d.memory.Open(accountant.Message, usualFrameBytes)

	b, err := d.read(int(n), a) //nolint:gosec // At most MaxFrame.
	if err == nil {
		if _, err = f.UnmarshalMsg(b); err != nil {
			err = errors.Mark(err, ErrFrame)
		}
	}

	if err != nil {
		a.Close()

		return f, 0, nil, err
	}

	return f, len(binary.AppendUvarint(nil, n)) + int(n), a.Close, nil //nolint:gosec // At most MaxFrame.
}

// read reads a frame of n bytes. The memory grows with what has arrived: a peer that names a length may send nothing.
func (d *decoder) read(n int, a *accountant.Account) ([]byte, error) {
	var l [][]byte

	for o := 0; o < n; {
		// Each chunk is as long as all before it, so that nothing is copied as the frame grows.
		b := make([]byte, min(max(o, readChunkBytes), maxChunkBytes, n-o))

		// Short frames are not reserved, so that instances agree whatever callers hold.
		if n > readChunkBytes && !a.Reserve(int64(len(b))*frameCopies) {
			return nil, errors.Mark(errors.Newf("no memory for a frame of %d bytes", n), ErrFrame)
		}

		if err := d.fill(b, o); err != nil {
			return nil, err
		}

		l = append(l, b)
		o += len(b)
	}

	if len(l) == 1 {
		return l[0], nil
	}

	return slices.Concat(l...), nil
}

// fill reads until b is full, after the bytes of the frame that have arrived.
func (d *decoder) fill(b []byte, arrived int) error {
	for o := 0; o < len(b); o += readChunkBytes {
		if d.progress != nil {
			d.progress(arrived + o)
		}

		if _, err := io.ReadFull(d.reader, b[o:min(o+readChunkBytes, len(b))]); err != nil {
			return errors.Mark(err, ErrUnreachable)
		}
	}

	return nil
}

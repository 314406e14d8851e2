package accountant

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// Data of unknown length is read into chunks, so that it is never copied as it grows. Each chunk is as long as all before it, from
	// minChunkBytes to maxChunkBytes.
	minChunkBytes = 4 << 10
	maxChunkBytes = 256 << 10
)

// Buffer is data that was read into memory, whose bytes are counted in an account. A nil Buffer is empty.
type Buffer struct {
	chunks [][]byte
	size   int64
	// open is the number of readers that were not closed.
	open atomic.Int32
}

// InUse reports whether a reader of the data was not closed yet.
func (b *Buffer) InUse() bool {
	return b != nil && b.open.Load() > 0
}

// Len returns the number of bytes.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}

	return b.size
}

// Chunks returns the data in its parts. They must not be changed.
func (b *Buffer) Chunks() [][]byte {
	if b == nil {
		return nil
	}

	return b.chunks
}

// Join returns the data in one piece. It fails with ErrExhausted if that needs a copy for which there is no memory in the account.
func (a *Account) Join(b *Buffer) ([]byte, error) {
	switch l := b.Chunks(); len(l) {
	case 0:
		return nil, nil
	case 1:
		return l[0], nil
	default:
		if !a.Reserve(b.Len()) {
			return nil, ErrExhausted
		}

		return slices.Concat(l...), nil
	}
}

// ReadAll reads r to its end, without an account and without the copies of a growing buffer. A negative length stands for an unknown
// one. It fails with ErrTooLong if there are more than most bytes, and as r does, with what has been read so far.
func ReadAll(r io.Reader, length, most int64) ([]byte, error) {
	a := &Account{}

	b, err := a.Read(r, length, most)
	l, _ := a.Join(b) // Without an account there is always memory.

	return l, err
}

// WriteTo writes the data. It implements io.WriterTo.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	var o int64

	for _, x := range b.Chunks() {
		n, err := w.Write(x)
		o += int64(n)

		if err != nil {
			return o, err
		}
	}

	return o, nil
}

// Read reads r to its end and counts the bytes in the account. A length that is known is reserved before any byte is read;
// a negative one stands for an unknown length. It fails with ErrTooLong if there are more than most bytes, with
// ErrExhausted if the memory does not suffice, and as r does. It then returns what has been read so far.
func (a *Account) Read(r io.Reader, length, most int64) (*Buffer, error) {
	b := &Buffer{}

	switch {
	case length > most:
		return b, ErrTooLong
	case length == 0:
		return b, nil
	case length > 0:
		return b, a.readKnown(b, r, length)
	default:
		return b, a.readUnknown(b, r, most)
	}
}

// readKnown reads data of a known length into one chunk.
func (a *Account) readKnown(b *Buffer, r io.Reader, length int64) error {
	if !a.Reserve(length) {
		return ErrExhausted
	}

	x := make([]byte, length)
	n, err := fill(r, x)
	b.add(x[:n])

	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}

// readUnknown reads data until its end.
func (a *Account) readUnknown(b *Buffer, r io.Reader, most int64) error {
	for {
		k := min(max(b.size, minChunkBytes), maxChunkBytes)
		if !a.Reserve(k) {
			return ErrExhausted
		}

		x := make([]byte, k)
		n, err := fill(r, x)
		b.add(x[:n])

		switch {
		case b.size > most:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// fill reads until b is full, and returns nil then, or until r fails. Unlike io.ReadFull it returns the reader's own error, so that
// data that was cut off can be told from data that has ended.
func fill(r io.Reader, b []byte) (int, error) {
	o := 0

	for o < len(b) {
		n, err := r.Read(b[o:])
		o += n

		if err != nil && o < len(b) {
			return o, err
		}
	}

	return o, nil
}

func (b *Buffer) add(x []byte) {
	if len(x) > 0 {
		b.chunks = append(b.chunks, x)
		b.size += int64(len(x))
	}
}

// reader reads a Buffer once.
type reader struct {
	buffer *Buffer

	mu     sync.Mutex
	closed bool
	chunks [][]byte
	// offset is the number of bytes read of the first chunk.
	offset int
}

// NewReader returns a reader of the data, which keeps nothing of it once it is closed.
func (b *Buffer) NewReader() io.ReadCloser {
	if b != nil {
		b.open.Add(1)
	}

	return &reader{buffer: b, chunks: b.Chunks()}
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.chunks) == 0 {
		return 0, io.EOF
	}

	n := copy(b, r.chunks[0][r.offset:])
	r.offset += n

	if r.offset == len(r.chunks[0]) {
		r.chunks, r.offset = r.chunks[1:], 0
	}

	return n, nil
}

// Close implements io.Closer.
func (r *reader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.buffer != nil && !r.closed {
		r.buffer.open.Add(-1)
	}

	r.chunks, r.closed = nil, true

	return nil
}

package repeater

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// compressMinBytes is the length from which values are compressed. A configuration of a few hundred rules is
	// 100 KB and more. Sent by one instance with a link of 10 Mbit/s to twenty others, it would take two
	// seconds, in which the next version arrives. Compressed it is a tenth of that.
	compressMinBytes = 4 << 10
	// maxValueBytes bounds a decompressed value.
	maxValueBytes = 16 << 20
)

// compress compresses a value with DEFLATE.
func compress(v []byte) []byte {
	var b bytes.Buffer

	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // Impossible: the level is a valid constant.
	}

	_, _ = w.Write(v) // Writes to a buffer never fail.
	_ = w.Close()     // As above.

	return b.Bytes()
}

// decompress reverses compress. It fails with ErrPeer.
func decompress(b []byte) ([]byte, error) {
	v, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxValueBytes+1))
	if err != nil || len(v) > maxValueBytes {
		return nil, errors.Mark(errors.Newf("could not decompress a value of %d bytes: %v", len(b), err), ErrPeer)
	}

	return v, nil
}

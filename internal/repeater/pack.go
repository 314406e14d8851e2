package repeater

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// packFrom is the length from which values are compressed. A configuration of
	// some hundred rules is 100 KB and more; told to twenty instances by one with a
	// link of 10 Mbit/s it would take two seconds, in which the next version comes.
	// Compressed it is a tenth of that.
	packFrom = 4 << 10
	// maxUnpacked bounds what a short form may become.
	maxUnpacked = 16 << 20
)

// pack returns the short form of a value.
func pack(v []byte) []byte {
	var b bytes.Buffer

	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant that there is.
	}

	_, _ = w.Write(v) // A buffer takes everything.
	_ = w.Close()     // As above.

	return b.Bytes()
}

// unpack returns the value of a short form. It fails with ErrPeer.
func unpack(b []byte) ([]byte, error) {
	v, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxUnpacked+1))
	if err != nil || len(v) > maxUnpacked {
		return nil, errors.Mark(errors.Newf("a value can't be unpacked: %v", err), ErrPeer)
	}

	return v, nil
}

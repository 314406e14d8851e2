// Package digester tells calls apart by what targets are asked to do, so that a call that
// comes again under another ID, at another instance, is known for the same.
package digester

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrDigest marks a text that is no digest.
var ErrDigest = errors.New("the digest is not valid")

// Digest stands for a call: the first 64 bits of a SHA-256. Nothing of the call can be read
// from it, so it may be logged and told to other instances. Two calls of the 10^9 that a
// fleet serves in four days share one with a chance of 3 in 100.
type Digest uint64

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return fmt.Sprintf("%016x", uint64(d))
}

// Parse reads what String returns. It fails with ErrDigest.
func Parse(s string) (Digest, error) {
	const base, bits, digits = 16, 64, 16

	n, err := strconv.ParseUint(s, base, bits)
	if err != nil || len(s) != digits {
		return 0, errors.Wrapf(ErrDigest, "%q must be 16 hexadecimal digits", s)
	}

	return Digest(n), nil
}

// Of returns the digest of a call. Uri is its path with its query as the caller sent it. The
// call's ID, its framing, its other headers and the event it goes on from make no difference:
// they differ between two sendings of the same call. It takes a microsecond a KB.
func Of(customer, method, uri string, body []byte) Digest {
	h := sha256.New()

	for _, s := range []string{customer, method, uri} {
		add(h, []byte(s))
	}

	add(h, body)

	return Digest(binary.BigEndian.Uint64(h.Sum(nil)))
}

// add hashes a field after its length: without it the end of one field and the beginning of
// the next could change places, and two calls would share a digest.
func add(h hash.Hash, b []byte) {
	var n [8]byte

	binary.BigEndian.PutUint64(n[:], uint64(len(b)))
	h.Write(n[:])
	h.Write(b)
}

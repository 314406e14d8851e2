package accountant

import "github.com/cockroachdb/errors"

var (
	// ErrExhausted means that the data does not fit into the memory that is left.
	ErrExhausted = errors.New("not enough memory")
	// ErrTooLong means that the data is longer than allowed.
	ErrTooLong = errors.New("too long")
)

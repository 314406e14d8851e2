package registrar

import "github.com/cockroachdb/errors"

var (
	// ErrNotClaimed means that the key could not be claimed: the call does not
	// run, now or later.
	ErrNotClaimed = errors.New("the key could not be claimed")
	// ErrMessage marks a message that can't be read.
	ErrMessage = errors.New("the message is not valid")
)

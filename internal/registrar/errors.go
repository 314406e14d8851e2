package registrar

import "github.com/cockroachdb/errors"

var (
	// ErrNotClaimed means that the key could not be claimed or settled. A call whose claim fails
	// with it is never sent.
	ErrNotClaimed = errors.New("idempotency key could not be claimed")
	// ErrMessage marks a message that can't be decoded or encoded.
	ErrMessage = errors.New("invalid claim message")
)

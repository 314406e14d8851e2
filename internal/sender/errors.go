package sender

import "github.com/cockroachdb/errors"

var (
	// ErrNeverSent means that there was no connection to the target: the request
	// certainly did not run.
	ErrNeverSent = errors.New("no connection to the target")
	// ErrBroken means that the request failed after it may have been sent, or that the answer is incomplete.
	ErrBroken = errors.New("the answer is incomplete")
	// ErrWrongRequest means that an answer carries the ID of another request.
	ErrWrongRequest = errors.New("the answer belongs to another request")
	// ErrTooLong means that an answer is longer than the router buffers in memory.
	ErrTooLong = errors.New("the answer is too long")
	// ErrFenced means that a target has received the fencing number of a later lease.
	ErrFenced = errors.New("the target has received a command under a later lease")
	// ErrSettings means that the TLS settings for targets are invalid.
	ErrSettings = errors.New("the TLS settings for targets are invalid")
)

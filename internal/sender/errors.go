package sender

import "github.com/cockroachdb/errors"

var (
	// ErrNeverSent means that no connection to the target was had: the request
	// provably did not run.
	ErrNeverSent = errors.New("no connection to the target")
	// ErrBroken means that the connection broke before the answer was whole.
	ErrBroken = errors.New("the answer broke off")
	// ErrStranger means that an answer carries another request's id.
	ErrStranger = errors.New("the answer belongs to another request")
	// ErrTooLong means that an answer is larger than what is held in memory.
	ErrTooLong = errors.New("the answer is too long")
	// ErrFenced means that a target has seen a later lease's fencing number.
	ErrFenced = errors.New("a later lease has given an order")
	// ErrSettings means that the TLS files can't be used.
	ErrSettings = errors.New("the target TLS settings can't be used")
)

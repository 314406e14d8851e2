package messenger

import "github.com/cockroachdb/errors"

var (
	// ErrUnreachable means that the peer could not be dialled or the
	// connection broke; the message may or may not have arrived.
	ErrUnreachable = errors.New("the peer can't be reached")
	// ErrTimeout means that no reply came in time.
	ErrTimeout = errors.New("the peer did not reply in time")
	// ErrRefused means that the peer replied that it could not answer.
	ErrRefused = errors.New("the peer could not answer")
	// ErrFrame means that a peer sent something that is no frame.
	ErrFrame = errors.New("the frame is not valid")
)

package messenger

import "github.com/cockroachdb/errors"

var (
	// ErrUnreachable means that the peer could not be dialled or the connection
	// broke. Unless the dial failed, the message may have arrived.
	ErrUnreachable = errors.New("the peer can't be reached")
	// ErrTimeout means that no reply arrived before the context ended.
	ErrTimeout = errors.New("the peer did not reply in time")
	// ErrRefused means that the peer replied with an error.
	ErrRefused = errors.New("the peer could not answer")
	// ErrFrame means that a frame could not be encoded or decoded.
	ErrFrame = errors.New("the frame is not valid")
)

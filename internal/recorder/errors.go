package recorder

import "github.com/cockroachdb/errors"

var (
	// ErrDown means that the log service did not process the request: it could not be
	// dialled, or it answered that it is unavailable or received too many requests.
	ErrDown = errors.New("the log service is unavailable")
	// ErrUncertain means that no usable answer was received: an append may have taken effect.
	ErrUncertain = errors.New("the log service did not answer")
	// ErrAnswer means that the request could not be built or that the service refused it.
	ErrAnswer = errors.New("the log service gave an unexpected answer")
)

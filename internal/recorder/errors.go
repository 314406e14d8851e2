package recorder

import "github.com/cockroachdb/errors"

var (
	// ErrDown means that the log service did not act on the request: it could
	// not be dialled, or it said so.
	ErrDown = errors.New("the log service is down")
	// ErrUncertain means that no answer came: an append may have taken effect.
	ErrUncertain = errors.New("the log service did not answer")
	// ErrAnswer means that the answer could not be understood.
	ErrAnswer = errors.New("the log service gave an unexpected answer")
)

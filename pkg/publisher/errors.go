package publisher

import "github.com/cockroachdb/errors"

var (
	// ErrUnavailable means that the log can't be read, so nothing was done.
	ErrUnavailable = errors.New("the platform's log can't be reached; nothing was done")
	// ErrDocument means that the document is not valid. The message names every
	// fault with its path.
	ErrDocument = errors.New("the document is not valid")
	// ErrNoState means that the log holds changes but not the state they are
	// based on.
	ErrNoState = errors.New("the log does not hold the configuration in force")
	// ErrNoTarget means that the configuration in force names no such target.
	ErrNoTarget = errors.New("no such target")
)

package publisher

import "github.com/cockroachdb/errors"

var (
	// ErrUnavailable means that the log cannot be read or refuses the request; nothing
	// was published.
	ErrUnavailable = errors.New("the platform's log can't be reached; nothing was done")
	// ErrDocument means that the document is not valid. The message lists every
	// fault with its path.
	ErrDocument = errors.New("the document is not valid")
	// ErrNoState means that the log contains changes, but no longer the state that
	// they are based on.
	ErrNoState = errors.New("the log does not hold the configuration in force")
	// ErrNoTarget means that the configuration in force has no such target.
	ErrNoTarget = errors.New("no such target")
)

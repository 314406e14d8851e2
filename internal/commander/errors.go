package commander

import "github.com/cockroachdb/errors"

var (
	// ErrUsage means that the command line or a file that it names is invalid.
	ErrUsage = errors.New("the command line is not valid")
	// ErrNotDone means that the command ran without the requested effect.
	ErrNotDone = errors.New("not done")
)

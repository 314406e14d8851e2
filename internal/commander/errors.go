package commander

import "github.com/cockroachdb/errors"

var (
	// ErrUsage means that the command line asks for something impossible.
	ErrUsage = errors.New("the command line is not valid")
	// ErrNotDone means that the command ran and did not do what was asked.
	ErrNotDone = errors.New("not done")
)

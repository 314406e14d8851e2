package parser

import "github.com/cockroachdb/errors"

// ErrDocument marks every error on an invalid document. The message names the path of
// each invalid value.
var ErrDocument = errors.New("the document is not valid")

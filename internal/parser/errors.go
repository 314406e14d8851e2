package parser

import "github.com/cockroachdb/errors"

// ErrDocument marks every refusal of a document. The message names each
// offending path.
var ErrDocument = errors.New("the document is not valid")

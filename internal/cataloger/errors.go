package cataloger

import "github.com/cockroachdb/errors"

// ErrCatalog marks a document that no catalog can be made from. The message names the entry.
var ErrCatalog = errors.New("invalid catalog")

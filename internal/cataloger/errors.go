package cataloger

import "github.com/cockroachdb/errors"

// ErrCatalog marks a catalog that can't be used. The message names the entry.
var ErrCatalog = errors.New("the catalog is not valid")

package granter

import (
	"time"
)

// ID names a grant: the entry instance that asked and its own number for it.
type ID struct {
	Entry uint64
	Seq   uint32
}

// Ask is a request for a place.
type Ask struct {
	ID       ID
	Chat     uint64
	Customer uint32
	Weight   float64
	// Prompt is the prompt's length in tokens.
	Prompt int
	// Waited is how long the request has waited for its place so far.
	Waited time.Duration
	// Hint is the target that served the chat last by the caller's word; zero
	// means that the caller has none. It is taken only for a chat that is not
	// remembered, and never past the bound.
	Hint uint32
	// Allowed says which targets the rule selects; nil allows all.
	Allowed func(target uint32) bool
	// Excluded are targets that were tried already.
	Excluded []uint32
	// Sent says that another cell's Granter sent the request here; it is then
	// not sent on.
	Sent bool
}

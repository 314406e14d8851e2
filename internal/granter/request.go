package granter

import (
	"time"
)

// ID identifies a grant: the entry router, which received the client's request and requested the
// grant, and the entry's own sequence number.
type ID struct {
	Entry uint64
	Seq   uint32
}

// Request is a request for a slot at a target of the cell.
type Request struct {
	ID       ID
	Chat     uint64
	Customer uint32
	// Weight is the customer's weight in the allocation of the cell's capacity, see allocator.Allocator.
	Weight float64
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Waited is how long the request has waited for a slot at the target of its placement.
	Waited time.Duration
	// Hint is the target that served the chat last according to the token that the caller presented;
	// zero means none. It is used only if the chat has no recorded placement, and never overrides the
	// load bound.
	Hint uint32
	// Allowed reports whether the routing rule selects a target; nil selects all.
	Allowed func(target uint32) bool
	// Excluded are the targets already tried for this request.
	Excluded []uint32
	// Forwarded reports whether the Granter of another cell forwarded the request here. A forwarded
	// request is not forwarded again.
	Forwarded bool
}

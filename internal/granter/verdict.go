package granter

import (
	"time"
)

// Reason is the reason why a request was refused.
type Reason uint8

// Reasons of a Verdict.
const (
	// Granted means that the request was not refused. It is the zero value.
	Granted Reason = iota
	// Full means that no target has a free slot.
	Full
	// OverShare means that the customer uses up its share and that there is no idle capacity.
	OverShare
	// NoTargets means that the routing rule selects no target that is in service.
	NoTargets
	// Wait means that the target of the chat's placement is above its load bound, and that waiting
	// for it costs less than computing the chat's prefix again elsewhere.
	Wait
	// OtherCell means that another cell of the pool, given in Verdict.Cell, holds the chat or is less
	// loaded.
	OtherCell
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"granted", "full", "overShare", "noTargets", "wait", "elsewhere"}[r]
}

// Verdict is the answer to a request for a slot.
type Verdict struct {
	Reason Reason
	Target uint32
	// Cell is the cell to request a slot from if the Reason is OtherCell.
	Cell uint32
	// AtPlacement reports whether the target is the one of the chat's placement, which holds its prefix.
	AtPlacement bool
	// ReportDue requests a Report of the target's load once its answer begins.
	ReportDue bool
	// RetryAfter is the delay before a retry after a refusal.
	RetryAfter time.Duration
}

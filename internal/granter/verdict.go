package granter

import (
	"time"
)

// Reason says why an Ask was refused.
type Reason uint8

// The reasons.
const (
	// Granted is no refusal.
	Granted Reason = iota
	// Full means that no target has room.
	Full
	// OverShare means that the customer has its share and no capacity is idle.
	OverShare
	// NoTargets means that no target in service is selected.
	NoTargets
	// Wait means that the chat's place is over its bound for the moment, and
	// waiting a little costs less than a place without the chat's prefix.
	Wait
	// Elsewhere means that another cell of the pool, given in Cell, holds the
	// chat or is less loaded.
	Elsewhere
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"granted", "full", "overShare", "noTargets", "wait", "elsewhere"}[r]
}

// Verdict is the answer to an Ask.
type Verdict struct {
	Reason Reason
	Target uint32
	// Cell is the cell to ask when the request is sent elsewhere.
	Cell uint32
	// Returned says that the target holds the chat's prefix by what is known.
	Returned bool
	// Tell asks for a Report when the target's answer begins.
	Tell bool
	// RetryAfter is when to ask again after a refusal.
	RetryAfter time.Duration
}

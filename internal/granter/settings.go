package granter

import (
	"time"

	"github.com/auburntray/auburntray/internal/ejector"
	"github.com/auburntray/auburntray/internal/picker"
)

// Settings are the parameters of a Granter.
type Settings struct {
	Picker  picker.Settings
	Ejector ejector.Settings
	// PrefillCost is the work of one uncached prompt token, in requests. The unit of work is a request
	// in flight: each occupies one slot in the batch of its engine while it runs, whatever the length
	// of its answer.
	PrefillCost float64
	// PrefillTime is the time that an engine takes for one uncached prompt token. A request waits for
	// the target of its placement no longer than the time that its cached prefix saves, and no longer
	// than MaxWait.
	PrefillTime time.Duration
	MaxWait     time.Duration
	// PlacementBytes bounds the memory for placements.
	PlacementBytes int
	// EntryTimeout is how long the grants of an entry router count after its last message.
	EntryTimeout time.Duration
}

// DefaultSettings returns the settings that routers use.
func DefaultSettings() Settings {
	return Settings{
		Picker:         picker.DefaultSettings(),
		Ejector:        ejector.DefaultSettings(),
		PrefillCost:    0.00005,
		PrefillTime:    100 * time.Microsecond,
		MaxWait:        400 * time.Millisecond,
		PlacementBytes: 32 << 20,
		EntryTimeout:   15 * time.Second,
	}
}

// Target is a target of the cell. Capacity is the number of requests that it runs concurrently.
type Target struct {
	ID       uint32
	Capacity int
	Engine   bool
}

// Limits bound the load of one target relative to the others, see picker.Settings.
type Limits struct {
	LoadFactor float64
	Slack      float64
}

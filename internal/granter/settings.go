package granter

import (
	"time"

	"github.com/auburntray/auburntray/internal/ejector"
	"github.com/auburntray/auburntray/internal/picker"
)

// Settings are the constants of a Granter.
type Settings struct {
	Picker  picker.Settings
	Ejector ejector.Settings
	// PrefillCost is the work of one uncached prompt token, in requests. The
	// unit of work is a request in flight: each takes a slot of its engine's
	// batch for as long as it runs, however long its answer turns out.
	PrefillCost float64
	// PrefillTime is how long an engine takes for an uncached prompt token. A
	// request may wait for its place up to the time that its cached prefix
	// saves, and MaxWait.
	PrefillTime time.Duration
	MaxWait     time.Duration
	// PlaceBytes bounds the memory for places.
	PlaceBytes int
	// EntryTimeout is how long the grants of an entry instance count after it
	// was last heard of.
	EntryTimeout time.Duration
}

// DefaultSettings returns the settings that routers use.
func DefaultSettings() Settings {
	return Settings{
		Picker:       picker.DefaultSettings(),
		Ejector:      ejector.DefaultSettings(),
		PrefillCost:  0.00005,
		PrefillTime:  100 * time.Microsecond,
		MaxWait:      400 * time.Millisecond,
		PlaceBytes:   32 << 20,
		EntryTimeout: 15 * time.Second,
	}
}

// Target is a target of the cell.
type Target struct {
	ID       uint32
	Capacity int
	Engine   bool
}

// Limits are the limits on the load of one target; see picker.Settings.
type Limits struct {
	LoadFactor float64
	Slack      float64
}

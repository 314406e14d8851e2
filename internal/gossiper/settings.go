package gossiper

import (
	"time"
)

// Settings configures the gossip. Its fields must not be zero.
type Settings struct {
	// NearTimeout is the time after which the other routers of this router's data centre count as unreachable if none
	// of them is heard of, and FarTimeout that for another data centre whose beats do not arrive.
	NearTimeout, FarTimeout time.Duration
	// SuspectFor is the time for which a router that could not be reached is excluded.
	SuspectFor time.Duration
}

// DefaultSettings returns the settings that routers use, with one tick a second.
func DefaultSettings() Settings {
	return Settings{
		NearTimeout: 6 * time.Second,
		FarTimeout:  20 * time.Second,
		SuspectFor:  3 * time.Second,
	}
}

package gossiper

import (
	"time"
)

// Settings bounds the gossip.
type Settings struct {
	// Fanout is to how many routers a tick sends.
	Fanout int
	// Near and Far are how many beats of the own data centre and of others a
	// message carries.
	Near, Far int
	// NearTimeout and FarTimeout are how long after its last new beat a router
	// of the own data centre, or of another, counts as live.
	NearTimeout, FarTimeout time.Duration
	// SuspectFor is how long a router that could not be reached is passed over.
	SuspectFor time.Duration
}

// DefaultSettings returns the settings that routers use with a tick a second.
func DefaultSettings() Settings {
	return Settings{
		Fanout: 2, Near: 16, Far: 8,
		NearTimeout: 6 * time.Second,
		FarTimeout:  20 * time.Second,
		SuspectFor:  3 * time.Second,
	}
}

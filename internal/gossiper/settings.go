package gossiper

import (
	"time"
)

// Settings configures the gossip. Its fields must not be zero.
type Settings struct {
	// Fanout is the number of live routers that a tick sends to.
	Fanout int
	// NearBeats and FarBeats bound the beats in a message that are of other routers in this
	// router's data centre, and of routers in other data centres.
	NearBeats, FarBeats int
	// NearTimeout and FarTimeout are the times for which a router of this router's data
	// centre, or of another, counts as live after its last new beat.
	NearTimeout, FarTimeout time.Duration
	// SuspectFor is the time for which a router that could not be reached is excluded.
	SuspectFor time.Duration
}

// DefaultSettings returns the settings that routers use, with one tick a second.
func DefaultSettings() Settings {
	return Settings{
		Fanout: 2, NearBeats: 16, FarBeats: 8,
		NearTimeout: 6 * time.Second,
		FarTimeout:  20 * time.Second,
		SuspectFor:  3 * time.Second,
	}
}

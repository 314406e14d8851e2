package enroller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburntray/auburntray/internal/hasher"
)

// Process names one process of a target: a target that starts again may keep its ID, and
// has another start.
//
// Which of two processes with one ID is the later is not to be seen here. Start is by the
// target's own clock, and one that stepped back makes the newer process look the older, so
// that it would be taken for one that is gone for as long as the step was. The list decides:
// the process that the ID's record with the highest offset names is the one that runs,
// whatever its start. Whoever reads the list keeps the offsets.
type Process struct {
	ID string
	// Start is zero when the list does not say; two processes that differ in nothing else
	// are then taken for one.
	Start time.Time
}

// Key is the hash of a Process, by which this instance keeps what it believes of it. Of 3,000
// targets two share a key once in four million million fleets.
type Key uint64

// Key returns the process's key, the same at every instance.
func (p Process) Key() Key {
	h := xxhash.Sum64String(p.ID)
	if p.Start.IsZero() {
		return Key(h)
	}

	return Key(hasher.Mix(h, uint64(p.Start.UnixMilli()))) // Any 64 bits will do, also those of a time before 1970.
}

// Name is the short form of a key in which instances tell each other of processes.
//
// Four bytes keep what they tell small. Among 3,000 targets two share a name in one fleet of
// a thousand; what is told by such a name is used for neither, since a target would be taken
// to hold prompts, or to have a load, that are the other's.
type Name uint32

// Name returns the key's short form.
func (k Key) Name() Name {
	return Name(uint32(k)) //nolint:gosec // The low half is the name.
}

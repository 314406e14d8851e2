package discoverer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburntray/auburntray/internal/hasher"
)

// Process identifies one process of a target. A target that restarts may retain its ID, but has
// another start.
//
// The start does not tell which process of an ID is the newer one. It is measured by the target's
// clock; if that clock was set back before a restart, the newer process has the earlier start, and
// judged by that it would be considered gone for as long as the clock was set back. Instead, the
// record with the highest offset of all records of the ID names the process that runs, whatever its
// start. The reader of the list tracks the offsets.
type Process struct {
	ID string
	// Start is zero when the list does not state it. Processes of one ID without a start can't be
	// distinguished.
	Start time.Time
}

// Key is the hash of a Process, by which an instance stores the health status and other state of the
// process. The probability that any two of 3,000 targets share a key is 1 in 4e12.
type Key uint64

// Key returns the key of the process, which is the same at all instances.
func (p Process) Key() Key {
	h := xxhash.Sum64String(p.ID)
	if p.Start.IsZero() {
		return Key(h)
	}

	return Key(hasher.Mix(h, uint64(p.Start.UnixMilli()))) // Times before 1970 are negative; the conversion is only hashed.
}

// Name is the short form of a key that identifies a process in notifications between instances.
//
// Its four bytes keep notifications small. The probability that any two of 3,000 targets share a
// name is 1 in 1,000. Notifications with a shared name are ignored for both targets, since otherwise
// the cached prompts or the load of one target would be attributed to the other.
type Name uint32

// Name returns the key's short form.
func (k Key) Name() Name {
	return Name(uint32(k)) //nolint:gosec // Truncated to the low half.
}

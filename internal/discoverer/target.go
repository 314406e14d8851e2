package discoverer

import (
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/hasher"
)

// Target is one process of a target, as entered on the list.
type Target struct {
	// ID identifies the target. A target that restarts may retain it; see Process.
	ID         string
	Group      string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of calls that the target can run at a time, as its entry states; may be zero.
	Slots int
	// Version is the version of the target's software, as its entry states it; empty if that is unknown.
	Version string
	// Draining is set when the entry states that the target is leaving and accepts no new calls.
	Draining bool
	// Leaving is set when the process announced in an answer that it is leaving, whatever its
	// entry states.
	Leaving bool
	// Start is when the process started, by the target's clock, which may step; zero when the list
	// does not state it. It distinguishes the processes of an ID, but does not order them.
	Start time.Time
	// ColdTime is how long after its entry was read the process remains cold, that is, can serve only few
	// calls at a time; ColdUnknown when the entry does not state it.
	ColdTime time.Duration
	// Era and Offset are the position of the entry's record.
	Era    uint64
	Offset int64

	// coldUntil is when the process becomes warm according to its entry, and firstSeen is when an entry
	// of the process was first read.
	coldUntil, firstSeen time.Time
	// key, rank and centre are hashes, computed when the target is entered, since each selection
	// uses them for each target.
	key             Key
	rank            uint64
	centre          uint32
	softwareVersion Version
}

// Version identifies a version of the software of targets. Zero is unknown.
type Version uint64

// VersionOf returns the Version with a name, and zero for the empty name.
func VersionOf(name string) Version {
	if name == "" {
		return 0
	}

	return Version(hasher.Key(name))
}

// ColdUnknown is the cold time of a target whose entry does not state it.
const ColdUnknown time.Duration = -1

// WithReadTime returns the target with the times that depend on when its entry was read. The previous entry of
// the same ID is nil if there is none. Reading the same record again does not extend the cold time.
func (t Target) WithReadTime(now time.Time, previous *Target) Target {
	t.firstSeen = now

	if previous != nil && previous.Process() == t.Process() {
		t.firstSeen, t.coldUntil = previous.firstSeen, previous.coldUntil

		if previous.Era == t.Era && previous.Offset == t.Offset {
			return t
		}
	}

	if t.ColdTime >= 0 {
		t.coldUntil = now.Add(t.ColdTime)
	}

	return t
}

// ColdAt reports whether the process is cold. If its entry does not state that, the process counts as
// cold for the usual time of its group from when it was first seen.
func (t *Target) ColdAt(now time.Time, usual time.Duration) bool {
	if t.ColdTime == ColdUnknown {
		return now.Before(t.firstSeen.Add(usual))
	}

	return now.Before(t.coldUntil)
}

// Process returns the identity of the target's process.
func (t *Target) Process() Process {
	return Process{ID: t.ID, Start: t.Start}
}

// Key returns the key of the target's process. It is zero for a target that is in no registry.
func (t *Target) Key() Key { return t.key }

// Rank returns the hash of the target's ID, by which instances order targets. It remains the same when
// the target restarts, so that prompts are assigned to the target again. It is zero for a target that
// is in no registry.
func (t *Target) Rank() uint64 { return t.rank }

// Centre returns the hash of the target's data centre. It is zero for a target that is in no registry.
func (t *Target) Centre() uint32 { return t.centre }

// SoftwareVersion returns the version of the target's software. It is zero for a target that is in no registry.
func (t *Target) SoftwareVersion() Version { return t.softwareVersion }

// IsLeaving reports whether the target is leaving, by its entry or by its own announcement.
func (t *Target) IsLeaving() bool { return t.Draining || t.Leaving }

// Moved reports whether the target's address or group differs from that of another entry of the same
// process.
func (t *Target) Moved(from *Target) bool {
	return t.Address != from.Address || t.Group != from.Group
}

// withHashes returns a copy of the target with its hashes.
func (t Target) withHashes() *Target {
	t.key = t.Process().Key()
	t.rank = uint64(hasher.Name(t.ID))
	t.centre = hasher.Name(t.DataCentre)
	t.softwareVersion = VersionOf(t.Version)

	return &t
}

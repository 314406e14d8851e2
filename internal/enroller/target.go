package enroller

import (
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/hasher"
)

// Target is one process of a target, as the list has it.
type Target struct {
	// ID is the target's name. A target that starts again may have the same; see Process.
	ID         string
	Group      string
	Address    netip.AddrPort
	DataCentre string
	// Slots is how many calls it runs at a time; may be zero.
	Slots int
	// Draining says that it is about to leave and takes no new calls.
	Draining bool
	// Leaving says that its process said so itself in an answer, whatever the list says.
	Leaving bool
	// Start is when its process started, by its own clock, which may step; zero when the
	// list does not say. It tells two processes under one ID apart, and not which of them
	// is the later.
	Start time.Time
	// Cold is for how long from its entry on the process bears few calls; Unsaid when the entry
	// does not say.
	Cold time.Duration
	// Offset is that of the entry's record.
	Offset int64

	// coldUntil is when the process is warm by its entry, and since when it was first seen.
	coldUntil, since time.Time
	// key, rank and centre are hashes, worked out as the target is entered: each choice
	// needs them of each target.
	key    Key
	rank   uint64
	centre uint32
}

// Unsaid is the Cold of a target whose entry does not say.
const Unsaid time.Duration = -1

// Seen returns the target with the times that follow from when its entry is read, where an entry
// of the same ID was there before or is nil. A record that is read again says nothing new.
func (t Target) Seen(now time.Time, before *Target) Target {
	t.since = now

	if before != nil && before.Process() == t.Process() {
		t.since, t.coldUntil = before.since, before.coldUntil

		if before.Offset == t.Offset {
			return t
		}
	}

	if t.Cold >= 0 {
		t.coldUntil = now.Add(t.Cold)
	}

	return t
}

// ColdAt says that the process bears few calls at a time. One that does not say whether it does is
// taken to be cold for the usual time of its group from when it was first seen.
func (t *Target) ColdAt(now time.Time, usual time.Duration) bool {
	if t.Cold == Unsaid {
		return now.Before(t.since.Add(usual))
	}

	return now.Before(t.coldUntil)
}

// Process names the target's process.
func (t *Target) Process() Process {
	return Process{ID: t.ID, Start: t.Start}
}

// Key returns the key of the target's process. It is zero for a target that is on no
// roster.
func (t *Target) Key() Key { return t.key }

// Rank returns the hash of the target's ID, by which instances put targets in order. It
// stays when the target starts again, so that prompts come back to it. It is zero for a
// target that is on no roster.
func (t *Target) Rank() uint64 { return t.rank }

// Centre returns the hash of the target's data centre. It is zero for a target that is on
// no roster.
func (t *Target) Centre() uint32 { return t.centre }

// Leaves says that the target is about to leave, by the list's word or its own.
func (t *Target) Leaves() bool { return t.Draining || t.Leaving }

// Moved says that an entry of the same process has another address or group.
func (t *Target) Moved(from *Target) bool {
	return t.Address != from.Address || t.Group != from.Group
}

// enter returns the target with its hashes.
func (t Target) enter() *Target {
	t.key = t.Process().Key()
	t.rank = uint64(hasher.Name(t.ID))
	t.centre = hasher.Name(t.DataCentre)

	return &t
}

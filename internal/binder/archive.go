package binder

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/watcher"
)

const (
	// keptTime is how long written notes are kept, to be written again if the log loses them. Older streams have ended.
	keptTime = 20 * time.Second
	// markInterval is the time between two writes of the versions of a group that are in use, if there are several and nothing changes.
	markInterval = 10 * time.Second
	// marksPerWrite is the largest number of groups whose versions are written between two writes of notes.
	marksPerWrite = 2
	// slots is the number of records of an instance. The oldest is replaced: at one record each minWriteInterval it is
	// older than keptTime.
	slots = 200
	// maxWritten bounds the notes of a record, and so its size to 200 KB.
	maxWritten = 16384
	// maxPending bounds the memory of pending notes, while the log is away, to a few megabytes. Above it the earlier ones are
	// dropped.
	maxPending = 1 << 16
)

// archive holds what a recorder has to write, and where it has read to. It is protected by the mutex of the Binder.
type archive struct {
	// pending are the notes to be written; wake has an element when something is to be written, and urgent when that must be
	// soon.
	pending      map[pinner.Stream]keptNote
	wake, urgent chan struct{}
	// kept are the notes of the last keptTime, in the order of their arrival.
	kept []keptNote
	// marks are the versions in use that were written by this instance or others, by group.
	marks map[string]mark
	// missed are the groups of which it is not known that their versions were written, and since when.
	missed map[string]time.Time
	// writers write the versions in use. unchecked reports that the log must be read, as they have changed.
	writers   []uint64
	unchecked bool
	// position is where to read on, and slot the number of the next record.
	position watcher.Position
	slot     int
	// reading is the read in progress, or nil. The last one that succeeded began at readAt, the last one that failed ended at
	// failedAt.
	reading          *reading
	readAt, failedAt time.Time
}

type keptNote struct {
	pinner.Note

	at time.Time
}

type mark struct {
	versions []discoverer.Version
	at       time.Time
}

// reading is a read of the log. It has ended when done is closed; ok reports that it has succeeded then.
type reading struct {
	done chan struct{}
	ok   bool
}

func newArchive() archive {
	return archive{
		pending: make(map[pinner.Stream]keptNote), wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1), marks: make(map[string]mark), missed: make(map[string]time.Time), position: watcher.Unread(),
	}
}

// add schedules the writing of a note.
func (a *archive) add(now time.Time, n pinner.Note) {
	a.schedule(keptNote{n, now})

	for len(a.kept) > 0 && now.Sub(a.kept[0].at) >= keptTime {
		a.kept = a.kept[1:]
	}

	a.kept = append(a.kept, keptNote{n, now})
}

func (a *archive) schedule(n keptNote) {
	if len(a.pending) >= maxPending {
		clear(a.pending)
	}

	if o, ok := a.pending[n.Stream]; !ok || o.Attempt <= n.Attempt {
		a.pending[n.Stream] = n
	}

	a.wakeUp()
}

func (a *archive) wakeUp() { signal(a.wake) }

// hurry has the pending notes written soon: the log may have another version of a stream that is about to begin.
func (a *archive) hurry() { signal(a.urgent) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // A signal is pending.
	}
}

// writeAgain schedules everything that the log may have lost.
func (a *archive) writeAgain(now time.Time) {
	a.marks = make(map[string]mark)

	for _, n := range a.kept {
		if now.Sub(n.at) < keptTime {
			a.schedule(n)
		}
	}

	a.wakeUp()
}

// takePending removes some notes from those to be written and returns them, the latest first. It drops those whose streams have
// ended.
func (a *archive) takePending(now time.Time) []keptNote {
	if len(a.pending) == 0 {
		return nil
	}

	l := slices.Collect(maps.Values(a.pending))
	l = slices.DeleteFunc(l, func(n keptNote) bool { return now.Sub(n.at) >= keptTime })

	if len(l) <= maxWritten {
		clear(a.pending)

		return l
	}

	slices.SortFunc(l, func(a, b keptNote) int { return b.at.Compare(a.at) })
	l = l[:maxWritten]

	for _, n := range l {
		delete(a.pending, n.Stream)
	}

	return l
}

// dueMarks returns the groups of which a writer must write the versions in use, with these. Several are written again and again, one
// alone when it changes. If none is known to have been written, the first writer does it, and the others later if it has not.
func (a *archive) dueMarks(now time.Time, used map[string][]discoverer.Version, first bool) map[string][]discoverer.Version {
	o := make(map[string][]discoverer.Version)

	for g, l := range used {
		m, ok := a.marks[g]
		if ok {
			delete(a.missed, g)
		} else if a.missed[g].IsZero() {
			a.missed[g] = now
		}

		unwritten := !ok && (first || len(l) > 1 || now.Sub(a.missed[g]) >= markInterval)
		old := ok && (!slices.Equal(m.versions, l) || len(l) > 1 && now.Sub(m.at) >= markInterval)

		if unwritten || old {
			o[g] = l
		}
	}

	return o
}

// leave forgets what is known of the versions in use that were written: others write them.
func (a *archive) leave() {
	clear(a.marks)
	clear(a.missed)
	a.writers, a.unchecked = nil, false
}

// follow records who writes the versions in use. When that changes, one that has ended may have written others last.
func (a *archive) follow(writers []uint64) {
	if !slices.Equal(a.writers, writers) {
		a.unchecked = a.writers != nil
		a.writers = slices.Clone(writers)
	}
}

// lacksMark reports whether it is not known what was written of one of some groups.
func (a *archive) lacksMark(groups map[string][]discoverer.Version) bool {
	for g := range groups {
		if _, ok := a.marks[g]; !ok {
			return true
		}
	}

	return false
}

// adoptMarks takes over the versions in use that were read, whoever has written them.
func (a *archive) adoptMarks(used map[string][]discoverer.Version) {
	for g, l := range used {
		slices.Sort(l)

		if m, ok := a.marks[g]; !ok || !slices.Equal(m.versions, l) {
			a.marks[g] = mark{versions: l}
		}
	}

	a.unchecked = false
}

// forgetMark has a record of versions in use written again that was deleted: instances of the earlier release delete it when a group
// has one version.
func (a *archive) forgetMark(key string) {
	for g := range a.marks {
		if markKey(g) == key {
			delete(a.marks, g)
		}
	}
}

// recordMark records that the versions of a group were written.
func (a *archive) recordMark(now time.Time, group string, l []discoverer.Version) {
	a.marks[group] = mark{l, now}
}

// nextKey returns the key of the next record of an instance.
func (a *archive) nextKey(instance string) string {
	k := noteKey(instance, a.slot)
	a.slot = (a.slot + 1) % slots

	return k
}

// markKey returns the key of the record with the versions of a group that are in use.
func markKey(group string) string {
	return fmt.Sprintf("%s%016x", markPrefix, hasher.Key(group))
}

// noteKey returns the key of a record with notes.
func noteKey(instance string, slot int) string {
	return fmt.Sprintf("%s/%d", instance, slot)
}

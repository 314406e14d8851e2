package quarantiner

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
)

// maxCrashesPerRecord is the number of crashes that are remembered per subject, the newest ones.
const maxCrashesPerRecord = 8

// Crash describes the crash of a process while a subject was in flight there.
type Crash struct {
	Process discoverer.Name
	At      time.Time
	// Cleared reports whether the subject was served since, so that it was not the cause.
	Cleared bool
	// ServedBefore reports whether an instance had served the subject shortly before.
	ServedBefore bool
}

// Occurrence is the crash of a process while a call was in flight there, as reported for the decision on sharding. Repeated
// is as in Verdict.
type Occurrence struct {
	Process  discoverer.Name
	At       time.Time
	Repeated bool
}

// Record holds the crashes of one subject.
type Record struct {
	// Subject is the digest of a call, or of a part of prompts.
	Subject digester.Digest
	// LastSeen is when the subject last arrived.
	LastSeen time.Time
	Crashes  []Crash
}

// add inserts a crash in order of time, or sets the flags of a crash that is already recorded; flags
// are never unset. It reports whether anything changed.
func (r *Record) add(e Crash) bool {
	for i, x := range r.Crashes {
		if x.Process == e.Process {
			r.Crashes[i].Cleared = x.Cleared || e.Cleared
			r.Crashes[i].ServedBefore = x.ServedBefore || e.ServedBefore

			return r.Crashes[i] != x
		}
	}

	i, _ := slices.BinarySearchFunc(r.Crashes, e, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(r.Crashes) >= maxCrashesPerRecord && i == 0 {
		return false
	}

	r.Crashes = slices.Insert(r.Crashes, i, e)
	r.Crashes = r.Crashes[max(len(r.Crashes)-maxCrashesPerRecord, 0):]

	return true
}

// merge adds the crashes of another record of the same subject, and reports whether anything changed.
func (r *Record) merge(x Record) bool {
	if x.LastSeen.After(r.LastSeen) {
		r.LastSeen = x.LastSeen
	}

	changed := false

	for _, e := range x.Crashes {
		changed = r.add(e) || changed
	}

	return changed
}

// uncleared returns the processes at whose crashes the subject was in flight and was not served since.
func (r *Record) uncleared() []discoverer.Name {
	o := make([]discoverer.Name, 0, len(r.Crashes))

	for _, e := range r.Crashes {
		if !e.Cleared {
			o = append(o, e.Process)
		}
	}

	return o
}

func (r *Record) clone() Record {
	o := *r
	o.Crashes = slices.Clone(r.Crashes)

	return o
}

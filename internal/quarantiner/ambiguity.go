package quarantiner

import (
	"slices"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// threshold returns the number of crashes at which a call is quarantined.
//
// Load pattern: several calls that crash targets arrive at once. Innocent calls are sent again to the targets that remain,
// where the others are sent again too, and see as many crashes as their causes. A call that crashes targets sees one more
// as soon as it is sent once more; an innocent one is mostly served by then.
func (q *Quarantiner) threshold(r *Record) int {
	if q.ambiguous(r) {
		return q.settings.AmbiguousThreshold
	}

	return q.settings.CrashThreshold
}

// ambiguous reports whether another call may have caused each of the crashes of a call. Without any crash, it is true.
func (q *Quarantiner) ambiguous(r *Record) bool {
	return !slices.ContainsFunc(r.Crashes, func(e Crash) bool {
		return !e.Cleared && !q.otherCause(r, e.Process)
	})
}

// otherCause reports whether another call was in flight at the crash of a process that was in flight at a second crash and
// was not served since.
func (q *Quarantiner) otherCause(r *Record, p discoverer.Name) bool {
	for _, d := range q.inFlight[p] {
		o, ok := q.calls[d]
		if ok && d != r.Call && o.uncleared(p) && o.countUncleared() > 1 {
			return true
		}
	}

	return false
}

// index records that a call was in flight at the crashes of its record that are not among the known ones.
func (q *Quarantiner) index(r *Record, known []Crash) {
	for _, e := range r.Crashes {
		if !slices.ContainsFunc(known, func(k Crash) bool { return k.Process == e.Process }) {
			q.inFlight[e.Process] = append(q.inFlight[e.Process], r.Call)
		}
	}
}

// rebuildIndex removes the calls without a record from the index.
func (q *Quarantiner) rebuildIndex() {
	clear(q.inFlight)

	for _, r := range q.calls {
		q.index(r, nil)
	}
}

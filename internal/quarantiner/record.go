package quarantiner

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/enroller"
)

// mostEnds is how many ends of a call are remembered, the newest.
const mostEnds = 8

// End is the end of a process while a call was in flight there.
type End struct {
	Process enroller.Name
	At      time.Time
	// Excused says that the call was served since: it was not the cause.
	Excused bool
	// Known says that the instance that found the end had served the call shortly before.
	Known bool
}

// Record is what is known of one call.
type Record struct {
	Call digester.Digest
	// Seen is when it last came.
	Seen time.Time
	Ends []End
}

// add adds an end in the order of their times, and says whether it was not known. An end
// that is known on another's word, or excused, stays as it is.
func (r *Record) add(e End) bool {
	for i, x := range r.Ends {
		if x.Process == e.Process {
			r.Ends[i].Excused = x.Excused || e.Excused
			r.Ends[i].Known = x.Known || e.Known

			return r.Ends[i] != x
		}
	}

	i, _ := slices.BinarySearchFunc(r.Ends, e, func(a, b End) int { return a.At.Compare(b.At) })
	if len(r.Ends) >= mostEnds && i == 0 {
		return false
	}

	r.Ends = slices.Insert(r.Ends, i, e)
	r.Ends = r.Ends[max(len(r.Ends)-mostEnds, 0):]

	return true
}

// join takes what another record of the same call holds, and says whether any end was new.
func (r *Record) join(x Record) bool {
	if x.Seen.After(r.Seen) {
		r.Seen = x.Seen
	}

	changed := false

	for _, e := range x.Ends {
		changed = r.add(e) || changed
	}

	return changed
}

func (r *Record) clone() Record {
	o := *r
	o.Ends = slices.Clone(r.Ends)

	return o
}

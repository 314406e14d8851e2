// Package reducer decides which configuration changes take effect.
//
// It applies the records of the configuration stream in the order of their
// offsets. Readers that apply the same records arrive at the same document, so
// accepting a change needs no agreement between instances.
package reducer

import (
	"time"

	"github.com/auburntray/auburntray/internal/differ"
	"github.com/auburntray/auburntray/internal/parser"
)

// Record is one entry of the configuration stream: a change or a checkpoint.
type Record struct {
	// ID is assigned by the publisher, which looks for it in the stream when the
	// reply to its append is lost.
	ID     string    `json:"id"`
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time"`
	// Base is the revision that a change was made against.
	Base   uint64         `json:"base,omitempty"`
	Change *differ.Change `json:"change,omitempty"`
	// Checkpoint is the complete state at its revision. It reflects every record before the offset
	// Next. A Next of zero means that the writer did not set it; the checkpoint's revision is then
	// used instead.
	Checkpoint *State `json:"checkpoint,omitempty"`
	Next       uint64 `json:"next,omitempty"`
}

// State is a configuration with the change that produced it. The zero State is
// revision 0 with an empty document.
type State struct {
	// Revision is the offset of the accepted change plus one; zero means that no
	// change was accepted.
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Base     uint64    `json:"base"`
	// Era is the era of the log from which the state results; zero if the log states none. Revisions of
	// different eras can't be compared.
	Era      uint64          `json:"era,omitempty"`
	Document parser.Document `json:"document"`
}

// Verdict is the result of applying a record.
type Verdict int

// The verdicts.
const (
	// Ignored is the verdict on a record that changes nothing: a malformed one, or
	// a checkpoint of a state that the reader has already passed.
	Ignored Verdict = iota
	// Accepted is the verdict on a change that takes effect.
	Accepted
	// Stale is the verdict on a change whose base is not the current revision.
	Stale
	// Invalid is the verdict on a change that results in an invalid document.
	Invalid
	// Restored is the verdict on a checkpoint or a peer's state that replaced the
	// current state.
	Restored
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"ignored", "accepted", "stale", "invalid", "restored"}[v]
}

// Reducer holds the state that results from the records applied so far. It is
// not safe for concurrent use.
type Reducer struct {
	state State
	// next is the offset of the first record that is not applied yet.
	next uint64
	// complete reports whether state reflects every record before next. It is
	// false for a reader that starts after the log dropped its oldest records,
	// until a checkpoint or a peer's state covers the missing ones.
	complete bool
	// oldest is the offset of the oldest record that the log still retained when
	// records were last missed; zero when none were.
	oldest uint64
	// pending holds the changes that were read while the state was incomplete.
	pending []entry
	// era is the era of the log from which the records are.
	era uint64
}

// entry is a change that was read while the state was incomplete.
type entry struct {
	offset uint64
	record Record
}

// New returns a Reducer that has applied no records: its document is empty, its revision
// and Next are 0.
func New() *Reducer {
	return &Reducer{complete: true}
}

// NewInEra returns a Reducer like New for the records of an era of the log.
func NewInEra(era uint64) *Reducer {
	return &Reducer{complete: true, era: era, state: State{Era: era}}
}

// State returns the current configuration. Callers must not modify it.
func (r *Reducer) State() *State {
	return &r.state
}

// Next returns the offset of the first record that is not applied yet.
func (r *Reducer) Next() uint64 {
	return r.next
}

// Complete reports whether the state reflects every record before Next.
func (r *Reducer) Complete() bool {
	return r.complete
}

// Skip informs the Reducer that the log retains no records before an offset. When
// some of these were not applied, the current state remains, but no change is accepted
// until a checkpoint or a peer's state covers the missed records.
func (r *Reducer) Skip(oldest uint64) {
	if oldest <= r.next {
		return
	}

	r.next = oldest
	r.oldest = oldest
	r.complete = false
	r.pending = nil
}

// Apply applies the record at an offset. A record before Next is ignored, so
// replays have no effect.
func (r *Reducer) Apply(offset uint64, x Record) Verdict {
	if offset < r.next {
		return Ignored
	}

	r.next = offset + 1

	if x.Checkpoint != nil {
		return r.applyCheckpoint(*x.Checkpoint, max(x.Next, x.Checkpoint.Revision))
	}

	if x.Change == nil {
		return Ignored
	}

	if !r.complete {
		r.pending = append(r.pending, entry{offset: offset, record: x})

		return Ignored
	}

	return r.change(offset, x)
}

// Restore replaces the state by that of a peer which has applied every record
// before next. A state older than the current one is ignored: reverting to it
// would, for example, send new calls to a drained target.
func (r *Reducer) Restore(s State, next uint64) Verdict {
	if s.Revision < r.state.Revision || (r.complete && next <= r.next) {
		return Ignored
	}

	if !r.complete && next < r.oldest {
		return Ignored
	}

	return r.restore(s, next)
}

// applyCheckpoint applies a checkpoint from the log. The reader that wrote it may
// have lagged, so the changes between the checkpoint's next and its own offset
// are applied to it; when some of these changes were missed, the checkpoint is ignored.
// A checkpoint that claims to reflect records after its own offset is invalid.
func (r *Reducer) applyCheckpoint(s State, next uint64) Verdict {
	if r.complete || next < r.oldest || next > r.next || s.Revision < r.state.Revision {
		return Ignored
	}

	return r.restore(s, next)
}

// restore sets a state that reflects every record before next, then applies the
// pending changes from next on.
func (r *Reducer) restore(s State, next uint64) Verdict {
	p := r.pending
	r.state = s
	r.state.Era = r.era
	r.complete = true
	r.pending = nil

	if r.next < next {
		r.next = next
	}

	for _, e := range p {
		if e.offset >= next {
			r.change(e.offset, e.record)
		}
	}

	return Restored
}

// change applies one change to a complete state.
func (r *Reducer) change(offset uint64, x Record) Verdict {
	// Of two changes that race on one base, the one with the lower offset takes
	// effect, and the author of the other must review it before publishing again.
	// Otherwise the later change would silently undo the earlier one.
	if x.Base != r.state.Revision {
		return Stale
	}

	d := differ.Apply(&r.state.Document, *x.Change)
	if err := parser.Check(d); err != nil {
		return Invalid
	}

	r.state = State{Revision: offset + 1, ID: x.ID, Author: x.Author, Time: x.Time, Base: x.Base, Era: r.era, Document: *d}

	return Accepted
}

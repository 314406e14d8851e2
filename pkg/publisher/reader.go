package publisher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/reducer"
)

// reader folds the configuration stream as the routers do.
type reader struct {
	log     log
	reducer *reducer.Reducer
	// verdicts are what became of each publication, by its ID; the first
	// verdict but stale stands, as a repeated append is stale after the first.
	verdicts map[string]reducer.Verdict
	// revisions are those that accepted publications made, by their IDs.
	revisions map[string]uint64
	history   []Entry
}

func newReader(l log) *reader {
	return &reader{
		log: l, reducer: reducer.New(), verdicts: make(map[string]reducer.Verdict), revisions: make(map[string]uint64),
	}
}

// read folds up to the end of the stream.
func (r *reader) read(c context.Context) error {
	for {
		n := r.reducer.Next()

		if err := r.step(c, 0); err != nil {
			return errors.Mark(errors.Wrap(err, ErrUnavailable.Error()), ErrUnavailable)
		}

		if r.reducer.Next() == n {
			break
		}
	}

	if !r.reducer.Complete() {
		return ErrNoState
	}

	return nil
}

// step reads once, waiting for records up to a time, and folds them.
func (r *reader) step(c context.Context, wait time.Duration) error {
	b, err := r.log.Read(c, follower.Stream, r.reducer.Next(), wait)
	if err != nil {
		return err
	}

	r.reducer.Skip(b.Oldest)

	for _, x := range b.Records {
		r.fold(x)
	}

	return nil
}

func (r *reader) fold(x recorder.Record) {
	var y reducer.Record
	if err := json.Unmarshal(x.Data, &y); err != nil {
		y = reducer.Record{}
	}

	v := r.reducer.Apply(x.Offset, y)

	if v == reducer.Accepted {
		r.revisions[y.ID] = r.reducer.State().Revision
	}

	if o, ok := r.verdicts[y.ID]; y.ID != "" && (!ok || o == reducer.Stale) {
		r.verdicts[y.ID] = v
	}

	e := Entry{Offset: x.Offset, ID: y.ID, Author: y.Author, Time: x.Time, Base: y.Base, Verdict: v.String()}
	if y.Change != nil {
		e.Changes = y.Change.Lines()
	}

	r.history = append(r.history, e)
}

// result turns a record's verdict into the publication's, with the revision that it made, or, when
// it made none, the one in force.
func (r *reader) result(id string, v reducer.Verdict) Result {
	o := Result{ID: id, Revision: r.reducer.State().Revision, Outcome: Stale}

	switch v {
	case reducer.Accepted:
		// Others may have published since. Their revision in place of its own would have
		// the publisher's next change undo theirs, which it has not seen.
		o.Outcome = Accepted
		o.Revision = r.revisions[id]
	case reducer.Ignored, reducer.Restored:
		// The record is older than the state that the log still explains.
		o.Outcome = Unknown
	case reducer.Stale, reducer.Invalid:
	}

	return o
}

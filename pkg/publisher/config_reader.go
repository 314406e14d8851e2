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

// configReader applies the records of the configuration stream as the routers do.
type configReader struct {
	log     log
	reducer *reducer.Reducer
	// verdicts are the verdicts on the publications, by ID. The first verdict other than
	// stale is final, since further records of a repeated append are stale.
	verdicts map[string]reducer.Verdict
	// revisions are the revisions created by accepted publications, by ID.
	revisions map[string]uint64
	history   []Entry
	// era is the era of the log from which the records are.
	era uint64
}

func newConfigReader(l log) *configReader {
	return &configReader{
		log: l, reducer: reducer.New(), verdicts: make(map[string]reducer.Verdict), revisions: make(map[string]uint64),
	}
}

// read applies all records up to the end of the stream. It fails with ErrUnavailable or
// ErrNoState.
func (r *configReader) read(c context.Context) error {
	for {
		n, era := r.reducer.Next(), r.era

		if err := r.readBatch(c, 0); err != nil {
			return errors.Mark(errors.Wrap(err, ErrUnavailable.Error()), ErrUnavailable)
		}

		if r.reducer.Next() == n && r.era == era {
			break
		}
	}

	if !r.reducer.Complete() {
		return ErrNoState
	}

	return nil
}

// readBatch reads once, waiting up to the given time for records, and applies them.
func (r *configReader) readBatch(c context.Context, wait time.Duration) error {
	b, err := r.log.Read(c, follower.Stream, r.reducer.Next(), wait)
	if err != nil {
		return err
	}

	if b.Era < r.era {
		return errors.Newf("the answer is of era %d, before %d", b.Era, r.era)
	}

	if b.Rewound(r.era, r.reducer.Next()) {
		n := r.reducer.Next()

		r.rewind(b.Era)

		// A batch from the first offset on is the beginning of the new era.
		if n > 0 {
			return nil
		}
	}

	r.reducer.Skip(b.Oldest)

	for _, x := range b.Records {
		r.apply(x)
	}

	return nil
}

// rewind forgets all records: the log has come back from an older copy, in an era, and may have lost some of them.
func (r *configReader) rewind(era uint64) {
	r.era, r.reducer, r.history = era, reducer.NewInEra(era), nil
	clear(r.verdicts)
	clear(r.revisions)
}

func (r *configReader) apply(x recorder.Record) {
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

// result returns the result of the publication with an ID, from the verdict on its record. The revision is the
// one that the publication created or, when it created none, the one in force.
func (r *configReader) result(id string, v reducer.Verdict) Result {
	o := Result{ID: id, Revision: r.reducer.State().Revision, Outcome: Stale}

	switch v {
	case reducer.Accepted:
		// Other operators may have published since. If the result had their revision, this
		// operator's next change would be based on it, and undo their changes unseen.
		o.Outcome = Accepted
		o.Revision = r.revisions[id]
	case reducer.Ignored, reducer.Restored:
		// The record precedes the oldest state that can be derived from the log.
		o.Outcome = Unknown
	case reducer.Stale, reducer.Invalid:
	}

	return o
}

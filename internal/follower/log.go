package follower

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/reducer"
	"github.com/auburntray/auburntray/internal/sleeper"
)

const (
	// maxPollWait is how long a read waits for new records.
	maxPollWait = 2 * time.Second
	readTimeout = 5 * time.Second
	// minRetryDelay is the shortest pause after a failed read; the longest is five times that.
	minRetryDelay = 200 * time.Millisecond
)

// log is a client of the platform's log.
type log interface {
	Read(c context.Context, stream string, from uint64, wait time.Duration) (recorder.Batch, error)
	Append(c context.Context, stream string, data [][]byte) (uint64, error)
}

// Run reads the stream until the context is done. While the log can't be read,
// the current configuration remains in effect.
func (f *Follower) Run(c context.Context) {
	for c.Err() == nil {
		if err := f.poll(c); err != nil {
			logrus.WithFields(logrus.Fields{"event": "configReadFailed", "error": err}).Debug()
			sleeper.Sleep(c, minRetryDelay+time.Duration(rand.Int64N(int64(4*minRetryDelay)))) //nolint:gosec,mnd // Jitter.

			continue
		}

		f.checkpoint(c)
	}
}

// poll reads the records after the last read and applies them.
func (f *Follower) poll(c context.Context) error {
	f.mu.Lock()
	n, era := f.reducer.Next(), f.era
	f.mu.Unlock()

	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	b, err := f.log.Read(x, Stream, n, min(maxPollWait, f.checkpointInterval))
	if err != nil {
		return err
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	// CatchUp has applied a peer's state of a later era meanwhile.
	if f.era != era {
		return nil
	}

	if b.Era < f.era {
		return errors.Mark(errors.Newf("the answer is of era %d, before %d", b.Era, f.era), recorder.ErrDown)
	}

	if b.Rewound(f.era, n) {
		f.rewind(b, n)

		// A batch from the first offset on is the beginning of the new era.
		if n > 0 {
			return nil
		}
	}

	f.reducer.Skip(b.Oldest)

	for _, r := range b.Records {
		f.apply(r)
	}

	return nil
}

// rewind starts over with the records of a new era. The current configuration remains in force until a later one is
// accepted. f.mu must be held.
func (f *Follower) rewind(b recorder.Batch, read uint64) {
	if read > 0 {
		logrus.WithFields(logrus.Fields{
			"event": "logRewound", "stream": Stream, "era": b.Era, "next": b.Next, "earlierEra": f.era, "read": read,
		}).Warn()
		f.onRewind()
	}

	f.beginEra(b.Era)
}

// beginEra replaces the reducer by one for the records of an era. f.mu must be held.
func (f *Follower) beginEra(era uint64) {
	f.era, f.reducer = era, reducer.NewInEra(era)
	f.lastCheckpoint, f.uncheckpointed = time.Time{}, 0
}

// apply applies one record. f.mu must be held.
func (f *Follower) apply(r recorder.Record) {
	var x reducer.Record

	// Every reader treats a record that can't be decoded as an empty one, so that
	// their states remain equal.
	if err := json.Unmarshal(r.Data, &x); err != nil {
		x = reducer.Record{}
	}

	if x.Checkpoint != nil && x.Checkpoint.Revision == f.reducer.State().Revision {
		f.lastCheckpoint = r.Time
		f.uncheckpointed = 0
	}

	v := f.reducer.Apply(r.Offset, x)
	if v == reducer.Accepted || v == reducer.Restored {
		f.uncheckpointed++
		f.activate("log")
	}
}

package follower

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

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
	n := f.reducer.Next()
	f.mu.Unlock()

	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	b, err := f.log.Read(x, Stream, n, min(maxPollWait, f.checkpointInterval))
	if err != nil {
		return err
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.reducer.Skip(b.Oldest)

	for _, r := range b.Records {
		f.apply(r)
	}

	return nil
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

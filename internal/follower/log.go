package follower

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/folder"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/sleeper"
)

const (
	pollWait    = 2 * time.Second
	readTimeout = 5 * time.Second
	retryBase   = 200 * time.Millisecond
)

// log reads and appends to the platform's log.
type log interface {
	Read(c context.Context, stream string, from uint64, wait time.Duration) (recorder.Batch, error)
	Append(c context.Context, stream string, data [][]byte) (uint64, error)
}

// Run follows the stream until the context ends. While the log can't be read,
// the configuration in force stands.
func (f *Follower) Run(c context.Context) {
	for c.Err() == nil {
		if err := f.poll(c); err != nil {
			logrus.WithFields(logrus.Fields{"event": "configReadFailed", "error": err}).Debug()
			sleeper.Sleep(c, retryBase+time.Duration(rand.Int64N(int64(4*retryBase)))) //nolint:gosec,mnd // Jitter.

			continue
		}

		f.checkpoint(c)
	}
}

// poll reads the records that came since the last read and folds them.
func (f *Follower) poll(c context.Context) error {
	f.mu.Lock()
	n := f.folder.Next()
	f.mu.Unlock()

	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	b, err := f.log.Read(x, Stream, n, min(pollWait, f.every))
	if err != nil {
		return err
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.folder.Skip(b.Oldest)

	for _, r := range b.Records {
		f.fold(r)
	}

	return nil
}

func (f *Follower) fold(r recorder.Record) {
	var x folder.Record

	// A record that can't be read is folded as one that changes nothing, by
	// every reader alike.
	if err := json.Unmarshal(r.Data, &x); err != nil {
		x = folder.Record{}
	}

	if x.Checkpoint != nil && x.Checkpoint.Revision == f.folder.State().Revision {
		f.checkpointed = r.Time
		f.sinceRevision = 0
	}

	v := f.folder.Fold(r.Offset, x)
	if v == folder.Accepted || v == folder.Restored {
		f.sinceRevision++
		f.enforce("log")
	}
}

package follower

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/reducer"
	"github.com/auburntray/auburntray/internal/sleeper"
)

const (
	// appendRetryDelay is the pause after a checkpoint could not be appended.
	appendRetryDelay = time.Second
	// maxUncheckpointed is the number of changes after which a checkpoint is due before its interval ends.
	maxUncheckpointed = 64
)

// checkpoint appends the state to the log when a checkpoint is due, for readers that start after the log
// dropped the older records. Duplicate checkpoints are harmless.
func (f *Follower) checkpoint(c context.Context) {
	f.mu.Lock()
	s, n := *f.reducer.State(), f.reducer.Next()
	d := s.Revision > 0 && f.reducer.Complete() &&
		(f.uncheckpointed >= maxUncheckpointed || time.Since(f.lastCheckpoint) > f.checkpointInterval)
	f.mu.Unlock()

	if !d || !f.writesCheckpoints() {
		return
	}

	b, err := json.Marshal(reducer.Record{
		ID: "checkpoint-" + strconv.FormatUint(s.Revision, 10), Time: time.Now(), Checkpoint: &s, Next: n,
	})
	if err != nil {
		return
	}

	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	if _, err := f.log.Append(x, Stream, [][]byte{b}); err != nil {
		logrus.WithFields(logrus.Fields{"event": "checkpointFailed", "error": err}).Warn()
		sleeper.Sleep(c, appendRetryDelay)

		return
	}

	f.mu.Lock()
	f.lastCheckpoint = time.Now()
	f.uncheckpointed = 0
	f.mu.Unlock()
}

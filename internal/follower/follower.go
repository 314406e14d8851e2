// Package follower follows the configuration stream and holds the
// configuration in force.
package follower

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/folder"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/wire"
)

// Stream is the name of the configuration stream.
const Stream = "config"

const (
	pollWait    = 2 * time.Second
	readTimeout = 5 * time.Second
	retryBase   = 200 * time.Millisecond
	stateWait   = time.Second
	// aheadAfter is how long a peer's newer revision may take to arrive from
	// the log before the peer is asked for it.
	aheadAfter = time.Second
	// checkpointChanges is after how many changes a checkpoint is due before its
	// time.
	checkpointChanges = 64
)

// ErrState marks a peer's state that can't be read.
var ErrState = errors.New("the peer's configuration can't be read")

// log reads and appends to the platform's log.
type log interface {
	Read(c context.Context, stream string, from uint64, wait time.Duration) (recorder.Batch, error)
	Append(c context.Context, stream string, data [][]byte) (uint64, error)
}

// messenger asks peers.
type messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
}

// Force is a configuration in force with what requests need of it. It never
// changes.
type Force struct {
	State   *folder.State
	Matcher *matcher.Matcher
}

// Follower holds the configuration in force. It is safe for concurrent use.
type Follower struct {
	log       log
	messenger messenger
	force     atomic.Pointer[Force]
	changed   func(*Force)
	every     time.Duration
	// responsible says whether this router writes the checkpoints.
	responsible func() bool

	mu            sync.Mutex
	folder        *folder.Folder
	checkpointed  time.Time
	sinceRevision int
	asking        bool
}

// New returns a Follower with an empty configuration. The first function is
// called with each configuration that comes into force, the second says whether
// this router writes the checkpoints: at least one in the given time, which
// must be a small part of the log's retention.
func New(l log, m messenger, changed func(*Force), responsible func() bool, every time.Duration) *Follower {
	f := &Follower{log: l, messenger: m, changed: changed, responsible: responsible, every: every, folder: folder.New()}
	s := *f.folder.State()
	f.force.Store(&Force{State: &s, Matcher: matcher.New(&s.Document)})

	return f
}

// Force returns the configuration in force.
func (f *Follower) Force() *Force {
	return f.force.Load()
}

// Revision returns the revision in force; zero means none.
func (f *Follower) Revision() uint64 {
	return f.Force().State.Revision
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

// Ahead is told that a peer holds a newer revision. When the log doesn't bring
// it, as in a data centre that is cut off from the platform, the peer does.
func (f *Follower) Ahead(c context.Context, a netip.AddrPort, revision uint64) {
	f.mu.Lock()
	b := f.asking
	f.asking = true
	f.mu.Unlock()

	if b {
		return
	}

	defer func() {
		f.mu.Lock()
		f.asking = false
		f.mu.Unlock()
	}()

	// A router without any configuration has nothing to lose by asking now.
	if f.Revision() > 0 {
		sleeper.Sleep(c, aheadAfter)
	}

	if f.Revision() >= revision {
		return
	}

	if err := f.fetch(c, a); err != nil {
		logrus.WithFields(logrus.Fields{"event": "configFetchFailed", "peer": a, "error": err}).Warn()
	}
}

// State answers a peer that asks for a newer configuration.
func (f *Follower) State(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.StateRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrState)
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	s := f.folder.State()
	if s.Revision <= q.Newer || !f.folder.Anchored() {
		return &wire.StateReply{}, nil
	}

	b, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Mark(err, ErrState)
	}

	return &wire.StateReply{Next: f.folder.Next(), Body: b}, nil
}

func (f *Follower) fetch(c context.Context, a netip.AddrPort) error {
	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	var r wire.StateReply
	if err := f.messenger.Call(x, a, wire.KindState, &wire.StateRequest{Newer: f.Revision()}, &r); err != nil {
		return errors.Mark(err, ErrState)
	}

	if len(r.Body) == 0 {
		return nil
	}

	var s folder.State
	if err := json.Unmarshal(r.Body, &s); err != nil {
		return errors.Mark(err, ErrState)
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.folder.Restore(s, r.Next) == folder.Restored {
		f.enforce("peer")
	}

	return nil
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

// enforce puts the folder's state in force.
func (f *Follower) enforce(source string) {
	s := *f.folder.State()
	p := f.force.Load()

	if s.Revision == p.State.Revision {
		return
	}

	n := &Force{State: &s, Matcher: matcher.New(&s.Document)}
	f.force.Store(n)
	logrus.WithFields(logrus.Fields{
		"event": "configInForce", "revision": s.Revision, "author": s.Author, "base": s.Base, "source": source,
	}).Info()
	f.changed(n)
}

// checkpoint appends the state when it is due, so that a reader that starts
// after the log dropped the older records finds it. Twice does no harm.
func (f *Follower) checkpoint(c context.Context) {
	f.mu.Lock()
	s := *f.folder.State()
	d := s.Revision > 0 && f.folder.Anchored() &&
		(f.sinceRevision >= checkpointChanges || time.Since(f.checkpointed) > f.every)
	f.mu.Unlock()

	if !d || !f.responsible() {
		return
	}

	b, err := json.Marshal(folder.Record{
		ID: "checkpoint-" + strconv.FormatUint(s.Revision, 10), Time: time.Now(), Checkpoint: &s,
	})
	if err != nil {
		return
	}

	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	if _, err := f.log.Append(x, Stream, [][]byte{b}); err != nil {
		logrus.WithFields(logrus.Fields{"event": "checkpointFailed", "error": err}).Warn()
		sleeper.Sleep(c, stateWait)

		return
	}

	f.mu.Lock()
	f.checkpointed = time.Now()
	f.sinceRevision = 0
	f.mu.Unlock()
}

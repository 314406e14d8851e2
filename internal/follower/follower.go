// Package follower follows the configuration stream and holds the
// configuration in force.
package follower

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/folder"
	"github.com/auburntray/auburntray/internal/matcher"
)

// Stream is the name of the configuration stream.
const Stream = "config"

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

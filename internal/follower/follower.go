// Package follower reads the configuration stream and holds the current
// configuration.
package follower

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/reducer"
)

// Stream is the platform's name of the configuration stream.
const Stream = "config"

// Config is the current configuration, indexed for the matching of requests. It
// is immutable.
type Config struct {
	State   *reducer.State
	Matcher *matcher.Matcher
}

// Follower holds the current configuration. It is safe for concurrent use.
type Follower struct {
	log       log
	messenger messenger
	current   atomic.Pointer[Config]
	onChange  func(*Config)
	// checkpointInterval is the longest time between two checkpoints.
	checkpointInterval time.Duration
	// writesCheckpoints reports whether this router writes the checkpoints.
	writesCheckpoints func() bool

	mu             sync.Mutex
	reducer        *reducer.Reducer
	lastCheckpoint time.Time
	// uncheckpointed is the number of changes since the last checkpoint.
	uncheckpointed int
	// fetching reports whether a configuration is being fetched from a peer.
	fetching bool
}

// New returns a Follower with an empty configuration. It calls onChange with
// each new configuration, one call at a time. When writesCheckpoints returns
// true, it appends at least one checkpoint in each interval, which must be much
// shorter than the log's retention.
func New(l log, m messenger, onChange func(*Config), writesCheckpoints func() bool, interval time.Duration) *Follower {
	f := &Follower{log: l, messenger: m, onChange: onChange, writesCheckpoints: writesCheckpoints, checkpointInterval: interval, reducer: reducer.New()}
	s := *f.reducer.State()
	f.current.Store(&Config{State: &s, Matcher: matcher.New(&s.Document)})

	return f
}

// Config returns the current configuration.
func (f *Follower) Config() *Config {
	return f.current.Load()
}

// Revision returns the current revision; zero means that no configuration was
// received.
func (f *Follower) Revision() uint64 {
	return f.Config().State.Revision
}

// activate makes the reducer's state the current configuration. f.mu must be
// held.
func (f *Follower) activate(source string) {
	s := *f.reducer.State()
	p := f.current.Load()

	if s.Revision == p.State.Revision {
		return
	}

	n := &Config{State: &s, Matcher: matcher.New(&s.Document)}
	f.current.Store(n)
	logrus.WithFields(logrus.Fields{
		"event": "configInForce", "revision": s.Revision, "author": s.Author, "base": s.Base, "source": source,
	}).Info()
	f.onChange(n)
}

// Package follower reads the configuration stream and holds the current
// configuration.
package follower

import (
	"maps"
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

	mu      sync.Mutex
	reducer *reducer.Reducer
	// era is the era of the log from which the reducer has its records.
	era uint64
	// applied are the IDs of the configurations that were in force, by revision. A new era of the log begins with
	// some of them.
	applied map[uint64]string
	// onRewind is called when the log has come back from a copy.
	onRewind       func()
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
	f := &Follower{log: l, messenger: m, onChange: onChange, writesCheckpoints: writesCheckpoints, checkpointInterval: interval, reducer: reducer.New(), applied: make(map[uint64]string), onRewind: func() {}}
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

// OnRewind sets a function that is called when the log has come back from an older copy. It must be
// called before Run.
func (f *Follower) OnRewind(g func()) {
	f.onRewind = g
}

// eraShift is the position of the era in a number that orders configurations: an era has fewer records than 2^40.
const eraShift = 40

// order returns a number that rises with each configuration in force, also when the log assigns offsets again. It is
// the revision if the log states no era.
func order(s *reducer.State) uint64 {
	return s.Era<<eraShift | s.Revision
}

// Order returns the number that orders the current configuration among those of all routers; zero means that none
// was received.
func (f *Follower) Order() uint64 {
	return order(f.Config().State)
}

// isTakenBack reports whether a state precedes the current one, which the log has lost as it came back from a copy.
// Such a state is not activated: callers have seen the effect of the current one.
func (f *Follower) isTakenBack(s *reducer.State) bool {
	p := f.current.Load().State
	id, ok := f.applied[s.Revision]

	return ok && id == s.ID && s.Revision != p.Revision
}

// maxApplied is how many records of the log before the newest one the remembered configurations may be: a copy of the
// log is some seconds old.
const maxApplied = 1024

// remember adds a configuration to those that were in force. f.mu must be held.
func (f *Follower) remember(s *reducer.State) {
	f.applied[s.Revision] = s.ID
	maps.DeleteFunc(f.applied, func(revision uint64, _ string) bool { return revision+maxApplied < s.Revision })
}

// activate makes the reducer's state the current configuration. f.mu must be
// held.
func (f *Follower) activate(source string) {
	s := *f.reducer.State()
	p := f.current.Load()

	if s.Revision == p.State.Revision && s.Era == p.State.Era || f.isTakenBack(&s) {
		return
	}

	f.remember(&s)

	n := &Config{State: &s, Matcher: matcher.New(&s.Document)}
	f.current.Store(n)
	logrus.WithFields(logrus.Fields{
		"event": "configInForce", "revision": s.Revision, "author": s.Author, "base": s.Base, "era": s.Era, "source": source,
	}).Info()
	f.onChange(n)
}

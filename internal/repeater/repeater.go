// Package repeater lets instances read the platform's streams through each other.
// One instance of a region, the region's reader, reads from the platform. One
// instance of each other data centre, the reader of that data centre, reads from
// the region's reader. All other instances read from the reader of their own data
// centre. An instance whose reads the platform refuses reads from random other
// instances.
//
// The instance from which another one reads regularly is called its upstream.
package repeater

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/relayer"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

var (
	// ErrPeer marks failures to read from other instances.
	ErrPeer = errors.New("no other instance could answer the read")
	// errStale means that another instance's records are too old.
	errStale = errors.New("the instance's records are too old")
	// errRedirect means that the upstream redirected a read to another instance, and that the read failed there.
	errRedirect = errors.New("the instance to which the read was redirected did not answer")
)

// Fractions of the wait budget. The wait budget is the total time that all reads through which a change passes
// may wait.
const (
	// readerStaleFraction is the greatest accepted age of the records of a data centre's reader. The reader's own
	// reads wait for changes for about a third of the wait budget. When its records are older than
	// readerStaleFraction, it may be partitioned without having noticed, and the other instances of the data
	// centre read from the platform.
	readerStaleFraction = 0.55
	// recentFraction applies to the read from the platform that follows a failed read from the upstream. This read
	// waits for changes only if the platform confirmed the records at most recentFraction ago. If the read is never
	// answered, a change is delayed by recentFraction plus the duration of the read.
	recentFraction = 0.2
	// readerWaitFraction is how long a read from a data centre's reader waits there for a change.
	readerWaitFraction = 0.2
	// regionWaitFraction and regionStaleFraction are the same for the region's reader, which is called by the
	// readers of the data centres. They are smaller than those above for two reasons: records that pass through two
	// readers must not get too old, and the reader of a data centre must notice that the region's reader is silent
	// before the instances that read from it do. Otherwise all instances of a data centre would read from the
	// platform at once.
	regionWaitFraction  = 0.075
	regionStaleFraction = 0.45
	// peerStaleFraction is the greatest accepted age of another instance's records when the platform refuses this
	// instance. The other instance may itself read through a third.
	peerStaleFraction = 1.25
)

const (
	// peerTimeout bounds a call to another instance that does not wait there for changes. The round-trip time
	// between instances is about a millisecond.
	peerTimeout = 250 * time.Millisecond
	// peerSlack is how long after the end of its wait a call to another instance times out.
	peerSlack = 250 * time.Millisecond
	// maxBacklog limits the long answers that are queued on an instance's link: when these occupy the link for
	// this long or longer, the next requester of a long answer is redirected. It is below peerSlack, so that calls
	// queued behind long answers do not time out.
	maxBacklog = 200 * time.Millisecond
	// peerRoundPause is the pause between two rounds of calls to other instances while the platform refuses this
	// instance. The platform is called again in each round, and refused calls are billed too.
	peerRoundPause = 500 * time.Millisecond
	// peersPerRound is how many other instances are called at once. Some may be partitioned, but usually at least
	// one of three is not, and answers within milliseconds.
	peersPerRound = 3
	// proberCount is how many instances of a data centre, on average, call a platform that has not answered
	// them, in each round of about half a second. With four, an instance that alone of twenty is refused calls the
	// platform every two to three seconds.
	proberCount = 4
	// skipPeriod is how long an upstream is skipped after its records were too old. Such an upstream is alive, and
	// may be up to date again soon.
	skipPeriod = time.Second
	// seedSkipPeriod is how long seeds are skipped after a seed did not answer this instance, which has just started:
	// the seed may have just started, too.
	seedSkipPeriod = 300 * time.Millisecond
	// settlePeriod is how long after its start an instance reads through a seed. By then it knows the other
	// instances from gossip, and the readers of the data centres have caught up.
	settlePeriod = 14 * time.Second
	// maxRedirects bounds how often a read is redirected to another instance that has the records. It is the
	// depth of the tree along which redirects distribute a record in a data centre of about 1,000 instances.
	maxRedirects = 6
)

// Members is the membership of the cluster.
type Members interface {
	// Home returns the home (home node) of a key: the live instance in one of the data centres that is
	// responsible for it.
	Home(key uint64, centres []string) (gossiper.Member, bool)
	Live() []gossiper.Member
	Suspect(id uint64)
	Self() gossiper.Member
	// Seeds returns the addresses of a few instances that are known from the start.
	Seeds() []netip.AddrPort
}

// Messenger calls other instances.
type Messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
}

// Meter counts reads. It is implemented by meter.Meter.
type Meter interface {
	Read(stream, source string, answered bool)
}

// Values of the metric label source.
const (
	sourceReader   = "reader"
	sourcePlatform = "platform"
	sourcePeer     = "other"
)

// Repeater holds the streams of one instance. It is safe for concurrent use after
// its streams are added.
type Repeater struct {
	messenger Messenger
	members   Members
	meter     Meter
	// rate is the bandwidth of the instance's link in bytes per second.
	rate    float64
	started time.Time
	streams map[string]*Stream
}

// New returns a Repeater without streams, for an instance whose link has the given bandwidth in bytes per second.
func New(m Messenger, x Members, c Meter, rate float64) *Repeater {
	return &Repeater{messenger: m, members: x, meter: c, rate: rate, started: time.Now(), streams: make(map[string]*Stream)}
}

// AddStream adds a stream that is read from a source, or from other instances. The wait budget is the result of
// watcher.WaitBudget. AddStream must not be called concurrently with other methods.
func (r *Repeater) AddStream(name string, s watcher.Source, waitBudget time.Duration) *Stream {
	x := &Stream{
		name: name, repeater: r, source: s, waitBudget: waitBudget, cache: newCache(), changed: make(chan struct{}),
		relayer: relayer.New(relayer.Settings{Rate: r.rate, MaxBacklog: maxBacklog}),
	}
	r.streams[name] = x

	return x
}

// Answer handles a wire.StreamRequest of another instance. It fails with ErrPeer, or when the context is done.
func (r *Repeater) Answer(c context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.StreamRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrPeer)
	}

	s, ok := r.streams[q.Stream]
	if !ok {
		return nil, ErrPeer
	}

	return s.answer(c, from, q)
}

// Package repeater lets instances read the platform's streams through each other.
// One instance of a region, the region's reader, reads from the platform. The
// readers of the other data centres read through it, and all other instances
// through the reader of their data centre. An instance that the platform refuses
// reads from random others.
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
	// errRedirect means that an instance did not answer to which the upstream had redirected a read.
	errRedirect = errors.New("the instance to which the read was redirected did not answer")
)

// The fractions are of the wait budget: the time for which all reads on the path of a change may wait in total.
const (
	// readerStaleFraction is the greatest age of the records of a data centre's reader. Its reads wait for a
	// third of that time. When it has received no answer for longer, it may be partitioned without noticing, and
	// the other instances read for themselves.
	readerStaleFraction = 0.55
	// recentFraction is the greatest age of the platform's last answer at which a read still waits for changes
	// although the upstream has just failed. If that read is never answered, a change is delayed by this and
	// the duration of a read.
	recentFraction = 0.2
	// readerWaitFraction is how long a data centre's reader is asked to wait for a change.
	readerWaitFraction = 0.2
	// regionWaitFraction and regionStaleFraction are the same for the region's reader, which is called by the
	// readers of the data centres. They are smaller so that the answers of these are not too old for the
	// instances that read through them, and so that these readers notice a silent region's reader, and read
	// for themselves, before those instances do: else a whole data centre would read from the platform at once.
	regionWaitFraction  = 0.075
	regionStaleFraction = 0.45
	// peerStaleFraction is the greatest age of the records of an instance that is called because the platform
	// refuses this one; it may itself read through another.
	peerStaleFraction = 1.25
)

const (
	// peerTimeout bounds a call that does not wait. The round-trip time between instances is about a
	// millisecond.
	peerTimeout = 250 * time.Millisecond
	// peerSlack is how long after its wait the answer to a call may arrive before the call times out.
	peerSlack = 250 * time.Millisecond
	// maxLinkQueue is how long the long answers already queued may occupy an instance's link when another is
	// sent. It is below peerSlack, so that calls queued behind them do not time out.
	maxLinkQueue = 200 * time.Millisecond
	// peerRoundPause is the pause between two rounds of calls to other instances while the platform refuses this
	// one. The platform is called again in each round, and refusals are billed too.
	peerRoundPause = 500 * time.Millisecond
	// peersPerRound is how many other instances are called at once. Some may be partitioned; of three, one that
	// is not answers within milliseconds.
	peersPerRound = 3
	// proberCount is how many instances of a data centre, on average, call a platform that has not answered
	// them, in each round of about half a second. With four, the only refused instance among twenty calls the
	// platform every two to three seconds.
	proberCount = 4
	// skipPeriod is how long an upstream is skipped after its records were too old. It is alive, and may be up
	// to date again soon.
	skipPeriod = time.Second
	// seedSkipPeriod is the same for a seed that did not answer an instance which has just started: the seed may
	// have just started, too.
	seedSkipPeriod = 300 * time.Millisecond
	// settlePeriod is how long after its start an instance reads through a seed. By then it knows the other
	// instances from gossip.
	settlePeriod = 14 * time.Second
	// maxRedirects bounds how often a read is redirected to another instance that has the records: it is the
	// depth of the distribution tree in a data centre of about 1,000 instances.
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

// AddStream adds a stream that is read from a source, or from other instances. The wait budget is that of
// watcher.Waits. It must not be called concurrently with other methods.
func (r *Repeater) AddStream(name string, s watcher.Source, waitBudget time.Duration) *Stream {
	x := &Stream{
		name: name, repeater: r, source: s, waitBudget: waitBudget, cache: newCache(), changed: make(chan struct{}),
		relayer: relayer.New(relayer.Settings{Rate: r.rate, MaxBacklog: maxLinkQueue}),
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

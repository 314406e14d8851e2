// Package repeater lets instances read the platform's streams through each other:
// one instance of a data centre reads for all of it, and one that the platform
// turns away reads from others.
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
	ErrPeer = errors.New("no instance could tell")
	// errOld means that an instance answered with what is too old.
	errOld = errors.New("what the instance knows is old")
	// errSentOn means that an instance did not tell to which another sent this one on.
	errSentOn = errors.New("sent on in vain")
)

// The parts are of the time that all waits along the way of a change may take together.
const (
	// readerStalePart is how old the knowledge of the instance that reads for a data
	// centre may be. Its reads wait for a third of that time; when they bring nothing for longer
	// it may be cut off without a sign of it, and the others read themselves.
	readerStalePart = 0.55
	// heardLatelyPart is how old the platform's word may be for a read to wait for changes
	// though the reader has just failed. With a read that is never answered, a change
	// is hidden for this and a read's time more.
	heardLatelyPart = 0.2
	// readerWaitPart is how long that instance is asked to wait for a change.
	readerWaitPart = 0.2
	// firstWaitPart and firstStalePart are the same for the instance that reads for all data centres, and is
	// asked by the readers of these. What these tell is then not too old for those who read through
	// them. They notice that it is silent, and read themselves, before those do: else all of a data
	// centre would ask the platform at once.
	firstWaitPart  = 0.075
	firstStalePart = 0.45
	// otherStalePart is the same for an instance that is asked because the platform
	// turns this one away; it may itself read through another.
	otherStalePart = 1.25
)

const (
	// peerTimeout bounds a call that does not wait; instances are a millisecond
	// apart.
	peerTimeout = 250 * time.Millisecond
	// peerSlack is how much later than it should an answer to one that waits is
	// given up.
	peerSlack = 250 * time.Millisecond
	// tellMost is for how long an instance's link may be taken by what others are told of a long answer when
	// one more is told. It is below peerSlack: who waits behind them does not give up.
	tellMost = 200 * time.Millisecond
	// othersEvery is the pause between two rounds of asking others while the
	// platform turns this instance away; the platform is asked again in each, and
	// a refusal has a price too.
	othersEvery = 500 * time.Millisecond
	// othersAsked is how many others are asked at a time. Some may be cut off; of
	// three, one that is not answers within milliseconds.
	othersAsked = 3
	// probers is how many instances of a data centre ask a platform that has not
	// answered them, in each round of some half a second. With four, one that is
	// turned away alone among twenty asks each two or three seconds.
	probers = 4
	// skipFor is how long an instance that reads for the data centre is passed over
	// when what it knows is old. It is there, and may know better soon.
	skipFor = time.Second
	// seedSkipFor is the same for a seed that did not answer an instance which has just
	// started: the seed may have, too.
	seedSkipFor = 300 * time.Millisecond
	// settleIn is how long after its start an instance reads through a seed. By
	// then gossip has told it of the others.
	settleIn = 14 * time.Second
	// sentOnMost bounds how often an instance is sent on to another that has the records: the levels that
	// a data centre of some thousand instances has.
	sentOnMost = 6
)

// Members knows the other instances.
type Members interface {
	Home(key uint64, centres []string) (gossiper.Member, bool)
	Live() []gossiper.Member
	Suspect(id uint64)
	Self() gossiper.Member
	// Seeds are addresses of a few instances, known from the start.
	Seeds() []netip.AddrPort
}

// Messenger calls other instances.
type Messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
}

// Meter counts reads; a meter.Meter does.
type Meter interface {
	Read(stream, source string, answered bool)
}

// Where reads go to, as they are counted.
const (
	sourceReader   = "reader"
	sourcePlatform = "platform"
	sourceOther    = "other"
)

// Repeater holds the streams of one instance. It is safe for concurrent use once
// its streams are added.
type Repeater struct {
	messenger Messenger
	members   Members
	meter     Meter
	// rate is what the instance's link carries, in bytes a second.
	rate    float64
	started time.Time
	streams map[string]*Stream
}

// New returns a Repeater without streams, for an instance whose link carries so many bytes a second.
func New(m Messenger, x Members, c Meter, rate float64) *Repeater {
	return &Repeater{messenger: m, members: x, meter: c, rate: rate, started: time.Now(), streams: make(map[string]*Stream)}
}

// Stream adds a stream that is read from a source, or from other instances. All waits along the way of a change
// may take a time together.
func (r *Repeater) Stream(name string, s watcher.Source, waits time.Duration) *Stream {
	x := &Stream{
		name: name, repeater: r, source: s, waits: waits, tape: newTape(), changed: make(chan struct{}),
		relayer: relayer.New(relayer.Settings{Rate: r.rate, Most: tellMost}),
	}
	r.streams[name] = x

	return x
}

// Answer answers an instance that reads from this one.
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

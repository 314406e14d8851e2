// Package binder binds streams to the software version of the target that began them. It tells a few other instances, the
// homes of the stream, before the stream begins, and asks them when a caller resumes it here.
//
// Homes need no consensus and keep no durable state. Instances are told only while several versions of a group are in use,
// and all streams begun shortly before when a second one appears.
package binder

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrBinding marks errors of messages that can't be decoded.
var ErrBinding = errors.New("invalid message on a stream's version")

const (
	// askTimeout bounds a request. Within a region a reply takes one or two milliseconds, and a caller that waits should be
	// refused at once.
	askTimeout = 40 * time.Millisecond
	// maxAsking is the largest number of streams about which others are asked at a time. Beyond it a caller that
	// resumes streams at random would multiply its calls.
	maxAsking = 64
	// sendTimeout bounds the sending of a note.
	sendTimeout = 300 * time.Millisecond
)

// Messenger sends messages to other instances. Call waits for the reply, Send does not.
type Messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// Members lists the live instances and identifies this one.
type Members interface {
	Live() []gossiper.Member
	Self() gossiper.Member
}

// Meter records metrics. It is implemented by meter.Meter.
type Meter interface {
	// StreamLookup records that the version of a stream was looked up, and from what the answer follows.
	StreamLookup(source string)
}

// The sources of what is known of a stream's version.
const (
	sourceOwn     = "own"     // A note of this instance.
	sourceSole    = "sole"    // The group has had one version for longer than streams last.
	sourceReplies = "replies" // What other instances have replied.
	sourceNone    = "none"    // Nothing is certain.
)

// Binder tells and asks other instances. It is safe for concurrent use.
type Binder struct {
	messenger Messenger
	members   Members
	meter     Meter
	// centres are the data centres of all instances.
	centres []string
	// fresh reports whether the list of targets is up to date.
	fresh func() bool
	// asking has an element for each stream about which others are being asked.
	asking chan struct{}

	mu     sync.Mutex
	pinner *pinner.Pinner
}

// New returns a Binder that knows no streams. The function fresh reports whether the list of targets is up to date, and
// centres are the data centres of all instances.
func New(m Messenger, x Members, t Meter, centres []string, fresh func() bool) *Binder {
	return &Binder{messenger: m, members: x, meter: t, centres: centres, fresh: fresh, asking: make(chan struct{}, maxAsking), pinner: pinner.New()}
}

// Observe applies a registry that has changed.
func (b *Binder) Observe(r *discoverer.Registry) {
	n := time.Now()

	b.mu.Lock()

	var l []pinner.Note
	for _, g := range b.pinner.Observe(n, r) {
		l = append(l, b.pinner.Recent(n, g)...)
	}

	b.mu.Unlock()
	b.tell(l)
}

// Bind records that a stream of a group is about to begin at a target with a version, and tells the homes of the stream if
// the group has several versions. It does not block.
func (b *Binder) Bind(group string, n pinner.Note) {
	now := time.Now()

	b.mu.Lock()
	b.pinner.RecordOwn(now, group, n)
	mixed := b.pinner.Mixed(now, group)
	b.mu.Unlock()

	if mixed {
		b.tell([]pinner.Note{n})
	}
}

// Find returns the version that began a stream of a group, and false if that is not certain.
func (b *Binder) Find(c context.Context, group string, s pinner.Stream) (discoverer.Version, bool) {
	now := time.Now()

	b.mu.Lock()
	own := b.view(now, group, s)
	v, complete := b.pinner.Sole(now, group)
	b.mu.Unlock()

	fresh := b.fresh()

	switch {
	case own.Found:
		b.meter.StreamLookup(sourceOwn)

		return own.Note.Version, own.Note.Version != 0
	case complete && fresh:
		b.meter.StreamLookup(sourceSole)

		return v, true
	}

	replies := b.ask(c, group, s)
	source := sourceReplies

	v, ok := pinner.Decide(own, replies, b.centres, fresh)
	if !ok {
		source = sourceNone
	}

	b.meter.StreamLookup(source)
	logrus.WithFields(logrus.Fields{
		"event": "streamLookedUp", "group": group, "source": source, "versionsInUse": len(own.Versions), "replies": len(replies),
		"found": countFound(replies), "fresh": fresh,
	}).Info()

	return v, ok
}

// countFound returns how many replies have the version of the stream.
func countFound(l []pinner.View) int {
	n := 0

	for _, v := range l {
		if v.Found {
			n++
		}
	}

	return n
}

// Len returns the number of streams whose version is known.
func (b *Binder) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.pinner.Len()
}

// HandleVersions handles notes of another instance.
func (b *Binder) HandleVersions(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.StreamVersions
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrBinding)
	}

	n := time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	for _, x := range w.Streams {
		b.pinner.Record(n, pinner.Note{Stream: pinner.Stream(x.Stream), Version: discoverer.Version(x.Version), Attempt: int(x.Attempt)})
	}

	return nil, nil //nolint:nilnil // It has no reply.
}

// HandleRequest answers what this instance knows of a stream.
func (b *Binder) HandleRequest(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.VersionRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrBinding)
	}

	b.mu.Lock()
	v := b.view(time.Now(), q.Group, pinner.Stream(q.Stream))
	b.mu.Unlock()

	o := &wire.VersionReply{Found: v.Found, Version: uint64(v.Note.Version), Attempt: attempt(v.Note)}
	for _, x := range v.Versions {
		o.Versions = append(o.Versions, uint64(x))
	}

	return o, nil
}

// view returns what this instance knows. The mutex must be held.
func (b *Binder) view(now time.Time, group string, s pinner.Stream) pinner.View {
	o := pinner.View{DataCentre: b.members.Self().DataCentre, Versions: b.pinner.Versions(now, group)}
	if s != 0 {
		o.Note, o.Found = b.pinner.Find(now, s)
	}

	return o
}

// tell sends each note to the homes of its stream.
func (b *Binder) tell(l []pinner.Note) {
	if len(l) == 0 {
		return
	}

	self, live := b.members.Self(), b.members.Live()
	byHome := make(map[uint64]*wire.StreamVersions)
	homes := make(map[uint64]gossiper.Member)

	for _, n := range l {
		for _, m := range pinner.Homes(n.Stream, self, live) {
			if byHome[m.ID] == nil {
				byHome[m.ID], homes[m.ID] = &wire.StreamVersions{}, m
			}

			w := byHome[m.ID]
			w.Streams = append(w.Streams, wire.StreamVersion{Stream: uint64(n.Stream), Version: uint64(n.Version), Attempt: attempt(n)})
		}
	}

	for id, w := range byHome {
		go b.send(homes[id], w)
	}
}

// attempt returns the attempt of a note for the wire.
func attempt(n pinner.Note) uint32 {
	return uint32(min(max(n.Attempt, 0), math.MaxInt32))
}

func (b *Binder) send(m gossiper.Member, w *wire.StreamVersions) {
	c, stop := context.WithTimeout(context.Background(), sendTimeout)
	defer stop()

	if err := b.messenger.Send(c, m.Address, wire.KindStreamVersions, w); err != nil {
		logrus.WithFields(logrus.Fields{"event": "streamHomeNotTold", "peer": m.Address, "error": err}).Debug()
	}
}

// ask asks the homes of a stream. It returns the replies that arrive in time, and those so far as soon as one has the
// stream's version. It asks nobody while it asks about many streams.
func (b *Binder) ask(c context.Context, group string, s pinner.Stream) []pinner.View {
	select {
	case b.asking <- struct{}{}:
		defer func() { <-b.asking }()
	default:
		return nil
	}

	x, stop := context.WithTimeout(c, askTimeout)
	defer stop()

	l := pinner.Asked(s, b.members.Self(), b.members.Live())
	replies := make(chan pinner.View, len(l))
	failed := make(chan struct{}, len(l))

	// Each request runs in a goroutine, since it may block beyond its time-out while another message waits for a
	// connection to the same instance.
	for _, m := range l {
		go func() {
			var w wire.VersionReply
			if err := b.messenger.Call(x, m.Address, wire.KindVersion, &wire.VersionRequest{Stream: uint64(s), Group: group}, &w); err != nil {
				failed <- struct{}{}

				return
			}

			replies <- viewOf(m, s, &w)
		}()
	}

	var o []pinner.View

	for range l {
		select {
		case v := <-replies:
			if o = append(o, v); v.Found {
				return o
			}
		case <-failed:
		case <-x.Done():
			return o
		}
	}

	return o
}

// viewOf returns what another instance has replied.
func viewOf(m gossiper.Member, s pinner.Stream, w *wire.VersionReply) pinner.View {
	o := pinner.View{
		DataCentre: m.DataCentre, Found: w.Found, Note: pinner.Note{Stream: s, Version: discoverer.Version(w.Version), Attempt: int(w.Attempt)},
	}
	for _, x := range w.Versions {
		o.Versions = append(o.Versions, discoverer.Version(x))
	}

	return o
}

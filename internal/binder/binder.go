// Package binder binds streams to the software version of the target that began them. It tells a few other instances, the
// recorders, before a stream begins, and asks them when a caller resumes it here. The recorders write what they are told to a
// log outside of the instances, so that it is known when all instances have been killed.
//
// Recorders need no consensus: each writes its own records, and a stream of which nothing is known does not go on. They are told
// where each stream begins, as a second version may appear while the instance that has begun it is gone. They write that to the log while
// several versions of a group are in use, and all streams begun shortly before when a second one appears.
//
// The versions in use of each group are in the log always, also one alone. A process that starts reads them, or asks a recorder for
// them, and tells the recorders where streams begin until it knows them. If another version is listed, or nothing is recorded, it does not take the
// version that is listed for the one that began a stream.
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

// ErrBinding marks errors of messages and records that can't be decoded.
var ErrBinding = errors.New("invalid message on a stream's version")

const (
	// sendTimeout bounds the sending of a note.
	sendTimeout = 300 * time.Millisecond
	// recordersTime is how long the selected recorders are used before they are selected again: hundreds of instances are
	// sorted for that.
	recordersTime = 200 * time.Millisecond
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

// Settings configure a Binder.
type Settings struct {
	// Centres are the data centres of all instances.
	Centres []string
	// Fresh reports whether the list of targets is up to date: the platform confirmed it less than FreshTime ago.
	Fresh     func() bool
	FreshTime time.Duration
	// Stalled reports whether this process was stalled just before: what arrived meanwhile may not have been handled yet.
	Stalled func() bool
	// WritesPerSecond is how many requests all instances together may send to the log each second to write; zero means
	// DefaultWritesPerSecond.
	WritesPerSecond float64
}

// DefaultWritesPerSecond is the default of Settings.WritesPerSecond.
const DefaultWritesPerSecond = 400

// Binder tells and asks other instances. It is safe for concurrent use.
type Binder struct {
	messenger Messenger
	members   Members
	log       Log
	meter     Meter
	settings  Settings
	// asking has an element for each stream about which others are being asked.
	asking chan struct{}

	mu     sync.Mutex
	pinner *pinner.Pinner
	// startedAt is when this process started. See startTime.
	startedAt time.Time
	// recorders were selected at selectedAt.
	recorders  *pinner.Recorders
	selectedAt time.Time
	// asked are the groups about which others were asked since this process started.
	asked   map[string]bool
	archive archive
}

// New returns a Binder that knows no streams. With a nil log, what is known of streams is lost when all instances are killed.
func New(m Messenger, x Members, l Log, t Meter, s Settings) *Binder {
	if s.Stalled == nil {
		s.Stalled = func() bool { return false }
	}

	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = DefaultWritesPerSecond
	}

	return &Binder{
		messenger: m, members: x, log: l, meter: t, settings: s, asking: make(chan struct{}, maxAsking), pinner: pinner.New(), startedAt: time.Now(), asked: make(map[string]bool), archive: newArchive(),
	}
}

// Observe applies a registry that has changed.
func (b *Binder) Observe(r *discoverer.Registry) {
	n := time.Now()

	b.mu.Lock()
	mixed := b.pinner.Observe(n, r)
	l := b.recent(n, mixed)
	unwritten := b.archive.lacksMark(b.pinner.InUse(n))
	b.mu.Unlock()

	if len(mixed) > 0 || unwritten {
		b.archive.wakeUp()
	}

	b.tell(l)
}

// recent returns the notes of the streams of some groups that this instance began not long ago. A recorder writes those of others, whose
// instances may be gone. The mutex must be held.
func (b *Binder) recent(now time.Time, groups []string) []pinner.Note {
	var l []pinner.Note
	for _, g := range groups {
		l = append(l, b.pinner.Recent(now, g)...)
	}

	if len(groups) == 0 || !b.selectRecorders(now).Recording() {
		return l
	}

	for _, g := range groups {
		for _, n := range b.pinner.Told(now, g) {
			b.archive.add(now, n)
		}
	}

	return l
}

// Bind records that a stream of a group is about to begin at a target with a version, and tells the recorders of the stream. They write
// it to the log if the group has several versions, or may have had. It does not block.
func (b *Binder) Bind(group string, n pinner.Note) {
	now := time.Now()

	b.mu.Lock()
	before, ok := b.pinner.Find(now, n.Stream)
	b.pinner.RecordOwn(now, group, n)
	write := b.pinner.MustWrite(now, group)
	b.mu.Unlock()

	if ok && before.Version != n.Version {
		b.archive.hurry()
	}

	k := wire.KindStreamsBegun
	if write {
		k = wire.KindStreamVersions
	}

	b.send(k, []pinner.Note{n})
}

// joinMargin is added to the time for which a version joins: a process may stand still for so long unnoticed.
const joinMargin = 500 * time.Millisecond

// Joining returns the versions of a group at which no stream should begin yet, if it can begin elsewhere: they have just appeared beside
// others. An instance that is cut off, or stands still, may not know of them. If its list counted as up to date, it would have such a
// stream go on at the only version that it knows. After FreshTime and a margin the list of no such instance does.
func (b *Binder) Joining(group string) []discoverer.Version {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.pinner.Joining(time.Now(), group, b.settings.FreshTime+joinMargin)
}

// Len returns the number of streams whose version is known.
func (b *Binder) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.pinner.Len()
}

// HandleVersions handles notes of another instance. A recorder writes them to the log.
func (b *Binder) HandleVersions(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	return nil, b.record(body, true)
}

// HandleBegun handles notes of another instance that are kept in memory.
func (b *Binder) HandleBegun(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	return nil, b.record(body, false)
}

// record records notes of another instance, and writes them if this one is a recorder and write is set.
func (b *Binder) record(body []byte, write bool) error {
	var w wire.StreamVersions
	if _, err := w.UnmarshalMsg(body); err != nil {
		return errors.Mark(err, ErrBinding)
	}

	n := time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	write = write && b.selectRecorders(n).Recording()

	for _, x := range w.Streams {
		o := noteOf(x)
		before, ok := b.pinner.Find(n, o.Stream)
		b.pinner.Record(n, o)

		if write {
			b.archive.add(n, o)
		}

		if write && ok && before.Version != o.Version {
			b.archive.hurry()
		}
	}

	return nil
}

// selectRecorders returns the present recorders. The mutex must be held.
func (b *Binder) selectRecorders(now time.Time) *pinner.Recorders {
	if b.recorders == nil || now.Sub(b.selectedAt) >= recordersTime {
		b.recorders, b.selectedAt = pinner.NewRecorders(b.members.Self(), b.members.Live()), now
	}

	return b.recorders
}

// tell sends each note to recorders of its stream, which write it to the log.
func (b *Binder) tell(l []pinner.Note) {
	b.send(wire.KindStreamVersions, l)
}

// send sends each note to recorders of its stream, in messages of a kind.
func (b *Binder) send(k wire.Kind, l []pinner.Note) {
	if len(l) == 0 {
		return
	}

	byRecorder := make(map[uint64]*wire.StreamVersions)
	members := make(map[uint64]gossiper.Member)
	now := time.Now()

	b.mu.Lock()
	r := b.selectRecorders(now)

	for _, n := range l {
		if k == wire.KindStreamVersions && r.Recording() {
			b.archive.add(now, n)
		}

		o, told := r.Of(n.Stream)
		for _, m := range o[:told] {
			if byRecorder[m.ID] == nil {
				byRecorder[m.ID], members[m.ID] = &wire.StreamVersions{}, m
			}

			w := byRecorder[m.ID]
			w.Streams = append(w.Streams, wire.StreamVersion{Stream: uint64(n.Stream), Version: uint64(n.Version), Attempt: attempt(n)})
		}
	}

	b.mu.Unlock()

	for id, w := range byRecorder {
		go b.sendTo(members[id], k, w)
	}
}

// attempt returns the attempt of a note for the wire.
func attempt(n pinner.Note) uint32 {
	return uint32(min(max(n.Attempt, 0), math.MaxInt32))
}

func (b *Binder) sendTo(m gossiper.Member, k wire.Kind, w *wire.StreamVersions) {
	c, stop := context.WithTimeout(context.Background(), sendTimeout)
	defer stop()

	err := b.messenger.Send(c, m.Address, k, w)
	if err == nil {
		return
	}

	logrus.WithFields(logrus.Fields{"event": "streamRecorderNotTold", "peer": m.Address, "error": err}).Debug()

	if k == wire.KindStreamVersions {
		b.archiveAll(w)
	}
}

// archiveAll has this instance write notes itself. The recorders may all have been killed, and nobody has noticed yet.
func (b *Binder) archiveAll(w *wire.StreamVersions) {
	n := time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	for _, x := range w.Streams {
		b.archive.add(n, noteOf(x))
	}
}

// noteOf returns a note from the wire.
func noteOf(x wire.StreamVersion) pinner.Note {
	return pinner.Note{Stream: pinner.Stream(x.Stream), Version: discoverer.Version(x.Version), Attempt: int(x.Attempt)}
}

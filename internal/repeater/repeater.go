// Package repeater lets instances read the platform's streams through each other:
// one instance of a data centre reads for all of it, and one that the platform
// turns away reads from others.
package repeater

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

var (
	// ErrPeer marks failures to read from other instances.
	ErrPeer = errors.New("no instance could tell")
	// errOld means that an instance answered with what is too old.
	errOld = errors.New("what the instance knows is old")
)

const (
	// readerStale is how old the knowledge of the instance that reads for a data
	// centre may be. Its reads wait for 700 ms; when they bring nothing for longer
	// it may be cut off without a sign of it, and the others read themselves.
	readerStale = 1100 * time.Millisecond
	// readerWait is how long that instance is asked to wait for a change.
	readerWait = 400 * time.Millisecond
	// otherStale is the same for an instance that is asked because the platform
	// turns this one away; it may itself read through another.
	otherStale = 2500 * time.Millisecond
	// peerTimeout bounds a call that does not wait; instances are a millisecond
	// apart.
	peerTimeout = 250 * time.Millisecond
	// peerSlack is how much later than it should an answer to one that waits is
	// given up.
	peerSlack = 250 * time.Millisecond
	// othersEvery is the pause between two rounds of asking others while the
	// platform turns this instance away; the platform is asked again in each, and
	// a refusal has a price too.
	othersEvery = 500 * time.Millisecond
	// othersAsked is how many others are asked at a time. Some may be cut off; of
	// three, one that is not answers within milliseconds.
	othersAsked = 3
	// skipFor is how long an instance that reads for the data centre is passed over
	// when what it knows is old. It is there, and may know better soon.
	skipFor = time.Second
	// settleIn is how long after its start an instance reads through a seed. By
	// then gossip has told it of the others.
	settleIn = 14 * time.Second
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
	started   time.Time
	streams   map[string]*Stream
}

// New returns a Repeater without streams.
func New(m Messenger, x Members, c Meter) *Repeater {
	return &Repeater{messenger: m, members: x, meter: c, started: time.Now(), streams: make(map[string]*Stream)}
}

// Stream adds a stream that is read from a source, or from other instances.
func (r *Repeater) Stream(name string, s watcher.Source) *Stream {
	x := &Stream{
		name: name, repeater: r, source: s, tape: newTape(), changed: make(chan struct{}),
	}
	r.streams[name] = x

	return x
}

// Answer answers an instance that reads from this one.
func (r *Repeater) Answer(c context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.StreamRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrPeer)
	}

	s, ok := r.streams[q.Stream]
	if !ok {
		return nil, ErrPeer
	}

	return s.answer(c, q)
}

// Stream is one stream as this instance knows it. It is safe for concurrent use.
type Stream struct {
	name     string
	repeater *Repeater
	source   watcher.Source

	mu      sync.Mutex
	tape    *tape
	changed chan struct{}
	// skipped is passed over as reader for a while since skippedAt.
	skipped   uint64
	skippedAt time.Time
	// reads was the last reader in the log, zero for this instance.
	reads netip.AddrPort
	noted bool
}

var _ watcher.Source = (*Stream)(nil)

// Heard returns when the platform last confirmed what is known of the stream.
func (s *Stream) Heard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.tape.heard
}

// Newest is part of watcher.Source.
func (s *Stream) Newest(c context.Context) ([]watcher.Record, int64, error) {
	l, n, err := s.source.Newest(c)
	s.count(sourcePlatform, err)

	if err == nil {
		s.reset(time.Now(), l, n)

		return l, n, nil
	}

	p, x := s.others(c, -1)
	if x != nil {
		return nil, 0, errors.CombineErrors(err, x)
	}

	s.reset(s.age(p), records(p), p.Next)

	return records(p), p.Next, nil
}

// Follow is part of watcher.Source. It reads from the one instance of the data
// centre that reads for all, unless that is this one; from the platform when that
// instance does not answer; and from any other when the platform does not.
func (s *Stream) Follow(c context.Context, from int64, wait time.Duration) ([]watcher.Record, int64, error) {
	h, ok := s.reader()
	s.note(h, ok)

	if ok {
		p, err := s.ask(c, h, from, min(wait, readerWait), readerStale)
		s.count(sourceReader, err)

		if err == nil {
			return s.take(p, from)
		}

		s.leave(h, err)

		// The time that was meant for waiting is gone; the platform still has to
		// be asked before changes are late.
		wait = 0
	}

	b := time.Now()
	l, n, err := s.source.Follow(c, from, wait)
	s.count(sourcePlatform, err)

	if err == nil {
		s.add(heard(b, wait, l), l, n)

		return l, n, nil
	}

	if errors.Is(err, watcher.ErrForgotten) {
		return nil, 0, err
	}

	p, e := s.others(c, from)
	if e != nil {
		return nil, 0, errors.CombineErrors(err, e)
	}

	// Taken at once: its age counts from when it came.
	l, n, err = s.take(p, from)
	if n <= from {
		pause(c, othersEvery)
	}

	return l, n, err
}

// leave passes an instance over that reads for the data centre. One that can't be
// reached is nobody's; one that answers with old knowledge may only have been
// turned away itself, and must not be taken for dead: in an outage of the platform
// that would be every instance.
func (s *Stream) leave(h gossiper.Member, err error) {
	if errors.Is(err, errOld) || h.ID == 0 {
		s.mu.Lock()
		s.skipped = h.ID
		s.skippedAt = time.Now()
		s.mu.Unlock()
	} else {
		s.repeater.members.Suspect(h.ID)
	}

	logrus.WithFields(logrus.Fields{"event": "readerLost", "stream": s.name, "peer": h.Address, "error": err}).Info()
}

func pause(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
	case <-c.Done():
	}
}

// heard returns when the platform said what a read brought that began at a time. A
// read that brought nothing was answered when it had waited long enough; the
// answer itself may have been held up since.
func heard(began time.Time, wait time.Duration, l []watcher.Record) time.Time {
	n := time.Now()
	if w := began.Add(wait); len(l) == 0 && w.Before(n) {
		return w
	}

	return n
}

// take turns what another instance said into records after an offset.
func (s *Stream) take(p *wire.StreamReply, from int64) ([]watcher.Record, int64, error) {
	if !p.Whole {
		s.add(s.age(p), records(p), max(p.Next, from))

		return records(p), max(p.Next, from), nil
	}

	if p.Next < from {
		return nil, from, nil
	}

	// Keys that are not among the records are gone: for the sink that is a
	// record without a value.
	l := records(p)

	k := make(map[string]bool, len(l))
	for _, r := range l {
		k[r.Key] = true
	}

	s.mu.Lock()

	for key, r := range s.tape.records {
		if !k[key] && len(r.Value) > 0 {
			l = append(l, watcher.Record{Key: key, Offset: p.Next - 1})
		}
	}

	s.mu.Unlock()
	s.add(s.age(p), l, p.Next)

	return l, p.Next, nil
}

// reader returns the instance that reads for this one's data centre, and false
// when this one reads itself.
func (s *Stream) reader() (gossiper.Member, bool) {
	m := s.repeater.members
	if time.Since(s.repeater.started) < settleIn {
		return s.seed()
	}

	h, ok := m.Home(hasher.Key("reader", s.name), []string{m.Self().DataCentre})

	if !ok || h.ID == m.Self().ID || h.DataCentre != m.Self().DataCentre {
		return h, false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return h, h.ID != s.skipped || time.Since(s.skippedAt) >= skipFor
}

// seed returns one of the seeds, and false when this instance is one or the last
// could not tell.
//
// An instance that has just started does not know those of its data centre. When
// many start at once each would read for itself until they know each other, at a
// price that is most of a calm day's.
func (s *Stream) seed() (gossiper.Member, bool) {
	m := s.repeater.members
	l := m.Seeds()

	s.mu.Lock()
	defer s.mu.Unlock()

	if len(l) == 0 || slices.Contains(l, m.Self().Address) || time.Since(s.skippedAt) < skipFor {
		return gossiper.Member{}, false
	}

	return gossiper.Member{Address: l[m.Self().ID%uint64(len(l))]}, true
}

// note logs when another instance becomes the one that reads, or this one does.
func (s *Stream) note(h gossiper.Member, other bool) {
	var a netip.AddrPort
	if other {
		a = h.Address
	}

	s.mu.Lock()
	same := s.noted && s.reads == a
	s.noted, s.reads = true, a
	s.mu.Unlock()

	if !same {
		logrus.WithFields(logrus.Fields{"event": "readerChosen", "stream": s.name, "self": !other, "peer": h.Address}).Info()
	}
}

// others asks a few other instances at once and returns the first answer with
// something new, else that of the one that heard of the platform last.
func (s *Stream) others(c context.Context, from int64) (*wire.StreamReply, error) {
	// A time of its own: that for the platform may have run out.
	x, stop := context.WithTimeout(context.WithoutCancel(c), peerTimeout)
	defer stop()

	l := s.some()
	o := make(chan *wire.StreamReply, len(l))

	for _, m := range l {
		go func() {
			p, err := s.ask(x, m, from, 0, otherStale)
			s.count(sourceOther, err)

			o <- p
		}()
	}

	var best *wire.StreamReply

	for range l {
		p := <-o
		if p != nil && p.Next > from {
			return p, nil
		}

		if p != nil && (best == nil || p.AgeMs < best.AgeMs) {
			best = p
		}
	}

	if best == nil {
		return nil, ErrPeer
	}

	return best, nil
}

// some returns a few random other instances.
func (s *Stream) some() []gossiper.Member {
	m := s.repeater.members
	l := slices.DeleteFunc(slices.Clone(m.Live()), func(x gossiper.Member) bool { return x.ID == m.Self().ID })

	rand.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })

	return l[:min(len(l), othersAsked)]
}

func (s *Stream) count(source string, err error) {
	s.repeater.meter.Read(s.name, source, err == nil)
}

// ask asks one instance, whose own knowledge may be so old.
func (s *Stream) ask(c context.Context, m gossiper.Member, from int64, wait, stale time.Duration) (*wire.StreamReply, error) {
	d := peerTimeout
	if wait > 0 {
		d = wait + peerSlack
	}

	x, stop := context.WithTimeout(c, d)
	defer stop()

	var p wire.StreamReply

	err := s.repeater.messenger.Call(x, m.Address, wire.KindStream,
		&wire.StreamRequest{Stream: s.name, From: from, WaitMs: uint32(wait.Milliseconds())}, &p) //nolint:gosec // A few seconds.
	if err != nil {
		return nil, errors.Mark(err, ErrPeer)
	}

	if time.Duration(p.AgeMs)*time.Millisecond > stale {
		return nil, errors.Mark(errors.Newf("%v has not heard of the platform for %d ms", m.Address, p.AgeMs), errOld)
	}

	return &p, nil
}

// answer tells another instance what it asks for, as soon as there is something.
func (s *Stream) answer(c context.Context, q wire.StreamRequest) (*wire.StreamReply, error) {
	t := time.NewTimer(time.Duration(q.WaitMs) * time.Millisecond)
	defer t.Stop()

	for {
		s.mu.Lock()
		n, w := s.tape.next, s.changed
		s.mu.Unlock()

		if n < 0 {
			return nil, ErrPeer
		}

		if n > q.From {
			return s.reply(q.From), nil
		}

		select {
		case <-w:
		case <-t.C:
			return s.reply(q.From), nil
		case <-c.Done():
			return nil, c.Err()
		}
	}
}

func (s *Stream) reply(from int64) *wire.StreamReply {
	s.mu.Lock()
	defer s.mu.Unlock()

	l, w := s.tape.since(from)
	p := &wire.StreamReply{
		Next: s.tape.next, Whole: w,
		AgeMs: uint32(min(time.Since(s.tape.heard), time.Hour).Milliseconds()), //nolint:gosec // An hour at most.
	}

	for _, r := range l {
		p.Records = append(p.Records, wire.StreamRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}

	return p
}

func (s *Stream) reset(heard time.Time, l []watcher.Record, next int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.tape.reset(heard, l, next)
	s.wake()
}

func (s *Stream) add(heard time.Time, l []watcher.Record, next int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if heard.Before(s.tape.heard) {
		heard = s.tape.heard
	}

	s.tape.add(heard, l, next)

	if len(l) > 0 {
		s.wake()
	}
}

// wake answers the instances that wait.
func (s *Stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// age returns when what an instance said was the platform's word.
func (s *Stream) age(p *wire.StreamReply) time.Time {
	return time.Now().Add(-time.Duration(p.AgeMs) * time.Millisecond)
}

func records(p *wire.StreamReply) []watcher.Record {
	o := make([]watcher.Record, 0, len(p.Records))
	for _, r := range p.Records {
		o = append(o, watcher.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}

	return o
}

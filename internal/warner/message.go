package warner

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrSuspects marks a message that can't be read.
var ErrSuspects = errors.New("the message on suspected calls is not valid")

// askTimeout bounds an asking: a peer of another region answers in some hundred milliseconds.
const askTimeout = 500 * time.Millisecond

// Messenger talks to other instances.
type Messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// Register makes the Warner answer other instances. It is called before the messenger serves.
func (w *Warner) Register(m *messenger.Messenger) {
	m.Handle(wire.KindSuspects, w.Told)
	m.Handle(wire.KindSuspectsRelay, w.Relayed)
	m.Handle(wire.KindSuspectsRequest, w.Asked)
	m.Handle(wire.KindTrial, w.Tried)
	m.Handle(wire.KindReleaseRequest, w.Release)
}

// Told takes what another instance tells.
func (w *Warner) Told(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var m wire.Suspects
	if _, err := m.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrSuspects)
	}

	w.learn(&m)

	return nil, nil //nolint:nilnil // It has no reply.
}

// Relayed takes what an instance of another data centre tells, and passes it on in the own
// one. What can't be read goes no further.
func (w *Warner) Relayed(c context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	if _, err := w.Told(c, from, body); err != nil {
		return nil, err
	}

	// The connection over which it came may end before all are told.
	w.spreader.Near(context.WithoutCancel(c), kinds, msgp.Raw(body))

	return nil, nil //nolint:nilnil // It has no reply.
}

// Asked answers with all that is known, unless the asker knows the same.
func (w *Warner) Asked(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.SuspectsRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrSuspects)
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if q.State == w.quarantiner.Fingerprint() {
		return &wire.Suspects{State: q.State, Informed: w.informed}, nil
	}

	return w.all(), nil
}

// all returns what every instance should know. The lock is held.
func (w *Warner) all() *wire.Suspects {
	m := encode(time.Now(), w.quarantiner.Records(mostTold))
	m.State, m.Informed = w.quarantiner.Fingerprint(), w.informed

	return m
}

// reply returns what the sender of an answer may lack: also what is known here of the calls that
// it named, which may have been served since.
func (w *Warner) reply(r *wire.Suspects) *wire.Suspects {
	w.mu.Lock()
	defer w.mu.Unlock()

	o := w.all()

	var l []digester.Digest

	for _, s := range r.Calls {
		l = append(l, digester.Digest(s.Call))
	}

	o.Calls = append(o.Calls, encode(time.Now(), w.quarantiner.RecordsOf(l)).Calls...)

	return o
}

// askOne asks another instance for all that it knows, tells it what it lacks, and returns when to
// ask the next one, and whether it answered. What is new is passed on in the own data centre, whose
// instances are likely to have missed it too.
func (w *Warner) askOne(c context.Context, m gossiper.Member) (next time.Duration, ok bool) {
	x, stop := context.WithTimeout(c, askTimeout)
	defer stop()

	w.mu.Lock()
	q := wire.SuspectsRequest{State: w.quarantiner.Fingerprint()}
	w.mu.Unlock()

	var r wire.Suspects
	if err := w.messenger.Call(x, m.Address, wire.KindSuspectsRequest, &q, &r); err != nil {
		logrus.WithFields(logrus.Fields{"event": "suspectsUnanswered", "peer": m.Address, "error": err}).Debug()

		return askEvery, false
	}

	next = askEvery

	if w.learn(&r) {
		w.spreader.Near(c, kinds, &r)
	} else if len(r.Calls) >= mostTold {
		// More is known than a message holds, and this one has told nothing new.
		next = askFullEvery
	}

	a := w.reply(&r)
	if a.State == r.State {
		return askEvery, true
	}

	if err := w.messenger.Send(x, m.Address, wire.KindSuspects, a); err != nil {
		logrus.WithFields(logrus.Fields{"event": "suspectsUntold", "peer": m.Address, "error": err}).Debug()
	}

	return next, true
}

// encode returns records as a message.
func encode(now time.Time, l []quarantiner.Record) *wire.Suspects {
	o := &wire.Suspects{}

	for _, r := range l {
		s := wire.Suspect{Call: uint64(r.Call), SeenMs: age(now, r.LastSeen)}
		for _, e := range r.Crashes {
			s.Ends = append(s.Ends, wire.SuspectEnd{Target: uint32(e.Process), AgeMs: age(now, e.At), Excused: e.Cleared, Known: e.ServedBefore})
		}

		o.Calls = append(o.Calls, s)
	}

	return o
}

// decode returns the records of a message.
func decode(now time.Time, m *wire.Suspects) []quarantiner.Record {
	var o []quarantiner.Record

	for _, s := range m.Calls {
		r := quarantiner.Record{Call: digester.Digest(s.Call), LastSeen: before(now, s.SeenMs)}
		for _, e := range s.Ends {
			r.Crashes = append(r.Crashes, quarantiner.Crash{Process: discoverer.Name(e.Target), At: before(now, e.AgeMs), Cleared: e.Excused, ServedBefore: e.Known})
		}

		o = append(o, r)
	}

	return o
}

func age(now, t time.Time) uint32 {
	return uint32(max(now.Sub(t).Milliseconds(), 0)) //nolint:gosec // Of what is kept for minutes.
}

func before(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

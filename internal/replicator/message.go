package replicator

import (
	"context"
	"math"
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

// ErrSuspects marks a message that cannot be decoded.
var ErrSuspects = errors.New("invalid message on suspected calls")

// syncTimeout bounds an exchange with a peer: one in another region answers within a few hundred
// milliseconds.
const syncTimeout = 500 * time.Millisecond

// Messenger exchanges messages with other instances.
type Messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// Register installs the handlers for requests and notifications of other instances. It must be called
// before the messenger serves.
func (r *Replicator) Register(m *messenger.Messenger) {
	m.Handle(wire.KindSuspects, r.HandleUpdate)
	m.Handle(wire.KindSuspectsRelay, r.HandleRelay)
	m.Handle(wire.KindSuspectsRequest, r.HandleRequest)
	m.Handle(wire.KindTrial, r.HandleTrial)
	m.Handle(wire.KindReleaseRequest, r.HandleRelease)
}

// HandleUpdate merges the records sent by another instance. It fails with ErrSuspects.
func (r *Replicator) HandleUpdate(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var m wire.Suspects
	if _, err := m.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrSuspects)
	}

	r.merge(&m)
	r.cancelVouches(&m)

	return nil, nil //nolint:nilnil // Without reply.
}

// HandleRelay merges the records sent by an instance of another data centre and forwards them to the
// instances of its own data centre. If the message cannot be decoded, it is not forwarded, and HandleRelay
// fails with ErrSuspects.
func (r *Replicator) HandleRelay(c context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	if _, err := r.HandleUpdate(c, from, body); err != nil {
		return nil, err
	}

	// The context ends with the connection on which the message arrived, which may close before all
	// instances are notified.
	r.broadcaster.Local(context.WithoutCancel(c), kinds, msgp.Raw(body))

	return nil, nil //nolint:nilnil // Without reply.
}

// HandleRequest answers with all records, or with none if the requester has the same state. It fails with
// ErrSuspects.
func (r *Replicator) HandleRequest(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.SuspectsRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrSuspects)
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if q.Fingerprint == r.quarantiner.Fingerprint() {
		return &wire.Suspects{Fingerprint: q.Fingerprint, Synced: r.synced}, nil
	}

	return r.snapshot(), nil
}

// snapshot returns the records that every instance should have. The caller holds the lock.
func (r *Replicator) snapshot() *wire.Suspects {
	m := encode(time.Now(), r.quarantiner.Records(maxRecords))
	m.Fingerprint, m.Synced = r.quarantiner.Fingerprint(), r.synced

	return m
}

// reply returns the records that the sender of the response m may lack. They include the records of the
// calls in m, since these calls may have been served after the sender recorded their crashes.
func (r *Replicator) reply(m *wire.Suspects) *wire.Suspects {
	r.mu.Lock()
	defer r.mu.Unlock()

	o := r.snapshot()

	var l []digester.Digest

	for _, s := range m.Calls {
		l = append(l, digester.Digest(s.Call))
	}

	o.Calls = append(o.Calls, encode(time.Now(), r.quarantiner.RecordsOf(l)).Calls...)

	return o
}

// syncWith requests all records of another instance, and sends that instance the records that it lacks.
// It returns the time until the next exchange and whether the instance answered. Records that were new to
// this instance are forwarded to the others of its data centre, which are likely to have missed them too.
func (r *Replicator) syncWith(c context.Context, m gossiper.Member) (nextDelay time.Duration, ok bool) {
	x, stop := context.WithTimeout(c, syncTimeout)
	defer stop()

	r.mu.Lock()
	q := wire.SuspectsRequest{Fingerprint: r.quarantiner.Fingerprint()}
	r.mu.Unlock()

	var p wire.Suspects
	if err := r.messenger.Call(x, m.Address, wire.KindSuspectsRequest, &q, &p); err != nil {
		logrus.WithFields(logrus.Fields{"event": "suspectsUnanswered", "peer": m.Address, "error": err}).Debug()

		return syncInterval, false
	}

	nextDelay = syncInterval

	if r.merge(&p) {
		r.broadcaster.Local(c, kinds, &p)
	} else if len(p.Calls) >= maxRecords {
		// There are more records than a message holds, and this response contained nothing new.
		nextDelay = fullSyncInterval
	}

	a := r.reply(&p)
	if a.Fingerprint == p.Fingerprint {
		return syncInterval, true
	}

	if err := r.messenger.Send(x, m.Address, wire.KindSuspects, a); err != nil {
		logrus.WithFields(logrus.Fields{"event": "suspectsUntold", "peer": m.Address, "error": err}).Debug()
	}

	return nextDelay, true
}

// encode converts records to a message, with ages instead of times because the clocks of instances differ.
func encode(now time.Time, l []quarantiner.Record) *wire.Suspects {
	o := &wire.Suspects{}

	for _, r := range l {
		s := wire.Suspect{Call: uint64(r.Subject), LastSeenMs: ageMs(now, r.LastSeen)}
		for _, e := range r.Crashes {
			s.Crashes = append(s.Crashes, wire.SuspectCrash{Target: uint32(e.Process), AgeMs: ageMs(now, e.At), Cleared: e.Cleared, ServedBefore: e.ServedBefore})
		}

		o.Calls = append(o.Calls, s)
	}

	return o
}

// decode is the inverse of encode; it subtracts the ages from the present time.
func decode(now time.Time, m *wire.Suspects) []quarantiner.Record {
	var o []quarantiner.Record

	for _, s := range m.Calls {
		r := quarantiner.Record{Subject: digester.Digest(s.Call), LastSeen: timeAtAge(now, s.LastSeenMs)}
		for _, e := range s.Crashes {
			r.Crashes = append(r.Crashes, quarantiner.Crash{Process: discoverer.Name(e.Target), At: timeAtAge(now, e.AgeMs), Cleared: e.Cleared, ServedBefore: e.ServedBefore})
		}

		o = append(o, r)
	}

	return o
}

// ageMs returns the age of a time in milliseconds, from zero to the longest age that a message holds, which is 49 days.
func ageMs(now, t time.Time) uint32 {
	return uint32(min(max(now.Sub(t).Milliseconds(), 0), math.MaxUint32))
}

// addAges returns the sum of two ages, at most the longest that a message holds.
func addAges(a, b uint32) uint32 {
	return a + min(b, math.MaxUint32-a)
}

// timeAtAge is the inverse of ageMs.
func timeAtAge(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

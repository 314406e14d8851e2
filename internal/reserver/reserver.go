// Package reserver asks the homes of targets for room for calls, and answers other instances
// for the targets whose home this one is.
//
// The home of a target is an instance of the target's own data centre, the first by
// rendezvous: whoever is cut off from the home is cut off from the target too, and needs
// no room there. Nothing is agreed on and nothing is lost with a home. The next one counts
// anew, and targets' own words make good what it does not know.
package reserver

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/tallier"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrReservation marks a message that can't be read.
var ErrReservation = errors.New("the reservation is not valid")

const (
	// leastInstances is from how many instances on homes are asked. With fewer, what they
	// tell each other of loads is younger than a call is long: 16 ms for each of them.
	leastInstances = 16
	// askTimeout is how long a home may take. In a region an answer takes a millisecond or
	// two, and a call should begin within some hundred.
	askTimeout = 30 * time.Millisecond
	// silentFor is how long a home that gave no answer is not asked. Its targets are chosen
	// by what is known here, as they are where there is no home.
	silentFor = time.Second
	// sendTimeout bounds a message that has no answer.
	sendTimeout = 300 * time.Millisecond
)

// Messenger talks to other instances.
type Messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// Members knows the other instances.
type Members interface {
	Live() []gossiper.Member
	Home(key uint64, centres []string) (gossiper.Member, bool)
	Self() gossiper.Member
}

// Reserver asks and answers. It is safe for concurrent use.
type Reserver struct {
	messenger Messenger
	members   Members

	mu      sync.Mutex
	tallier *tallier.Tallier
	number  uint64
	// silent is when a home gave no answer, by its ID.
	silent map[uint64]time.Time
}

// New returns a Reserver that knows of no call.
func New(m Messenger, x Members) *Reserver {
	return &Reserver{messenger: m, members: x, tallier: tallier.New(), silent: make(map[uint64]time.Time)}
}

// Reserve asks for room for a call that is over within a time, at a target that may have so
// many calls with it. The function that it returns ends the reservation; it does not wait,
// and may be called whatever the outcome was.
func (r *Reserver) Reserve(c context.Context, t *enroller.Target, most int, within time.Duration) (tallier.Verdict, func()) {
	h, ok := r.home(t)
	if !ok {
		return tallier.Verdict{}, func() {}
	}

	q := wire.Reserve{
		Target: uint32(t.Key().Name()), Number: r.next(), Most: uint32(max(most, 0)), WithinMs: uint32(max(within, 0).Milliseconds()), //nolint:gosec // Small.
	}

	if s := r.members.Self(); h.ID == s.ID {
		return r.count(s.ID, q), func() { r.vacate(s.ID, wire.Vacate{Target: q.Target, Number: q.Number}) }
	}

	v := r.ask(c, h, q)
	if v.Outcome == tallier.Full {
		return v, func() {}
	}

	// Without an answer it may be counted all the same.
	return v, func() { r.send(h, wire.KindVacate, &wire.Vacate{Target: q.Target, Number: q.Number}) }
}

// Report tells the home of a target how many calls that said it has.
func (r *Reserver) Report(t *enroller.Target, calls int) {
	h, ok := r.home(t)
	if !ok {
		return
	}

	o := wire.Occupancy{Target: uint32(t.Key().Name()), Calls: uint32(max(calls, 0))} //nolint:gosec // Small.

	if h.ID == r.members.Self().ID {
		r.occupy(o)

		return
	}

	r.send(h, wire.KindOccupancy, &o)
}

// Forget takes a list of targets that has changed, and drops the counts of those that are
// not on it.
func (r *Reserver) Forget(l *enroller.Roster) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.tallier.Keep(func(n enroller.Name) bool { return l.Names[n] != nil })
}

// Reserved answers another instance that asks for room.
func (r *Reserver) Reserved(_ context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.Reserve
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrReservation)
	}

	v := r.count(from, q)

	return &wire.Room{Granted: v.Outcome == tallier.Granted, Calls: uint32(v.Calls)}, nil //nolint:gosec // Small.
}

// Vacated takes the end of another instance's reservation.
func (r *Reserver) Vacated(_ context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Vacate
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrReservation)
	}

	r.vacate(from, w)

	return nil, nil //nolint:nilnil // It has no reply.
}

// Occupied takes another instance's word on what a target said of its load.
func (r *Reserver) Occupied(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Occupancy
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrReservation)
	}

	r.occupy(w)

	return nil, nil //nolint:nilnil // It has no reply.
}

// home returns the instance that counts a target's calls, and false when there is none to ask.
func (r *Reserver) home(t *enroller.Target) (gossiper.Member, bool) {
	if len(r.members.Live()) < leastInstances {
		return gossiper.Member{}, false
	}

	h, ok := r.members.Home(hasher.Mix(hasher.Key("home"), t.Rank()), []string{t.DataCentre})
	if !ok || h.DataCentre != t.DataCentre {
		return h, false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	s, ok := r.silent[h.ID]

	return h, !ok || time.Since(s) >= silentFor
}

// next returns a number that no reservation of this process had.
func (r *Reserver) next() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.number++

	return r.number
}

// ask asks a home. One that gives no answer in time is not asked again for a while: an
// instance that stands still takes connections, and each call for one of its targets would
// wait for it.
func (r *Reserver) ask(c context.Context, h gossiper.Member, q wire.Reserve) tallier.Verdict {
	type reply struct {
		room wire.Room
		err  error
	}

	x, stop := context.WithTimeout(c, askTimeout)
	defer stop()

	// Another message that waits for a connection to the same instance would hold this
	// one up for longer than its own time.
	l := make(chan reply, 1)

	go func() {
		var o reply

		o.err = r.messenger.Call(x, h.Address, wire.KindReserve, &q, &o.room)
		l <- o
	}()

	o := reply{err: context.DeadlineExceeded}

	select {
	case o = <-l:
	case <-x.Done():
	}

	switch {
	case c.Err() != nil:
		return tallier.Verdict{} // The caller left; it says nothing of the home.
	case o.err != nil:
		r.noteSilent(h, o.err)

		return tallier.Verdict{}
	case o.room.Granted:
		return tallier.Verdict{Outcome: tallier.Granted, Calls: int(o.room.Calls)}
	default:
		return tallier.Verdict{Outcome: tallier.Full, Calls: int(o.room.Calls)}
	}
}

// noteSilent notes that a home gave no answer, and forgets those of long ago.
func (r *Reserver) noteSilent(h gossiper.Member, err error) {
	n := time.Now()

	r.mu.Lock()

	for id, s := range r.silent {
		if n.Sub(s) >= silentFor {
			delete(r.silent, id)
		}
	}

	r.silent[h.ID] = n
	r.mu.Unlock()

	logrus.WithFields(logrus.Fields{"event": "homeSilent", "peer": h.Address, "error": err}).Info()
}

// count counts a call at a target whose home this instance is.
func (r *Reserver) count(from uint64, q wire.Reserve) tallier.Verdict {
	n := time.Now()

	r.mu.Lock()
	defer r.mu.Unlock()

	return r.tallier.Reserve(n, tallier.Request{
		ID: tallier.ID{Instance: from, Number: q.Number}, Target: enroller.Name(q.Target), Most: int(q.Most),
		Until: n.Add(time.Duration(q.WithinMs) * time.Millisecond),
	})
}

func (r *Reserver) vacate(from uint64, w wire.Vacate) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.tallier.Release(enroller.Name(w.Target), tallier.ID{Instance: from, Number: w.Number})
}

func (r *Reserver) occupy(w wire.Occupancy) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.tallier.Report(time.Now(), enroller.Name(w.Target), int(w.Calls))
}

// send sends a message in the background. One that is lost is made good by the time after
// which a reservation ends, and by the next word of the target.
func (r *Reserver) send(h gossiper.Member, k wire.Kind, m msgp.Marshaler) {
	go func() {
		c, stop := context.WithTimeout(context.Background(), sendTimeout)
		defer stop()

		if err := r.messenger.Send(c, h.Address, k, m); err != nil {
			logrus.WithFields(logrus.Fields{"event": "vacateFailed", "peer": h.Address, "error": err}).Debug()
		}
	}()
}

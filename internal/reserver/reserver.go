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
	"math"
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
	// whole is a part of one in hundredths.
	whole = 100
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

// Release ends a reservation, with what the call showed of its target and how long the answer
// took to begin, as a part of the time within which it is of full use; zero when it did not. It
// does not wait, and may be called whatever the outcome was.
type Release func(s tallier.Sign, pace float64)

// Reserve asks for room for a call at a target. Of the request it sets the ID and the Target.
func (r *Reserver) Reserve(c context.Context, t *enroller.Target, q tallier.Request) (tallier.Verdict, Release) {
	h, ok := r.home(t)
	if !ok {
		return tallier.Verdict{}, func(tallier.Sign, float64) {}
	}

	q.ID = tallier.ID{Instance: r.members.Self().ID, Number: r.next()}
	q.Target = t.Key().Name()

	if h.ID == q.ID.Instance {
		return r.count(q), func(s tallier.Sign, pace float64) { r.release(q.Target, q.ID, s, pace) }
	}

	v := r.ask(c, h, q)
	if v.Outcome == tallier.Full || v.Outcome == tallier.Left {
		return v, func(tallier.Sign, float64) {}
	}

	// Without an answer it may be counted all the same.
	return v, func(s tallier.Sign, pace float64) {
		r.send(h, wire.KindVacate, &wire.Vacate{Target: uint32(q.Target), Number: q.ID.Number, Sign: uint8(s), Pace: hundredths(pace)})
	}
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

	v := r.count(tallier.Request{
		ID: tallier.ID{Instance: from, Number: q.Number}, Target: enroller.Name(q.Target), Most: int(q.Most),
		Until: time.Now().Add(time.Duration(q.WithinMs) * time.Millisecond), Usual: part(q.Usual), Anyway: q.Anyway,
	})

	return &wire.Room{Outcome: uint8(v.Outcome), Calls: uint32(v.Calls), Pace: hundredths(v.Pace)}, nil //nolint:gosec // Small.
}

// Vacated takes the end of another instance's reservation.
func (r *Reserver) Vacated(_ context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Vacate
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrReservation)
	}

	r.release(enroller.Name(w.Target), tallier.ID{Instance: from, Number: w.Number}, tallier.Sign(w.Sign), part(w.Pace))

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
func (r *Reserver) ask(c context.Context, h gossiper.Member, q tallier.Request) tallier.Verdict {
	type reply struct {
		room wire.Room
		err  error
	}

	x, stop := context.WithTimeout(c, askTimeout)
	defer stop()

	w := wire.Reserve{
		Target: uint32(q.Target), Number: q.ID.Number, Most: uint32(max(q.Most, 0)), //nolint:gosec // Small.
		WithinMs: uint32(max(time.Until(q.Until), 0).Milliseconds()), Usual: hundredths(q.Usual), Anyway: q.Anyway, //nolint:gosec // Small.
	}

	// Another message that waits for a connection to the same instance would hold this
	// one up for longer than its own time.
	l := make(chan reply, 1)

	go func() {
		var o reply

		o.err = r.messenger.Call(x, h.Address, wire.KindReserve, &w, &o.room)
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
	default:
		return tallier.Verdict{Outcome: tallier.Outcome(o.room.Outcome), Calls: int(o.room.Calls), Pace: part(o.room.Pace)}
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
func (r *Reserver) count(q tallier.Request) tallier.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.tallier.Reserve(time.Now(), q)
}

func (r *Reserver) release(n enroller.Name, id tallier.ID, s tallier.Sign, pace float64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.tallier.Release(time.Now(), n, id, s, pace)
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
			logrus.WithFields(logrus.Fields{"event": "homeNotTold", "peer": h.Address, "error": err}).Debug()
		}
	}()
}

// hundredths returns a part as it is sent.
func hundredths(part float64) uint32 {
	return uint32(min(max(part, 0)*whole, math.MaxUint32))
}

// part returns what was sent as hundredths.
func part(hundredths uint32) float64 {
	return float64(hundredths) / whole
}

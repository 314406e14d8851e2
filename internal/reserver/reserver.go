// Package reserver reserves slots for calls at the homes of targets, and handles the reservations of
// other instances for the targets whose home this instance is.
//
// The home of a target (as in home node) is the one instance that counts the calls at the target: the
// first by rendezvous hashing among the instances in the target's data centre. An instance that is
// partitioned from the home is also partitioned from the target, and needs no slot at it. Homes need no
// consensus and keep no durable state. After a failure the next home starts with empty counts, and the
// load reports of targets supply the missing counts.
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

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrReservation marks errors of messages that can't be decoded.
var ErrReservation = errors.New("invalid reservation message")

const (
	// minInstances is the minimum number of live instances for slots to be reserved, unless a request is for an exact
	// count. With fewer instances, the load updates between them are recent enough: each instance sends one every 16 ms
	// times the number of instances, which is less than the duration of a call.
	minInstances = 16
	// reserveTimeout bounds a request to a home. Within a region a reply takes one or two
	// milliseconds, and a call should begin within a few hundred.
	reserveTimeout = 30 * time.Millisecond
	// homeBackoff is how long a home that did not reply gets no further requests. Meanwhile its targets
	// are chosen by local information, as without a home.
	homeBackoff = time.Second
	// sendTimeout bounds the sending of a message without a reply.
	sendTimeout = 300 * time.Millisecond
	// fractionUnits is the number on the wire that represents 1: fractions are sent in hundredths.
	fractionUnits = 100
)

// Messenger sends messages to other instances. Call waits for the reply, Send does not.
type Messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// Members returns the live instances, the home of a key among the live instances of the given data
// centres, and this instance itself.
type Members interface {
	Live() []gossiper.Member
	Home(key uint64, centres []string) (gossiper.Member, bool)
	Self() gossiper.Member
}

// Reserver reserves slots and handles reservations. It is safe for concurrent use.
type Reserver struct {
	messenger Messenger
	members   Members

	mu         sync.Mutex
	aggregator *aggregator.Aggregator
	lastNumber uint64
	// silentSince is the time of the last request without a reply, by the ID of the home.
	silentSince map[uint64]time.Time
}

// New returns a Reserver without reservations.
func New(m Messenger, x Members) *Reserver {
	return &Reserver{messenger: m, members: x, aggregator: aggregator.New(), silentSince: make(map[uint64]time.Time)}
}

// Release ends a reservation with the result of the call and its latency, see evaluator.Evaluator; a
// latency of zero is unknown. It does not block, and may be called whatever the outcome of the
// reservation was.
type Release func(s aggregator.Result, latency float64)

// Reserve requests a slot for a call at a target. It sets the ID and the Target of the request. The
// outcome is Unanswered if the target has no home or its home does not reply.
func (r *Reserver) Reserve(c context.Context, t *discoverer.Target, q aggregator.Request) (aggregator.Verdict, Release) {
	h, ok := r.home(t, q.Exact)
	if !ok {
		return aggregator.Verdict{}, func(aggregator.Result, float64) {}
	}

	q.ID = aggregator.ID{Instance: r.members.Self().ID, Number: r.nextNumber()}
	q.Target = t.Key().Name()

	if h.ID == q.ID.Instance {
		return r.reserve(q), func(s aggregator.Result, latency float64) { r.release(q.Target, q.ID, s, latency) }
	}

	v := r.request(c, h, q)
	if v.Outcome == aggregator.Full || v.Outcome == aggregator.Excluded {
		return v, func(aggregator.Result, float64) {}
	}

	// Without a reply, the home may have counted the call nevertheless.
	return v, func(s aggregator.Result, latency float64) {
		r.send(h, wire.KindVacate, &wire.Vacate{Target: uint32(q.Target), Number: q.ID.Number, Result: uint8(s), Latency: hundredths(latency)})
	}
}

// Report sends the number of calls that a target reported to the target's home, which has granted a slot there.
func (r *Reserver) Report(t *discoverer.Target, calls int) {
	h, ok := r.home(t, true)
	if !ok {
		return
	}

	o := wire.Occupancy{Target: uint32(t.Key().Name()), Calls: uint32(max(calls, 0))} //nolint:gosec // The number of calls fits in 32 bits.

	if h.ID == r.members.Self().ID {
		r.reportLoad(o)

		return
	}

	r.send(h, wire.KindOccupancy, &o)
}

// Prune drops the counts of the targets that are not in a changed registry.
func (r *Reserver) Prune(l *discoverer.Registry) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.aggregator.Retain(func(n discoverer.Name) bool { return l.Names[n] != nil })
}

// HandleReserve handles a request of another instance for a slot.
func (r *Reserver) HandleReserve(_ context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.Reserve
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrReservation)
	}

	v := r.reserve(aggregator.Request{
		ID: aggregator.ID{Instance: from, Number: q.Number}, Target: discoverer.Name(q.Target), MaxCalls: int(q.MaxCalls),
		Deadline: time.Now().Add(time.Duration(q.LifetimeMs) * time.Millisecond), MedianLatency: fraction(q.MedianLatency), AllowExcluded: q.AllowExcluded,
	})

	return &wire.ReserveReply{Outcome: uint8(v.Outcome), Calls: uint32(v.Calls), Latency: hundredths(v.Latency)}, nil //nolint:gosec // The number of calls fits in 32 bits.
}

// HandleVacate handles the release of another instance's reservation.
func (r *Reserver) HandleVacate(_ context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Vacate
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrReservation)
	}

	r.release(discoverer.Name(w.Target), aggregator.ID{Instance: from, Number: w.Number}, aggregator.Result(w.Result), fraction(w.Latency))

	return nil, nil //nolint:nilnil // It has no reply.
}

// HandleOccupancy handles a target's load report that another instance received.
func (r *Reserver) HandleOccupancy(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Occupancy
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrReservation)
	}

	r.reportLoad(w)

	return nil, nil //nolint:nilnil // It has no reply.
}

// home returns the instance that counts a target's calls, and false if there is none or it is in backoff. A small fleet has homes
// for exact counts only.
func (r *Reserver) home(t *discoverer.Target, exact bool) (gossiper.Member, bool) {
	if !exact && len(r.members.Live()) < minInstances {
		return gossiper.Member{}, false
	}

	h, ok := r.members.Home(hasher.Mix(hasher.Key("home"), t.Rank()), []string{t.DataCentre})
	if !ok || h.DataCentre != t.DataCentre {
		return h, false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	s, ok := r.silentSince[h.ID]

	return h, !ok || time.Since(s) >= homeBackoff
}

// nextNumber returns a number that is unique among the reservations of this process.
func (r *Reserver) nextNumber() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.lastNumber++

	return r.lastNumber
}

// request requests a slot from a home. A home that does not reply in time gets no further requests for
// homeBackoff: a stalled instance still accepts connections, and each call for one of its targets would
// wait for the time-out.
func (r *Reserver) request(c context.Context, h gossiper.Member, q aggregator.Request) aggregator.Verdict {
	type reply struct {
		message wire.ReserveReply
		err     error
	}

	x, stop := context.WithTimeout(c, reserveTimeout)
	defer stop()

	w := wire.Reserve{
		Target: uint32(q.Target), Number: q.ID.Number, MaxCalls: uint32(max(q.MaxCalls, 0)), //nolint:gosec // The limit on calls fits in 32 bits.
		LifetimeMs: uint32(max(time.Until(q.Deadline), 0).Milliseconds()), MedianLatency: hundredths(q.MedianLatency), AllowExcluded: q.AllowExcluded, //nolint:gosec // The lifetime in milliseconds fits in 32 bits.
	}

	// The call runs in a goroutine, since it may block beyond its time-out while another message waits
	// for a connection to the same instance.
	l := make(chan reply, 1)

	go func() {
		var o reply

		o.err = r.messenger.Call(x, h.Address, wire.KindReserve, &w, &o.message)
		l <- o
	}()

	o := reply{err: context.DeadlineExceeded}

	select {
	case o = <-l:
	case <-x.Done():
	}

	switch {
	case c.Err() != nil:
		return aggregator.Verdict{} // The caller disconnected, which is no evidence on the home.
	case o.err != nil:
		r.markSilent(h, o.err)

		return aggregator.Verdict{}
	default:
		return aggregator.Verdict{Outcome: aggregator.Outcome(o.message.Outcome), Calls: int(o.message.Calls), Latency: fraction(o.message.Latency)}
	}
}

// markSilent records that a home did not reply, and drops expired records.
func (r *Reserver) markSilent(h gossiper.Member, err error) {
	n := time.Now()

	r.mu.Lock()

	for id, s := range r.silentSince {
		if n.Sub(s) >= homeBackoff {
			delete(r.silentSince, id)
		}
	}

	r.silentSince[h.ID] = n
	r.mu.Unlock()

	logrus.WithFields(logrus.Fields{"event": "homeSilent", "peer": h.Address, "error": err}).Info()
}

// reserve handles a request for a slot at a target whose home this instance is.
func (r *Reserver) reserve(q aggregator.Request) aggregator.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.aggregator.Reserve(time.Now(), q)
}

func (r *Reserver) release(n discoverer.Name, id aggregator.ID, s aggregator.Result, latency float64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.aggregator.Release(time.Now(), n, id, s, latency)
}

func (r *Reserver) reportLoad(w wire.Occupancy) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.aggregator.Report(time.Now(), discoverer.Name(w.Target), int(w.Calls))
}

// send sends a message in the background. A lost release is repaired by the deadline of the reservation,
// and a lost load report by the next one.
func (r *Reserver) send(h gossiper.Member, k wire.Kind, m msgp.Marshaler) {
	go func() {
		c, stop := context.WithTimeout(context.Background(), sendTimeout)
		defer stop()

		if err := r.messenger.Send(c, h.Address, k, m); err != nil {
			logrus.WithFields(logrus.Fields{"event": "homeNotTold", "peer": h.Address, "error": err}).Debug()
		}
	}()
}

// hundredths encodes a fraction for the wire.
func hundredths(fraction float64) uint32 {
	return uint32(min(max(fraction, 0)*fractionUnits, math.MaxUint32))
}

// fraction decodes a number of hundredths from the wire.
func fraction(hundredths uint32) float64 {
	return float64(hundredths) / fractionUnits
}

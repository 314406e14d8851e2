// Package registrar claims calls that may not be repeated, and records how they
// ended, through streams in the platform's log.
package registrar

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/claimer"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/streamer"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// partitions is the number of claims streams.
	partitions = 64
	// lifetimeMargin is how long after the deadline of a call its answer may
	// still be recorded before others are told that it is unknown.
	lifetimeMargin = 5 * time.Second
	// callTimeout is how long a home may take for one append and its read.
	callTimeout = 5 * time.Second
	// releaseTries and releasePause are how a claim that was not sent is
	// released while the log can't be reached.
	releaseTries = 20
	releasePause = 500 * time.Millisecond
	// settleRoom is how much of an answer is recorded, in bytes.
	settleRoom = 4 << 10
	retryPause = 300 * time.Millisecond
)

// peers calls other routers.
type peers interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
}

// members says which routers are live.
type members interface {
	Home(key uint64, centres []string) (gossiper.Member, bool)
	Suspect(id uint64)
	Self() gossiper.Member
}

// pauses knows when this process stood still.
type pauses interface {
	Stalled(since time.Time) bool
}

// Claim is one call's claim on its idempotency key.
type Claim struct {
	Key  uint64
	Body uint64
	ID   uint64
	// Within is how long the call may take.
	Within time.Duration
}

// Standing is how a claim stands.
type Standing struct {
	Outcome    claimer.Outcome
	Answer     claimer.Answer
	RetryAfter time.Duration
}

// Registrar claims and settles keys. It is safe for concurrent use.
type Registrar struct {
	peers      peers
	members    members
	pauses     pauses
	partitions [partitions]*partition
}

// New returns a Registrar that has read nothing. A key is remembered for the
// window after its claim.
func New(l streamer.Log, p peers, m members, x pauses, window time.Duration) *Registrar {
	r := &Registrar{peers: p, members: m, pauses: x}

	for i := range r.partitions {
		r.partitions[i] = newPartition(l, fmt.Sprintf("claims-%02d", i), window)
	}

	return r
}

// Register makes the Registrar answer peers.
func (r *Registrar) Register(m interface {
	Handle(k wire.Kind, h messenger.Handler)
},
) {
	m.Handle(wire.KindClaim, r.onClaim)
	m.Handle(wire.KindSettle, r.onSettle)
}

// Claim claims a key and says how it stands: only with Won may the call be
// sent. It asks the home of the key's partition, which reads only its own
// partitions; when that can't be asked, it claims from here with the same ID,
// which is the same claim. It fails with ErrNotClaimed when the log can't be
// reached; the call is then not run.
func (r *Registrar) Claim(c context.Context, q Claim) (Standing, error) {
	s, err := r.ask(c, q)
	if err != nil {
		// Only the router that would send may release the claim. If the home
		// did, while this router claims with the same ID from here and wins,
		// the key would be free while the call runs, and a retry would run it
		// again.
		go func() { _ = r.Settle(context.WithoutCancel(c), q, claimer.NotRun, claimer.Answer{}) }()
	}

	return s, err
}

// ask claims at the key's home, or from here when that can't be asked.
func (r *Registrar) ask(c context.Context, q Claim) (Standing, error) {
	h, ok := r.members.Home(q.Key%partitions, nil)
	if !ok || h.ID == r.members.Self().ID {
		return r.claim(c, q)
	}

	w := wire.Claim{Key: q.Key, Body: q.Body, ID: q.ID, DeadlineMs: q.Within.Milliseconds()}

	x, stop := context.WithTimeout(c, callTimeout)
	defer stop()

	b := time.Now()

	var a wire.ClaimReply
	if err := r.peers.Call(x, h.Address, wire.KindClaim, &w, &a); err != nil {
		// A time that ran out while this process stood still says nothing of the
		// home. Passed over for it, the home of all keys of its partitions moves for
		// some seconds, and each claim meanwhile reads the partition again elsewhere.
		if !errors.Is(err, messenger.ErrRefused) && (!detector.TimedOut(err) || !r.pauses.Stalled(b)) {
			r.members.Suspect(h.ID)
		}

		return r.claim(c, q)
	}

	return Standing{
		Outcome:    claimer.Outcome(a.State),
		Answer:     claimer.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Answer, Truncated: a.Truncated},
		RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond,
	}, nil
}

// Settle records how a claimed call ended: Ran with its answer, Unknown, or
// NotRun to release the key. It returns once the record is in the log, or gives
// up after about ten seconds, when the key stays claimed and turns unknown.
func (r *Registrar) Settle(c context.Context, q Claim, o claimer.Outcome, a claimer.Answer) error {
	if len(a.Body) > settleRoom {
		a.Body = nil
		a.Truncated = true
	}

	w := wire.Settle{
		Key: q.Key, ID: q.ID, State: uint8(o), Status: a.Status,
		ContentType: a.ContentType, Answer: a.Body, Truncated: a.Truncated,
	}

	var err error

	for range releaseTries {
		if err = r.settleOnce(c, w); err == nil {
			return nil
		}

		t := time.NewTimer(releasePause)
		select {
		case <-t.C:
		case <-c.Done():
			t.Stop()

			return errors.Mark(c.Err(), ErrNotClaimed)
		}
	}

	logrus.WithFields(logrus.Fields{"event": "settleFailed", "claim": q.ID, "outcome": o, "error": err}).Error()

	return errors.Mark(err, ErrNotClaimed)
}

func (r *Registrar) settleOnce(c context.Context, w wire.Settle) error {
	h, ok := r.members.Home(w.Key%partitions, nil)
	if ok && h.ID != r.members.Self().ID {
		x, stop := context.WithTimeout(c, callTimeout)
		defer stop()

		var a wire.SettleReply
		if err := r.peers.Call(x, h.Address, wire.KindSettle, &w, &a); err == nil && a.Recorded {
			return nil
		}
	}

	return r.settle(c, w)
}

// claim claims from here.
func (r *Registrar) claim(c context.Context, q Claim) (Standing, error) {
	p := r.partitions[q.Key%partitions]

	// A key that is known costs no append: its answer is replayed also while
	// the log takes none.
	if o, a, d := p.look(q.Key, q.ID, q.Body); o != claimer.Unclaimed {
		if o != claimer.InProgress || p.CatchUp(c, 0) != nil {
			return Standing{Outcome: o, Answer: a, RetryAfter: d}, nil
		}

		if o, a, d = p.look(q.Key, q.ID, q.Body); o != claimer.Unclaimed {
			return Standing{Outcome: o, Answer: a, RetryAfter: d}, nil
		}
	}

	n, err := p.append(c, claimer.Record{Key: q.Key, ID: q.ID, Body: q.Body, Lifetime: q.Within + lifetimeMargin})
	if errors.Is(err, recorder.ErrUncertain) {
		// The reply was lost; whether the append took effect only the stream
		// can tell. Guessing "no" and appending again would be harmless here,
		// guessing "yes" would send without a claim.
		n, err = 0, nil
	}

	if err == nil {
		err = p.CatchUp(c, n)
	}

	if err != nil {
		return Standing{}, errors.Mark(err, ErrNotClaimed)
	}

	o, a, d := p.look(q.Key, q.ID, q.Body)
	if o == claimer.Unclaimed {
		return Standing{}, ErrNotClaimed
	}

	return Standing{Outcome: o, Answer: a, RetryAfter: max(d, retryPause)}, nil
}

func (r *Registrar) settle(c context.Context, w wire.Settle) error {
	x := claimer.Record{Key: w.Key, ID: w.ID, Settled: claimer.Outcome(w.State)}
	if x.Settled == claimer.Ran {
		x.Answer = &claimer.Answer{Status: w.Status, ContentType: w.ContentType, Body: w.Answer, Truncated: w.Truncated}
	}

	// Settling twice is harmless, so an uncertain append is simply repeated.
	_, err := r.partitions[w.Key%partitions].append(c, x)

	return err
}

func (r *Registrar) onClaim(c context.Context, _ uint64, b []byte) (msgp.Marshaler, error) {
	var w wire.Claim
	if _, err := w.UnmarshalMsg(b); err != nil {
		return nil, errors.Mark(err, ErrMessage)
	}

	s, err := r.claim(c, Claim{
		Key: w.Key, Body: w.Body, ID: w.ID, Within: time.Duration(w.DeadlineMs) * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}

	return &wire.ClaimReply{
		State: uint8(s.Outcome), Status: s.Answer.Status, ContentType: s.Answer.ContentType,
		Answer: s.Answer.Body, Truncated: s.Answer.Truncated,
		RetryAfterMs: uint32(s.RetryAfter.Milliseconds()), //nolint:gosec // Bounded by a deadline.
	}, nil
}

func (r *Registrar) onSettle(c context.Context, _ uint64, b []byte) (msgp.Marshaler, error) {
	var w wire.Settle
	if _, err := w.UnmarshalMsg(b); err != nil {
		return nil, errors.Mark(err, ErrMessage)
	}

	return &wire.SettleReply{Recorded: r.settle(c, w) == nil}, nil
}

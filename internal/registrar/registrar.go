// Package registrar claims idempotency keys of calls that must not be repeated, and records
// the results of these calls, in streams of the platform's log.
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
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/streamer"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// partitionCount is the number of claims streams.
	partitionCount = 64
	// answerMargin is how long after a call's deadline its answer may still be recorded before
	// repeats receive the outcome Unknown.
	answerMargin = 5 * time.Second
	// homeTimeout is how long a home (home node) may take for one append and its read.
	homeTimeout = 5 * time.Second
	// settleAttempts and settleRetryInterval bound the attempts at a settlement while the log can't be
	// reached.
	settleAttempts      = 20
	settleRetryInterval = 500 * time.Millisecond
	// maxRecordedBody is the longest body that is recorded with an answer, in bytes.
	maxRecordedBody = 4 << 10
	// minRetryAfter is the least RetryAfter of a status for which a claim was appended.
	minRetryAfter = 300 * time.Millisecond
)

// peers sends requests to other routers.
type peers interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
}

// members is the cluster membership.
type members interface {
	Home(key uint64, centres []string) (gossiper.Member, bool)
	Suspect(id uint64)
	Self() gossiper.Member
}

// stallMonitor reports whether this process was stalled at some point since a time.
type stallMonitor interface {
	Stalled(since time.Time) bool
}

// Claim is one call's claim on its idempotency key.
type Claim struct {
	Key  uint64
	Body uint64
	ID   uint64
	// Timeout is the time left until the call's deadline.
	Timeout time.Duration
}

// Status is the outcome of a claim, with the recorded answer if the call ran and the time
// after which the caller may retry.
type Status struct {
	Outcome    claimer.Outcome
	Answer     claimer.Answer
	RetryAfter time.Duration
}

// Registrar claims and settles idempotency keys. It is safe for concurrent use.
type Registrar struct {
	peers        peers
	members      members
	stallMonitor stallMonitor
	partitions   [partitionCount]*partition
}

// New returns a Registrar that has read no records yet. It retains a key for the window after
// its claim.
func New(l streamer.Log, p peers, m members, x stallMonitor, window time.Duration) *Registrar {
	r := &Registrar{peers: p, members: m, stallMonitor: x}

	for i := range r.partitions {
		r.partitions[i] = newPartition(l, fmt.Sprintf("claims-%02d", i), window)
	}

	return r
}

// Register registers the handlers for messages of other routers.
func (r *Registrar) Register(m interface {
	Handle(k wire.Kind, h messenger.Handler)
},
) {
	m.Handle(wire.KindClaim, r.onClaim)
	m.Handle(wire.KindSettle, r.onSettle)
}

// Claim claims a key and returns its status. The call may be sent only if the outcome is Won.
//
// The claim is forwarded to the home (home node) of the key's partition, so that each router
// reads only the partitions whose home it is. If the home fails, this router claims the key
// itself under the same ID, which counts as the same claim. Claim fails with ErrNotClaimed
// when the log can't be reached; then the call must not be sent.
func (r *Registrar) Claim(c context.Context, q Claim) (Status, error) {
	s, err := r.claimAtHome(c, q)
	if err != nil {
		// Only the router that would send the call may release the claim. If the home
		// released it while this router claims under the same ID and wins, the key would be
		// unclaimed while the call runs, and a retry would run the call again.
		go func() { _ = r.Settle(context.WithoutCancel(c), q, claimer.NotRun, claimer.Answer{}) }()
	}

	return s, err
}

// RestoreClaims appends the claims that the log has lost as it came back from a copy, from this router's memory. Other
// routers would run their calls again. It repeats failed attempts until the context ends.
func (r *Registrar) RestoreClaims(c context.Context) {
	for _, p := range r.partitions {
		for !p.isEmpty() && c.Err() == nil {
			err := p.restore(c)
			if err == nil {
				break
			}

			logrus.WithFields(logrus.Fields{"event": "claimsNotRestored", "error": err}).Warn()
			sleeper.Sleep(c, settleRetryInterval)
		}
	}
}

// claimAtHome claims a key at its home, or locally if the home fails.
func (r *Registrar) claimAtHome(c context.Context, q Claim) (Status, error) {
	h, ok := r.members.Home(q.Key%partitionCount, nil)
	if !ok || h.ID == r.members.Self().ID {
		return r.claimLocally(c, q)
	}

	w := wire.Claim{Key: q.Key, Body: q.Body, ID: q.ID, DeadlineMs: q.Timeout.Milliseconds()}

	x, stop := context.WithTimeout(c, homeTimeout)
	defer stop()

	b := time.Now()

	var a wire.ClaimReply
	if err := r.peers.Call(x, h.Address, wire.KindClaim, &w, &a); err != nil {
		// A timeout while this process was stalled is no evidence against the home. If the
		// home were suspected for it, its partitions would move to other routers for some
		// seconds, and claims there would have to read the partitions first.
		if !errors.Is(err, messenger.ErrRefused) && (!detector.TimedOut(err) || !r.stallMonitor.Stalled(b)) {
			r.members.Suspect(h.ID)
		}

		return r.claimLocally(c, q)
	}

	return Status{
		Outcome:    claimer.Outcome(a.State),
		Answer:     claimer.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Answer, Truncated: a.Truncated},
		RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond,
	}, nil
}

// Settle records the outcome of a claimed call: Ran with its answer, Unknown, or NotRun to
// release the key. It returns once the settlement is in the log. After 20 attempts with 500 ms
// between them, it fails with ErrNotClaimed; the key then remains claimed, and its outcome
// becomes Unknown when the claim's lifetime ends.
func (r *Registrar) Settle(c context.Context, q Claim, o claimer.Outcome, a claimer.Answer) error {
	if len(a.Body) > maxRecordedBody {
		a.Body = nil
		a.Truncated = true
	}

	w := wire.Settle{
		Key: q.Key, ID: q.ID, State: uint8(o), Status: a.Status,
		ContentType: a.ContentType, Answer: a.Body, Truncated: a.Truncated,
	}

	var err error

	for range settleAttempts {
		if err = r.settleOnce(c, w); err == nil {
			return nil
		}

		t := time.NewTimer(settleRetryInterval)
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
	h, ok := r.members.Home(w.Key%partitionCount, nil)
	if ok && h.ID != r.members.Self().ID {
		x, stop := context.WithTimeout(c, homeTimeout)
		defer stop()

		var a wire.SettleReply
		if err := r.peers.Call(x, h.Address, wire.KindSettle, &w, &a); err == nil && a.Recorded {
			return nil
		}
	}

	return r.settleLocally(c, w)
}

// claimLocally appends a claim to the log from this router and returns its status.
func (r *Registrar) claimLocally(c context.Context, q Claim) (Status, error) {
	p := r.partitions[q.Key%partitionCount]

	// A key whose claim was already read needs no append, so that recorded answers are
	// replayed even while the log accepts no appends.
	if o, a, d := p.lookup(q.Key, q.ID, q.Body); o != claimer.Unclaimed {
		if o != claimer.InProgress || p.CatchUp(c, 0) != nil {
			return Status{Outcome: o, Answer: a, RetryAfter: d}, nil
		}

		if o, a, d = p.lookup(q.Key, q.ID, q.Body); o != claimer.Unclaimed {
			return Status{Outcome: o, Answer: a, RetryAfter: d}, nil
		}
	}

	n, err := p.append(c, claimer.Record{Key: q.Key, ID: q.ID, Body: q.Body, Lifetime: q.Timeout + answerMargin})
	if errors.Is(err, recorder.ErrUncertain) {
		// The reply was lost, and only the stream shows whether the append took effect.
		// Appending again would be harmless, but assuming success would permit sending
		// without a claim, so the stream is read to its end.
		n, err = 0, nil
	}

	if err == nil {
		err = p.CatchUp(c, n)
	}

	if err != nil {
		return Status{}, errors.Mark(err, ErrNotClaimed)
	}

	o, a, d := p.lookup(q.Key, q.ID, q.Body)
	if o == claimer.Unclaimed {
		return Status{}, ErrNotClaimed
	}

	return Status{Outcome: o, Answer: a, RetryAfter: max(d, minRetryAfter)}, nil
}

func (r *Registrar) settleLocally(c context.Context, w wire.Settle) error {
	x := claimer.Record{Key: w.Key, ID: w.ID, Settled: claimer.Outcome(w.State)}
	if x.Settled == claimer.Ran {
		x.Answer = &claimer.Answer{Status: w.Status, ContentType: w.ContentType, Body: w.Answer, Truncated: w.Truncated}
	}

	// Settling is idempotent, so an uncertain append is repeated by the caller.
	_, err := r.partitions[w.Key%partitionCount].append(c, x)

	return err
}

func (r *Registrar) onClaim(c context.Context, _ uint64, b []byte) (msgp.Marshaler, error) {
	var w wire.Claim
	if _, err := w.UnmarshalMsg(b); err != nil {
		return nil, errors.Mark(err, ErrMessage)
	}

	s, err := r.claimLocally(c, Claim{
		Key: w.Key, Body: w.Body, ID: w.ID, Timeout: time.Duration(w.DeadlineMs) * time.Millisecond,
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

	return &wire.SettleReply{Recorded: r.settleLocally(c, w) == nil}, nil
}

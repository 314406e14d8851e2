package requester

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/wire"
)

// homeAttempts is the number of homes that are tried before this router decides itself.
const homeAttempts = 2

// ErrNoSlot means that the request for a slot was canceled, or that no home could be
// reached and this router could not decide either.
var ErrNoSlot = errors.New("no slot could be requested")

// Request describes the call that a slot is requested for, see granter.Request.
type Request struct {
	Cell     *matcher.Cell
	Rule     uint32
	Customer uint32
	Chat     uint64
	Prompt   int
	Hint     uint32
	Excluded []uint32
	// Waited is how long the call has waited for a slot at the target of its placement.
	Waited time.Duration
	// Forwarded reports whether the home of another cell forwarded the request to this cell.
	Forwarded bool
}

// Reservation is the verdict on a Request: a slot at a target if Reason is granter.Granted, and
// otherwise the reason why there is none. It contains what is needed to release the slot.
// If Reason is granter.OtherCell, Target is the cell to send the request to.
type Reservation struct {
	Reason      granter.Reason
	Target      uint32
	AtPlacement bool
	RetryAfter  time.Duration

	cell *matcher.Cell
	seq  uint32
	// local reports whether this router granted the slot.
	local bool
	// reportDue reports whether the home requested a load report.
	reportDue bool
}

// Reserve requests a slot in a cell from the cell's home (home node: the one router that grants
// slots there). If the home can't be reached, Reserve tries the next home. If that fails too, it
// decides locally, by the calls and the load reports that this router knows. It fails with
// ErrNoSlot.
func (r *Requester) Reserve(c context.Context, q Request) (Reservation, error) {
	w := r.newRequest(q)
	defer r.finishRequest(w.Seq)

	for range homeAttempts {
		h, ok := r.remoteHome(q.Cell)
		if !ok {
			return r.reserveLocally(c, q, w)
		}

		r.setHome(c, q.Cell, h)

		b := time.Now()

		v, err := r.requestHome(c, h, w)
		if err == nil {
			return r.record(q, w, v), nil
		}

		if c.Err() != nil {
			return Reservation{}, errors.Mark(c.Err(), ErrNoSlot)
		}

		// A home refuses if it does not know the cell or the rule, because its configuration is
		// of another revision. Such a home is healthy, and must not be suspected: it may be the
		// home of other cells.
		if errors.Is(err, messenger.ErrRefused) {
			break
		}

		r.counter.Add(counter.HomeRequestsFailed, 1)
		logrus.WithFields(logrus.Fields{"event": "askFailed", "peer": h.Address, "error": err}).Warn()
		r.suspect(h, b, err)
	}

	r.counter.Add(counter.DecidedLocally, 1)

	return r.reserveLocally(c, q, w)
}

// reserveLocally decides at this router, whether it is the cell's home or not.
func (r *Requester) reserveLocally(c context.Context, q Request, w wire.SlotRequest) (Reservation, error) {
	r.setHome(c, q.Cell, r.members.Self())

	v, err := r.supervisor.Reserve(time.Now(), r.members.Self().ID, w)
	if err != nil {
		return Reservation{}, errors.Mark(err, ErrNoSlot)
	}

	p := r.record(q, w, v)
	p.local = true

	return p, nil
}

// newRequest returns the message for a request, with the next sequence number. The request is pending
// until finishRequest is called.
func (r *Requester) newRequest(q Request) wire.SlotRequest {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.seq++
	r.pending[r.seq] = true

	return wire.SlotRequest{
		Seq: r.seq, Cell: q.Cell.ID, Rule: q.Rule, Customer: q.Customer, Chat: q.Chat, Prompt: clamp(q.Prompt),
		Hint: q.Hint, Excluded: q.Excluded, WaitedMs: clamp(int(q.Waited.Milliseconds())),
		Forwarded: q.Forwarded,
	}
}

func (r *Requester) finishRequest(seq uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.pending, seq)
}

// requestHome sends a request to another router within the time-out of one request.
func (r *Requester) requestHome(c context.Context, h gossiper.Member, w wire.SlotRequest) (wire.SlotReply, error) {
	x, stop := context.WithTimeout(c, r.timeout)
	defer stop()

	var v wire.SlotReply

	err := r.peers.Call(x, h.Address, wire.KindSlotRequest, &w, &v)

	return v, err
}

// record converts a verdict and, if it is a grant, adds it to this router's grants.
func (r *Requester) record(q Request, w wire.SlotRequest, v wire.SlotReply) Reservation {
	p := Reservation{
		Reason: granter.Reason(v.Reason), Target: v.Target, AtPlacement: v.Flags&wire.FlagAtPlacement != 0, reportDue: v.Flags&wire.FlagReportDue != 0,
		RetryAfter: time.Duration(v.RetryAfterMs) * time.Millisecond, cell: q.Cell, seq: w.Seq,
	}

	if p.Reason != granter.Granted {
		return p
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.entry(q.Cell).grants[w.Seq] = wire.Grant{Seq: w.Seq, Target: v.Target, Customer: w.Customer}

	return p
}

// clamp converts a number for the wire, where it must not be negative.
func clamp(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxInt32))
}

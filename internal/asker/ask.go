package asker

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

// tries is how many homes are asked before this router decides itself.
const tries = 2

// ErrNoPlace means that no home could be asked and this router could not decide
// either.
var ErrNoPlace = errors.New("no place could be asked for")

// Request is what a place is asked for.
type Request struct {
	Cell     *matcher.Cell
	Rule     uint32
	Customer uint32
	Chat     uint64
	Prompt   int
	Hint     uint32
	Excluded []uint32
	// Waited is how long the request has waited for its place.
	Waited time.Duration
	// Sent says that another cell's home sent the request to this cell.
	Sent bool
}

// Place is the answer, with what is needed to give the place back. When the
// request is sent elsewhere, Target is the cell to ask.
type Place struct {
	Reason     granter.Reason
	Target     uint32
	Returned   bool
	RetryAfter time.Duration

	cell *matcher.Cell
	seq  uint32
	// tell says that the home wants a report.
	tell bool
}

// Ask asks the cell's home for a place. When the home can't be asked it asks
// the next one, and then decides by what this router knows itself: its own
// requests and the targets' reports.
func (a *Asker) Ask(c context.Context, r Request) (Place, error) {
	w := a.number(r)
	defer a.numbered(w.Seq)

	for range tries {
		h, ok := a.away(r.Cell)
		if !ok {
			return a.here(c, r, w)
		}

		a.moved(c, r.Cell, h)

		b := time.Now()

		v, err := a.call(c, h, w)
		if err == nil {
			return a.take(r, w, v), nil
		}

		if c.Err() != nil {
			return Place{}, errors.Mark(c.Err(), ErrNoPlace)
		}

		// A home that answers that it does not know the cell or the rule is a
		// revision behind, or ahead. It is well, and its other cells need it.
		if errors.Is(err, messenger.ErrRefused) {
			break
		}

		a.counter.Add(counter.HomeRequestsFailed, 1)
		logrus.WithFields(logrus.Fields{"event": "askFailed", "peer": h.Address, "error": err}).Warn()
		a.suspect(h, b, err)
	}

	a.counter.Add(counter.DecidedLocally, 1)

	return a.here(c, r, w)
}

// here decides at this router, be it the cell's home or not.
func (a *Asker) here(c context.Context, r Request, w wire.Ask) (Place, error) {
	a.moved(c, r.Cell, a.members.Self())

	v, err := a.keeper.Reserve(time.Now(), a.members.Self().ID, w)
	if err != nil {
		return Place{}, errors.Mark(err, ErrNoPlace)
	}

	return a.take(r, w, v), nil
}

// number gives a request its number among this router's.
func (a *Asker) number(r Request) wire.Ask {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.seq++
	a.asking[a.seq] = true

	return wire.Ask{
		Seq: a.seq, Cell: r.Cell.ID, Rule: r.Rule, Customer: r.Customer, Chat: r.Chat, Prompt: clamp(r.Prompt),
		Hint: r.Hint, Excluded: r.Excluded, WaitedMs: clamp(int(r.Waited.Milliseconds())),
		Sent: r.Sent,
	}
}

func (a *Asker) numbered(seq uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.asking, seq)
}

func (a *Asker) call(c context.Context, h gossiper.Member, w wire.Ask) (wire.Verdict, error) {
	x, stop := context.WithTimeout(c, a.timeout)
	defer stop()

	var v wire.Verdict

	err := a.peers.Call(x, h.Address, wire.KindAsk, &w, &v)

	return v, err
}

// take notes a grant.
func (a *Asker) take(r Request, w wire.Ask, v wire.Verdict) Place {
	p := Place{
		Reason: granter.Reason(v.Reason), Target: v.Target, Returned: v.Flags&wire.FlagReturned != 0, tell: v.Flags&wire.FlagTell != 0,
		RetryAfter: time.Duration(v.RetryAfterMs) * time.Millisecond, cell: r.Cell, seq: w.Seq,
	}

	if p.Reason != granter.Granted {
		return p
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	a.entry(r.Cell).grants[w.Seq] = wire.Grant{Seq: w.Seq, Target: v.Target, Customer: w.Customer}

	return p
}

func clamp(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxInt32))
}

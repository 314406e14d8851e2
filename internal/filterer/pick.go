package filterer

import (
	"context"
	"net/http"
	"time"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/requester"
	"github.com/auburntray/auburntray/internal/tracker"
)

// maxCellsPerAttempt is how many cells one attempt requests a slot from.
const maxCellsPerAttempt = 4

// slots reserves and releases slots at targets and reports the load of targets.
type slots interface {
	Reserve(c context.Context, r requester.Request) (requester.Reservation, error)
	Release(p requester.Reservation, o granter.Outcome)
	Report(p requester.Reservation, requests int, s tracker.State)
	StartBackoff(p requester.Reservation, d time.Duration)
}

// Pick reserves a slot at a target.
type Pick struct {
	Slots slots
	// Region is the region of this router.
	Region  string
	Counter *counter.Counter
}

// Name implements exchanger.Filter.
func (Pick) Name() string { return "pick" }

// Apply requests a slot from the cells of the rule, in order of preference for the chat,
// until one grants it. It fails with a Refusal if none does.
func (p Pick) Apply(c context.Context, x *exchanger.Exchange) error {
	l := p.rankedCells(x)
	v := requester.Reservation{Reason: granter.NoTargets, RetryAfter: defaultRetryAfter}

	for i, y := range l[:min(len(l), maxCellsPerAttempt)] {
		r, err := p.reserve(c, x.Config.Matcher, requester.Request{
			Cell: y, Rule: x.Rule.ID, Customer: hasher.Name(x.Customer), Chat: x.Chat,
			Prompt: x.PromptTokens, Hint: x.Hint, Excluded: x.Excluded,
		})
		if err != nil {
			continue
		}

		if r.Reason == granter.Granted {
			return p.useGrant(x, r)
		}

		v = r

		// A customer beyond its share may use idle capacity of another cell. The
		// search ends at the next cell that refuses for the same reason, so that a
		// surge of one customer does not send requests to all cells.
		if r.Reason == granter.OverShare && i > 0 {
			break
		}
	}

	return p.refusal(v)
}

// reserve requests a slot from one cell. It repeats the request while the cell's answer is
// to wait for the target of the chat's placement, and follows one redirect to another cell.
func (p Pick) reserve(c context.Context, m *matcher.Matcher, r requester.Request) (requester.Reservation, error) {
	for {
		y, end := span(c, "ask")
		v, err := p.Slots.Reserve(y, r)
		end(err)

		if err != nil || v.Reason != granter.Wait && v.Reason != granter.OtherCell {
			return v, err
		}

		if v.Reason == granter.OtherCell {
			y := m.Cell(v.Target)
			if y == nil || r.Forwarded {
				return v, nil
			}

			r.Cell, r.Forwarded = y, true

			continue
		}

		p.Counter.Add(counter.WaitedForSlot, 1)

		t := time.NewTimer(v.RetryAfter)
		select {
		case <-t.C:
			r.Waited += v.RetryAfter
		case <-c.Done():
			t.Stop()

			return v, c.Err()
		}
	}
}

// useGrant sets the target of the granted slot. It fails with a Refusal if this router does
// not know the target.
func (p Pick) useGrant(x *exchanger.Exchange, r requester.Reservation) error {
	x.Reservation = r
	x.Target = x.Config.Matcher.Target(r.Target)

	if r.AtPlacement {
		p.Counter.Add(counter.ReturnedToPlacement, 1)
	}

	// The home of the cell may have a newer revision with a target that this router
	// does not know yet.
	if x.Target == nil {
		p.Slots.Release(r, granter.Outcome{OK: true, NeverSent: true})

		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNotReady, time.Second,
			"this router is a revision behind")
	}

	return nil
}

// refusal returns the Refusal for a request that no cell granted.
func (p Pick) refusal(v requester.Reservation) error {
	switch v.Reason {
	case granter.OverShare:
		p.Counter.Add(counter.RefusedOverShare, 1)

		return exchanger.Refuse(http.StatusTooManyRequests, exchanger.CodeOverShare, v.RetryAfter,
			"the customer has its share of the targets, and none is idle")
	case granter.Full:
		p.Counter.Add(counter.RefusedFull, 1)

		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeFull, v.RetryAfter, "all targets are full")
	default:
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoTargets, v.RetryAfter,
			"no target that the rule selects is in service")
	}
}

// rankedCells returns the cells of the rule in the order in which to request a slot. The
// cell with the target of the caller's placement token is first if that cell is in this region.
func (p Pick) rankedCells(x *exchanger.Exchange) []*matcher.Cell {
	k := x.Chat
	if k == 0 {
		k = hasher.Key(x.ID)
	}

	l := x.Config.Matcher.Ranked(x.Rule, p.Region, k)

	for i, y := range l {
		if i > 0 && y.Region == p.Region && y.Contains(x.Hint) {
			copy(l[1:i+1], l[:i])
			l[0] = y
		}
	}

	return l
}

package filterer

import (
	"context"
	"net/http"
	"time"

	"github.com/auburntray/auburntray/internal/asker"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
)

// maxCells is how many cells a call asks for a place.
const maxCells = 4

// places asks for places and gives them back.
type places interface {
	Ask(c context.Context, r asker.Request) (asker.Place, error)
	Release(p asker.Place, o granter.Outcome)
}

// Pick gets a place on a target.
type Pick struct {
	Places  places
	Region  string
	Counter *counter.Counter
}

// Name returns the name of the step.
func (Pick) Name() string { return "pick" }

// Apply asks the cells that the rule selects, the chat's first, until one
// grants a place.
func (p Pick) Apply(c context.Context, x *exchanger.Exchange) error {
	l := p.cells(x)
	v := asker.Place{Reason: granter.NoTargets, RetryAfter: comeBack}

	for _, y := range l[:min(len(l), maxCells)] {
		r, err := p.Places.Ask(c, asker.Request{
			Cell: y, Rule: x.Rule.ID, Customer: hasher.Name(x.Customer), Chat: x.Chat,
			Prompt: x.Prompt, Output: x.Output, Hint: x.Hint, Excluded: x.Excluded,
		})
		if err != nil {
			continue
		}

		if r.Reason == granter.Granted {
			return p.granted(x, r)
		}

		// A place on a fuller cell would pass this one's refusal of the
		// customer by; the share holds in every cell.
		v = r
		if r.Reason == granter.OverShare {
			break
		}
	}

	return p.refuse(v)
}

func (p Pick) granted(x *exchanger.Exchange, r asker.Place) error {
	x.Place = r
	x.Target = x.Force.Matcher.Target(r.Target)

	if r.Returned {
		p.Counter.Add(counter.Returned, 1)
	}

	// The home may already follow a revision with a target that is not known
	// here yet.
	if x.Target == nil {
		p.Places.Release(r, granter.Outcome{OK: true, NeverSent: true, Requests: -1})

		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNotReady, time.Second,
			"this router is a revision behind")
	}

	return nil
}

func (p Pick) refuse(v asker.Place) error {
	switch v.Reason {
	case granter.OverShare:
		p.Counter.Add(counter.RefusedShare, 1)

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

// cells returns the cells to ask, that of the caller's token first.
func (p Pick) cells(x *exchanger.Exchange) []*matcher.Cell {
	k := x.Chat
	if k == 0 {
		k = hasher.Key(x.ID)
	}

	l := x.Force.Matcher.Ranked(x.Rule, p.Region, k)

	for i, y := range l {
		if i > 0 && y.Region == p.Region && y.Holds(x.Hint) {
			copy(l[1:i+1], l[:i])
			l[0] = y
		}
	}

	return l
}

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
	"github.com/auburntray/auburntray/internal/tracker"
)

// maxCells is how many cells a call asks for a place.
const maxCells = 4

// places asks for places and gives them back.
type places interface {
	Ask(c context.Context, r asker.Request) (asker.Place, error)
	Release(p asker.Place, o granter.Outcome)
	Report(p asker.Place, requests int, s tracker.State)
	Rest(p asker.Place, d time.Duration)
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

	for i, y := range l[:min(len(l), maxCells)] {
		r, err := p.ask(c, x.Force.Matcher, asker.Request{
			Cell: y, Rule: x.Rule.ID, Customer: hasher.Name(x.Customer), Chat: x.Chat,
			Prompt: x.Prompt, Hint: x.Hint, Excluded: x.Excluded,
		})
		if err != nil {
			continue
		}

		if r.Reason == granter.Granted {
			return p.granted(x, r)
		}

		v = r

		// Capacity that is idle in another cell is the customer's to use, but
		// one that surges must not have each of its calls ask everywhere.
		if r.Reason == granter.OverShare && i > 0 {
			break
		}
	}

	return p.refuse(v)
}

// ask asks one cell, and again as long as the chat's place is worth waiting for,
// or once more where the cell sends it.
func (p Pick) ask(c context.Context, m *matcher.Matcher, r asker.Request) (asker.Place, error) {
	for {
		y, end := span(c, "ask")
		v, err := p.Places.Ask(y, r)
		end(err)

		if err != nil || v.Reason != granter.Wait && v.Reason != granter.Elsewhere {
			return v, err
		}

		if v.Reason == granter.Elsewhere {
			y := m.Cell(v.Target)
			if y == nil || r.Sent {
				return v, nil
			}

			r.Cell, r.Sent = y, true

			continue
		}

		p.Counter.Add(counter.Waited, 1)

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

func (p Pick) granted(x *exchanger.Exchange, r asker.Place) error {
	x.Place = r
	x.Target = x.Force.Matcher.Target(r.Target)

	if r.Returned {
		p.Counter.Add(counter.Returned, 1)
	}

	// The home may already follow a revision with a target that is not known
	// here yet.
	if x.Target == nil {
		p.Places.Release(r, granter.Outcome{OK: true, NeverSent: true})

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

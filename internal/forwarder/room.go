package forwarder

import (
	"context"
	"time"

	"github.com/auburntray/auburntray/internal/chooser"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/reserver"
	"github.com/auburntray/auburntray/internal/tallier"
)

const (
	// maxAsked is how many homes are asked for one choice, a millisecond or two each. Replayed
	// on 295 instances with a hot prompt, 0.7 in 100 calls came to a target above its limit
	// with four, and 0.6 with five.
	maxAsked = 5
	// maxLeft is how many targets of one choice may be left alone by the word of their homes.
	// When most of a group fail the call has nowhere better to go, and each question takes time.
	maxLeft = 2
	// driftMost is by how many calls a target's own word may exceed its home's count
	// before the home is told: as many as come and go while a call begins.
	driftMost = 2
)

// Homes count the calls of all instances at targets; a reserver.Reserver asks them.
type Homes interface {
	// Reserve asks for room for one call, and returns what ends the reservation.
	Reserve(c context.Context, t *enroller.Target, q tallier.Request) (tallier.Verdict, reserver.Release)
	// Report tells a target's own word on its load to its home.
	Report(t *enroller.Target, calls int)
}

// UseHomes sets who counts the calls of all instances. It is called before the first call
// comes.
func (f *Forwarder) UseHomes(h Homes) {
	f.homes = h
}

// room is a call's reservation. The zero value is none.
type room struct {
	verdict tallier.Verdict
	release reserver.Release
	// pace is how long the answer took to begin, as a part of the time within which it is of
	// full use; zero while it has not.
	pace float64
}

// end ends the reservation with how the call ended. Ending it again does nothing.
func (r *room) end(o chooser.Outcome) {
	if r.release != nil {
		r.release(sign(o), r.pace)
		r.release = nil
	}
}

// sign returns what an outcome tells the home of a target.
func sign(o chooser.Outcome) tallier.Sign {
	switch o {
	case chooser.Good, chooser.Shed:
		return tallier.Well
	case chooser.Bad:
		return tallier.Failed
	case chooser.Unreachable:
		return tallier.Unreached
	case chooser.Gone, chooser.Neither:
		return tallier.Nothing
	default:
		return tallier.Nothing
	}
}

// choose picks the next target and counts the call there, here and at the target's home.
//
// What is known here of a target may be a second old. When its home says that it is full, or
// that it is to be left alone, that is noted and another one is chosen, until one has room;
// the last that is asked is taken with or without, since the call has to go somewhere.
func (f *Forwarder) choose(c context.Context, x *exchange) (chooser.Choice, bool) {
	var full, left int

	for {
		t, ok := f.pick(x, full)
		if !ok {
			return t, false
		}

		f.reserve(c, x, t, left >= maxLeft)

		switch x.room.verdict.Outcome {
		case tallier.Full:
			full++
		case tallier.Left:
			left++
		case tallier.Granted, tallier.Unanswered:
			return t, true
		}

		if full+left >= maxAsked {
			return t, true
		}

		f.decline(t, x.room.verdict)
	}
}

// pick chooses by what is known here, after so many targets were full, and counts the call here.
func (f *Forwarder) pick(x *exchange, declined int) (chooser.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()

	q := x.query(f.settings.DataCentre)
	q.Declined = declined

	t, ok := f.chooser.Choose(n, f.facts.Roster(), x.group, q)
	if ok {
		f.chooser.Start(n, t.Target)
	}

	return t, ok
}

// reserve asks the home of a target for room. A target that does not say how many calls it
// runs has no bound that a home could keep.
func (f *Forwarder) reserve(c context.Context, x *exchange, t chooser.Choice, anyway bool) {
	x.room = room{}

	if f.homes == nil || t.Target.Slots == 0 {
		return
	}

	x.room.verdict, x.room.release = f.homes.Reserve(c, t.Target, tallier.Request{
		Most: int(t.Bound), Until: x.deadline, Usual: t.Usual, Anyway: anyway,
	})
	f.meter.Reserved(x.group, x.room.verdict.Outcome.String())

	if p := x.room.verdict.Pace; p > 0 {
		f.mu.Lock()
		f.chooser.LearnPace(t.Target, p)
		f.mu.Unlock()
	}
}

func (f *Forwarder) decline(t chooser.Choice, v tallier.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()

	if v.Outcome == tallier.Left {
		f.chooser.Leave(n, t)
	} else {
		f.chooser.Decline(n, t, v.Calls)
	}
}

// report takes what a target said of its load, and tells its home when that counts too few.
func (f *Forwarder) report(x *exchange, t *enroller.Target, p Reply) {
	f.mu.Lock()
	f.chooser.Report(time.Now(), t, chooser.Report{Running: p.Running, Waiting: p.Waiting, Slots: p.Slots})
	f.mu.Unlock()

	if n := p.Running + p.Waiting; x.room.verdict.Outcome == tallier.Granted && n > x.room.verdict.Calls+driftMost {
		f.homes.Report(t, n)
	}
}

package forwarder

import (
	"context"
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/reserver"
	"github.com/auburntray/auburntray/internal/seeker"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/tallier"
)

// driftMost is by how many calls a target's own word may exceed its home's count before the
// home is told: as many as come and go while a call begins.
const driftMost = 2

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
func (r *room) end(o selector.Outcome) {
	if r.release != nil {
		r.release(sign(o), r.pace)
		r.release = nil
	}
}

// sign returns what an outcome tells the home of a target.
func sign(o selector.Outcome) tallier.Sign {
	switch o {
	case selector.Answered, selector.Shed:
		return tallier.Well
	case selector.Failed:
		return tallier.Failed
	case selector.Unreachable, selector.Crashed:
		return tallier.Unreached
	case selector.Gone, selector.Inconclusive:
		return tallier.Nothing
	default:
		return tallier.Nothing
	}
}

// choose picks the next target and counts the call there, here and at the target's home; false
// when there is none, or none with room.
//
// What is known here of a target may be a second old. When its home says that it is full, or
// that it is to be left alone, that is noted and another one is chosen.
func (f *Forwarder) choose(c context.Context, x *exchange) (selector.Choice, bool) {
	s := seeker.Seeker{Prompt: len(x.shared) > 0}

	for {
		t, ok := f.pick(x, s.Full())
		if !ok {
			return t, false
		}

		f.reserve(c, x, t, &s)

		if !f.takes(t.Target) {
			f.withdraw(x, t)

			continue
		}

		n := s.Next(x.room.verdict.Outcome)
		if n == seeker.Take {
			return t, true
		}

		f.decline(t, x.room.verdict)

		if n == seeker.Refuse {
			x.full = true

			return t, false
		}
	}
}

// pick chooses by what is known here, after so many targets were full, and counts the call here.
func (f *Forwarder) pick(x *exchange, declined int) (selector.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()

	r := f.facts.Roster()
	x.confined = f.confine(n, x.group, len(r.Groups[x.group]))

	q := x.query(f.settings)
	q.Declined, q.Sharded = declined, x.confined

	t, ok := f.chooser.Choose(n, r, x.group, q)
	x.cold, x.resting = t.Cold, t.BackingOff

	if ok {
		f.chooser.Start(n, t.Target)
	}

	return t, ok
}

// reserve asks the home of a target for room. A target that does not say how many calls it
// runs has no bound that a home could keep.
func (f *Forwarder) reserve(c context.Context, x *exchange, t selector.Choice, s *seeker.Seeker) {
	x.room = room{}

	if f.homes == nil || t.Target.Slots == 0 {
		return
	}

	x.room.verdict, x.room.release = f.homes.Reserve(c, t.Target, tallier.Request{
		Most: s.Most(t.Bound), Until: x.deadline, Usual: t.MedianPace, Anyway: s.Anyway(),
	})
	f.meter.Reserved(x.group, x.room.verdict.Outcome.String())

	if p := x.room.verdict.Pace; p > 0 {
		f.mu.Lock()
		f.chooser.ReportPace(t.Target, p)
		f.mu.Unlock()
	}
}

// withdraw takes back a choice of a target that takes calls no more.
func (f *Forwarder) withdraw(x *exchange, t selector.Choice) {
	x.room.end(selector.Inconclusive)

	f.mu.Lock()
	defer f.mu.Unlock()

	f.chooser.Withdraw(time.Now(), t)
}

func (f *Forwarder) decline(t selector.Choice, v tallier.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := time.Now()

	if v.Outcome == tallier.Left {
		f.chooser.DeclineUnhealthy(n, t)
	} else {
		f.chooser.Decline(n, t, v.Calls)
	}
}

// report takes what a target said of its load, and tells its home when that counts too few.
func (f *Forwarder) report(x *exchange, t *enroller.Target, p Reply) {
	f.mu.Lock()
	f.chooser.ReportLoad(time.Now(), t, selector.LoadReport{Running: p.Running, Waiting: p.Waiting, Slots: p.Slots})
	f.mu.Unlock()

	if n := p.Running + p.Waiting; x.room.verdict.Outcome == tallier.Granted && n > x.room.verdict.Calls+driftMost {
		f.homes.Report(t, n)
	}
}

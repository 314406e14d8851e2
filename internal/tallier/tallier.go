// Package tallier counts the calls at the targets whose home this instance is, and judges
// these targets by what all calls showed, so that all instances go by one count and one word.
//
// Load pattern: hundreds of instances, each with a few calls a second, and one prompt that
// a tenth of them share. What they tell each other of loads is about a second old at that
// size. In that second all of them see the same target below its bound and send it what
// they have: it is buried, then all leave it at once for the next. Plain services run a
// call for some ten milliseconds; of their loads a second-old word says nothing. And an instance
// sends one target a call in half a minute: by its own calls it never finds out that a target
// fails or has become slow.
package tallier

import (
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
)

// travel is how long a call takes to its target at most, in a region without trouble. One that
// was granted room so shortly before the target's word is not in that word.
const travel = 5 * time.Millisecond

// ID names a reservation: the instance that asked, and its own number for it.
type ID struct {
	Instance, Number uint64
}

// Request asks for room for one call.
type Request struct {
	ID     ID
	Target enroller.Name
	// Most is how many calls the target may have, this one included.
	Most int
	// Until is when the call is over at the latest.
	Until time.Time
	// Usual is how long targets of the group take to begin an answer, as a part of the time
	// within which it is of full use.
	Usual float64
	// Anyway asks for room though the target is to be left alone: the call has nowhere else
	// to go.
	Anyway bool
}

// Outcome is what became of a request.
type Outcome int

// The outcomes.
const (
	// Unanswered means that no home told: there is none, or it is silent. It is the
	// zero value.
	Unanswered Outcome = iota
	// Granted means that the call is counted.
	Granted
	// Full means that the target has as many calls as it may have.
	Full
	// Left means that the target is to be left alone: it fails, can't be reached, or is slow.
	Left
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Full:
		return "full"
	case Left:
		return "left"
	case Unanswered:
		return "unanswered"
	default:
		return "unknown"
	}
}

// Verdict answers a request.
type Verdict struct {
	Outcome Outcome
	// Calls are those at the target, the granted one included.
	Calls int
	// Pace is how long the target takes to begin an answer, as a part of the time within
	// which it is of full use; zero when that is not known.
	Pace float64
}

// hold is a call that was granted room.
type hold struct {
	granted, until time.Time
}

// tally is the count of one target.
type tally struct {
	holds map[ID]hold
	// word is the target's last, whose base are the holds that were in it.
	word Word
}

// Tallier holds the counts. It is not safe for concurrent use.
type Tallier struct {
	targets map[enroller.Name]*tally
	health  *health
}

// New returns a Tallier that knows of no call.
func New() *Tallier {
	return &Tallier{targets: make(map[enroller.Name]*tally), health: newHealth()}
}

// Reserve grants a call room at a target, unless it has as many as it may have. Asking
// again under one ID counts once.
func (t *Tallier) Reserve(now time.Time, r Request) Verdict {
	x := t.tally(r.Target)
	x.expire(now)

	v := Verdict{Calls: x.word.Load(now, len(x.holds)), Pace: t.health.paces.Pace(r.Target)}
	_, held := x.holds[r.ID]

	switch {
	case held:
		v.Outcome = Granted
	case v.Calls+1 > r.Most:
		v.Outcome = Full
	case !r.Anyway && t.health.left(now, r.Target, r.Usual):
		v.Outcome = Left
	default:
		x.holds[r.ID] = hold{granted: now, until: r.Until}
		v.Outcome = Granted
		v.Calls++

		t.health.begin(now, r.Target)
	}

	return v
}

// Release ends a reservation, with what the call showed of its target. One that is not known
// is over already, and shows as much.
func (t *Tallier) Release(now time.Time, target enroller.Name, id ID, s Sign, pace float64) {
	delete(t.tally(target).holds, id)
	t.health.note(now, target, s, pace)
}

// Report takes a target's word on its load. It makes good what this home does not know: the
// calls that another was asked for before, or that nobody asked for while this one was silent.
func (t *Tallier) Report(now time.Time, target enroller.Name, calls int) {
	x := t.tally(target)
	x.word = Word{Calls: calls, At: now}

	for _, h := range x.holds {
		if now.Sub(h.granted) >= travel {
			x.word.Base++
		}
	}
}

// Keep drops the counts of targets that a test does not let through.
func (t *Tallier) Keep(f func(enroller.Name) bool) {
	for n := range t.targets {
		if !f(n) {
			delete(t.targets, n)
			t.health.forget(n)
		}
	}
}

func (t *Tallier) tally(n enroller.Name) *tally {
	x, ok := t.targets[n]
	if !ok {
		x = &tally{holds: make(map[ID]hold)}
		t.targets[n] = x
	}

	return x
}

// expire ends the reservations of calls that must be over. The release of an instance that
// was killed or cut off never comes; without this its calls would count for ever, and in
// the end nobody would be granted room at a target that idles.
func (x *tally) expire(now time.Time) {
	for id, h := range x.holds {
		if now.After(h.until) {
			delete(x.holds, id)
		}
	}
}

package chooser

import (
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/tallier"
)

// shedFor is how long a target that turned a call away is passed over. It is about the
// time in which a full one runs a few calls to their end.
const shedFor = 100 * time.Millisecond

// state is what this instance knows of the load on one process of a target.
type state struct {
	// target is the process's entry at the last change of the list.
	target *enroller.Target
	// unlisted says that the list has no such process any more. Only the calls that run
	// there are still counted, in case the list shows it again.
	unlisted bool
	// running counts this instance's calls.
	running int
	shed    time.Time
	// word is the target's last, to any instance, whose base are the running of that time.
	word tallier.Word
}

// load estimates the calls of all instances at a target: what it said last, to any
// of them, and what this instance has begun and ended since.
func (s *state) load(now time.Time) float64 {
	return float64(s.word.Load(now, s.running))
}

// report takes a target's word on its load unless it is older than the last, or of a process
// that is not on the list.
func (s *state) report(at time.Time, load int) bool {
	if s.unlisted || !at.After(s.word.At) {
		return false
	}

	s.word = tallier.Word{Calls: load, Base: s.running, At: at}

	return true
}

// judged says that a call which was sent by an entry still tells something of the process as
// it is listed. One that was sent to its earlier address, or in its earlier group, does not.
func (s *state) judged(t *enroller.Target) bool {
	return !s.unlisted && !s.target.Moved(t)
}

// unlist drops all but the count of calls.
func (s *state) unlist() {
	*s = state{target: s.target, unlisted: true, running: s.running}
}

// Load is what a target said of its load.
type Load struct {
	// Target is the short name of its process.
	Target enroller.Name
	// Calls are those of all instances, running and waiting.
	Calls int
	// At is when it said so.
	At time.Time
}

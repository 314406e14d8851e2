// Package seeker decides how a call looks for room: how many homes of targets it asks, for how
// much, and when it is refused.
//
// Load pattern: plain services that have a little more to do than they can. Each call that finds
// them full and is sent all the same stands in the line of one, where it is late, makes those
// behind it late, or is turned away when the line is full. With a tenth more calls than can be
// run 0.6 of their worth was earned. A bound on the lines keeps those in time that are run.
package seeker

import "github.com/auburntray/auburntray/internal/aggregator"

const (
	// maxAsked is how many homes are asked for room at a target that runs the call at once, a
	// millisecond or two each.
	maxAsked = 5
	// maxLeft is how many targets of one choice may be left alone by the word of their homes.
	// When most of a group fail the call has nowhere better to go, and each question takes time.
	maxLeft = 2
	// lineMost is how many calls a plain target may have for each that it runs at a time. One in
	// line at its end is in time when calls take a quarter of the time that they have. In a longer
	// line calls wait in vain; with a shorter one targets idle between calls.
	lineMost = 2
)

// Step is what a call does next.
type Step int

// The steps.
const (
	// Take sends the call to the target.
	Take Step = iota
	// Ask asks the home of another target.
	Ask
	// Refuse gives the call back to its caller: no target has room for it.
	Refuse
)

// Seeker follows the questions of one call about one choice. The zero value has asked nothing.
// It is not safe for concurrent use.
type Seeker struct {
	// Prompt says that the call has a prompt. Engines order their lines by urgency, and who
	// may stand there was decided before.
	Prompt     bool
	full, left int
}

// Full returns how many targets turned out to be full.
func (s *Seeker) Full() int { return s.full }

// Most returns how many calls a target may have with this one, whose bound is given.
func (s *Seeker) Most(bound float64) int {
	if s.last() && !s.Prompt {
		bound *= lineMost
	}

	return int(bound)
}

// Anyway says that the call is to be counted also at a target that is to be left alone.
func (s *Seeker) Anyway() bool { return s.left >= maxLeft }

// Next takes what a home said and returns what the call does.
func (s *Seeker) Next(o aggregator.Outcome) Step {
	last := s.last()

	switch o {
	case aggregator.Full:
		s.full++
	case aggregator.Excluded:
		s.left++
	default:
		// Granted, no answer, or one of a newer release that is not known here: asking on
		// because of that would never end.
		return Take
	}

	switch {
	case !last && (!s.Prompt || !s.last()):
		return Ask
	case s.Prompt || o == aggregator.Excluded:
		// It has to go somewhere, and its bound is no promise of the target's.
		return Take
	default:
		return Refuse
	}
}

// last says that enough homes were asked for room without a line.
func (s *Seeker) last() bool { return s.full+s.left >= maxAsked }

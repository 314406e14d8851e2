// Package pacer judges targets by how long they take to begin their answers.
//
// Calls that may run once only can't leave a slow target again, so it is found by the
// others' answers.
package pacer

import (
	"slices"
	"time"
)

const (
	// slowLeast is the part of the time of full use above which a target's answers
	// are slow at all, and slowTimes how many times the usual of its group they
	// must be besides. A target that is merely busy is below both.
	slowLeast = 0.4
	slowTimes = 3
	// slowWeight is how much the last answer counts against those before it.
	slowWeight = 0.3
	// slowSamples is how many answers it takes to judge a target.
	slowSamples = 3
	// slowTrial is how often a slow target is given a call, to see whether it
	// still is.
	slowTrial = time.Second
)

// pace is how fast a target's answers begin.
type pace struct {
	part    float64
	samples int
	trial   time.Time
}

// Pacer follows the paces of targets, which have keys of the type K. A pace is the time until
// an answer begins, as a part of the time within which it is of full use. It is not safe for
// concurrent use.
type Pacer[K comparable] struct {
	paces map[K]*pace
}

// New returns a Pacer that knows of no answer.
func New[K comparable]() *Pacer[K] {
	return &Pacer[K]{paces: make(map[K]*pace)}
}

// Begun takes the pace of one answer.
func (p *Pacer[K]) Begun(target K, part float64) {
	x := p.of(target, part)
	x.part += slowWeight * (part - x.part)
	x.samples++
}

// Learn takes the word of those who have seen more of a target on its pace.
func (p *Pacer[K]) Learn(target K, part float64) {
	x := p.of(target, part)
	x.part, x.samples = part, max(x.samples, slowSamples)
}

func (p *Pacer[K]) of(target K, part float64) *pace {
	x, ok := p.paces[target]
	if !ok {
		x = &pace{part: part}
		p.paces[target] = x
	}

	return x
}

// Started notes that a call goes to a target. To a slow one it is a trial.
func (p *Pacer[K]) Started(now time.Time, target K) {
	if x, ok := p.paces[target]; ok && now.Sub(x.trial) >= slowTrial {
		x.trial = now
	}
}

// Slow says that a target's answers begin much later than those of its group, whose usual
// pace is given.
func (p *Pacer[K]) Slow(target K, usual float64) bool {
	x := p.Pace(target)

	return x > 0 && x >= max(slowLeast, slowTimes*usual)
}

// Tried says that a target was given a call of late.
func (p *Pacer[K]) Tried(now time.Time, target K) bool {
	x, ok := p.paces[target]

	return ok && now.Sub(x.trial) < slowTrial
}

// Pace returns the pace of a target; zero when too few answers were seen.
func (p *Pacer[K]) Pace(target K) float64 {
	x, ok := p.paces[target]
	if !ok || x.samples < slowSamples {
		return 0
	}

	return x.part
}

// Usual returns the median pace of targets; zero when none is known.
func (p *Pacer[K]) Usual(targets []K) float64 {
	o := make([]float64, 0, len(targets))

	for _, t := range targets {
		if x := p.Pace(t); x > 0 {
			o = append(o, x)
		}
	}

	if len(o) == 0 {
		return 0
	}

	slices.Sort(o)

	return o[len(o)/2]
}

// Forget drops what is known of a target.
func (p *Pacer[K]) Forget(target K) {
	delete(p.paces, target)
}

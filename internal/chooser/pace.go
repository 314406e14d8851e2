package chooser

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
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

// slow says that a target's answers begin much later than usual. Calls that may
// run once only can't leave it again, so it is found by the others' answers.
func (h *health) slow(now time.Time, t *enroller.Target, most float64) bool {
	p, ok := h.paces[t.Key()]
	if !ok || p.samples < slowSamples {
		return false
	}

	x := p.part >= max(slowLeast, most)
	h.believe(Own, TargetSlow, t, x)

	if !x {
		return false
	}

	return now.Sub(p.trial) < slowTrial
}

// median returns the usual pace of the candidates.
func (h *health) median(l []candidate) float64 {
	o := make([]float64, 0, len(l))

	for _, x := range l {
		if p, ok := h.paces[x.target.Key()]; ok && p.samples >= slowSamples {
			o = append(o, p.part)
		}
	}

	if len(o) == 0 {
		return 0
	}

	slices.Sort(o)

	return o[len(o)/2]
}

func (h *health) begun(now time.Time, t *enroller.Target, part float64) {
	n := t.Key()

	p, ok := h.paces[n]
	if !ok {
		p = &pace{part: part}
		h.paces[n] = p
	}

	p.part += slowWeight * (part - p.part)
	p.samples++

	// A trial has shown enough; its stream may take seconds to its end, and the
	// target would be left alone for as long.
	if h.failing.Out(now, n) {
		h.failing.Result(now, n, true)
		h.believe(Own, TargetFailing, t, false)
	}
}

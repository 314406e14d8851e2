package tallier

import (
	"time"

	"github.com/auburntray/auburntray/internal/ejector"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/pacer"
)

// Sign is what a call showed of its target.
type Sign uint8

// The signs.
const (
	// Nothing is the zero value: the caller left, say.
	Nothing Sign = iota
	// Well is an answer.
	Well
	// Failed is a failure of the target's.
	Failed
	// Unreached means that no connection was made.
	Unreached
)

// health judges targets by the calls of all instances. It is not safe for concurrent use.
type health struct {
	unreached *ejector.Ejector[enroller.Name]
	failing   *ejector.Ejector[enroller.Name]
	paces     *pacer.Pacer[enroller.Name]
}

func newHealth() *health {
	return &health{
		// Whoever asks here reaches the target's data centre, so that a connection which is
		// not made tells of the target. Of one instance it may be its own fault; of two it is
		// not. The times are short, since a trial costs a call little.
		unreached: ejector.New[enroller.Name](ejector.Settings{Failures: 2, Base: 500 * time.Millisecond, Max: 2 * time.Second}),
		failing:   ejector.New[enroller.Name](ejector.Settings{Failures: 3, Base: time.Second, Max: 5 * time.Second}),
		paces:     pacer.New[enroller.Name](),
	}
}

// left says that a target is to be left alone for now, where its group takes so long as usual.
func (h *health) left(now time.Time, n enroller.Name, usual float64) bool {
	if h.unreached.Out(now, n) || h.failing.Out(now, n) {
		return true
	}

	return h.paces.Slow(n, usual) && h.paces.Tried(now, n)
}

// begin notes that a call goes to a target. To one that is left alone it is a trial.
func (h *health) begin(now time.Time, n enroller.Name) {
	h.unreached.Probe(now, n)
	h.failing.Probe(now, n)
	h.paces.Started(now, n)
}

// note takes what a call showed, and how long its answer took to begin; zero when it did not.
func (h *health) note(now time.Time, n enroller.Name, s Sign, part float64) {
	switch s {
	case Well:
		h.unreached.Result(now, n, true)
		h.failing.Result(now, n, true)
	case Failed:
		h.unreached.Result(now, n, true)
		h.failing.Result(now, n, false)
	case Unreached:
		h.unreached.Result(now, n, false)
	case Nothing:
		// A trial that showed nothing makes room for the next one.
		h.unreached.Abandon(n)
		h.failing.Abandon(n)
	}

	if part > 0 {
		h.paces.Begun(n, part)
	}
}

func (h *health) forget(n enroller.Name) {
	h.unreached.Forget(n)
	h.failing.Forget(n)
	h.paces.Forget(n)
}

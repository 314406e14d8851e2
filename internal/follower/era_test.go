package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

func weight(f *follower.Follower) float64 {
	return f.Config().State.Document.Customers["c"].Weight
}

func awaitWeight(t *testing.T, f *follower.Follower, want float64) {
	t.Helper()
	waiter.Until(t, "the configuration", func() bool { return weight(f) == want })
}

// Guards against changes that are skipped or refused after the log has come back from a copy, and against a configuration
// that is taken back to that of the copy.
func TestLogFromACopy(t *testing.T) {
	for name, x := range map[string]struct {
		// lost is the number of changes that the copy lacks, and drills the number of returns from it.
		lost, drills int
	}{
		"one change is lost":      {1, 1},
		"several are lost":        {4, 1},
		"nothing is lost":         {0, 1},
		"twice from the same one": {4, 2},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			p, r := newLog(t, time.Hour)

			publish(t, r, 0, 1)
			publish(t, r, 1, 2)

			f, _ := start(t, r, false)
			awaitWeight(t, f, 2)

			c := p.Copy()

			for n := range x.lost {
				publish(t, r, uint64(n+2), float64(n+3))
			}

			last := float64(x.lost + 2)
			awaitWeight(t, f, last)

			for range x.drills {
				p.Restore(c)
				time.Sleep(300 * time.Millisecond)
				i.Equal(weight(f), last)
			}

			o := f.Order()

			// The operator has only what the log has.
			publish(t, r, 2, 50)
			awaitWeight(t, f, 50)
			i.Equal(f.Revision(), uint64(3))
			i.True(f.Order() > o)
			publish(t, r, 3, 51)
			awaitWeight(t, f, 51)

			// One that starts later arrives at the same configuration.
			g, _ := start(t, r, false)
			awaitWeight(t, g, 51)
			i.Equal(g.Order(), f.Order())
		})
	}
}

// Guards against a log that has grown past its old end before it is read: what lies below it was skipped.
func TestLogGrownPastItsOldEnd(t *testing.T) {
	i := is.New(t)
	p, r := newLog(t, time.Hour)

	publish(t, r, 0, 1)

	f, _ := start(t, r, false)
	awaitWeight(t, f, 1)

	c := p.Copy()

	publish(t, r, 1, 2)
	awaitWeight(t, f, 2)
	p.Restore(c)

	for n := range 5 {
		publish(t, r, uint64(n+1), float64(n+10))
	}

	awaitWeight(t, f, 14)
	i.Equal(f.Revision(), uint64(6))
}

// Guards against an answer of an earlier era that takes a reader back, and against eras that are mixed up with ends.
func TestRewoundBatches(t *testing.T) {
	for name, x := range map[string]struct {
		batch recorder.Batch
		want  bool
	}{
		"same end":             {recorder.Batch{Era: 2, Next: 7}, false},
		"later end":            {recorder.Batch{Era: 2, Next: 9}, false},
		"ends before":          {recorder.Batch{Era: 2, Next: 6}, true},
		"next era, later end":  {recorder.Batch{Era: 3, Next: 9}, true},
		"next era, lower end":  {recorder.Batch{Era: 3, Next: 1}, true},
		"earlier era":          {recorder.Batch{Era: 1, Next: 9}, false},
		"earlier, ends before": {recorder.Batch{Era: 1, Next: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(x.batch.Rewound(2, 7), x.want)
		})
	}
}

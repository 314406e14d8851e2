package evaluator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/evaluator"
)

// Guards against streams that begin seconds late because calls are still sent to a slow engine. A target
// is slow only after several answers, and only if its latency is high both in absolute terms and relative
// to its group.
func TestSlow(t *testing.T) {
	for name, tc := range map[string]struct {
		answers  []float64
		reported float64
		median   float64
		want     bool
	}{
		"no answers":                   {nil, 0, 0, false},
		"two answers":                  {[]float64{1, 1}, 0, 0, false},
		"three answers":                {[]float64{1, 1, 1}, 0, 0, true},
		"reported by another instance": {nil, 1, 0.2, true},
		"as slow as its group":         {[]float64{1, 1, 1}, 0, 0.5, false},
		"three times the median, but low": {
			[]float64{0.3, 0.3, 0.3}, 0, 0.1, false,
		},
		"recovered": {[]float64{1, 1, 1, 0.1, 0.1, 0.1, 0.1, 0.1}, 0, 0.1, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			e := evaluator.New[int]()

			for _, x := range tc.answers {
				e.RecordAnswer(1, x)
			}

			if tc.reported > 0 {
				e.SetLatency(1, tc.reported)
			}

			i.Equal(e.Slow(1, tc.median), tc.want)
		})
	}
}

// Guards against a slow target that gets no probe calls, or more than one per interval.
func TestProbeCalls(t *testing.T) {
	i := is.New(t)
	e := evaluator.New[int]()
	now := time.Unix(0, 0)

	e.RecordCall(now, 1)
	i.True(!e.ProbedRecently(now, 1)) // The target has no recorded latency.

	e.SetLatency(1, 1)
	e.RecordCall(now, 1)
	e.RecordCall(now.Add(900*time.Millisecond), 1)
	i.True(e.ProbedRecently(now.Add(999*time.Millisecond), 1))
	i.True(!e.ProbedRecently(now.Add(time.Second), 1))

	e.Forget(1)
	i.Equal(e.Latency(1), 0.0)
}

// Guards against a median that includes unknown latencies or depends on outliers.
func TestMedianLatency(t *testing.T) {
	i := is.New(t)
	e := evaluator.New[int]()
	i.Equal(e.MedianLatency([]int{1, 2, 3}), 0.0)

	e.SetLatency(1, 0.1)
	e.SetLatency(2, 0.3)
	e.SetLatency(3, 5)
	e.RecordAnswer(4, 9)
	i.Equal(e.MedianLatency([]int{1, 2, 3, 4, 5}), 0.3)
}

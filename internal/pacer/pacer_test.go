package pacer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/pacer"
)

// A caller would see its stream begin seconds late: an engine has become slow, and calls go on
// being sent there. It is slow only against the others, after a few answers, and when it is
// late at all.
func TestSlow(t *testing.T) {
	for name, tc := range map[string]struct {
		answers []float64
		learnt  float64
		usual   float64
		want    bool
	}{
		"nothing is known":      {nil, 0, 0, false},
		"two answers":           {[]float64{1, 1}, 0, 0, false},
		"three answers":         {[]float64{1, 1, 1}, 0, 0, true},
		"by the word of others": {nil, 1, 0.2, true},
		"late, but so are all":  {[]float64{1, 1, 1}, 0, 0.5, false},
		"three times the usual, and in time": {
			[]float64{0.3, 0.3, 0.3}, 0, 0.1, false,
		},
		"it was": {[]float64{1, 1, 1, 0.1, 0.1, 0.1, 0.1, 0.1}, 0, 0.1, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			p := pacer.New[int]()

			for _, x := range tc.answers {
				p.Begun(1, x)
			}

			if tc.learnt > 0 {
				p.Learn(1, tc.learnt)
			}

			i.Equal(p.Slow(1, tc.usual), tc.want)
		})
	}
}

// A slow target is given a call now and then, to see whether it still is.
func TestTrials(t *testing.T) {
	i := is.New(t)
	p := pacer.New[int]()
	now := time.Unix(0, 0)

	p.Started(now, 1)
	i.True(!p.Tried(now, 1)) // Nothing is known of it.

	p.Learn(1, 1)
	p.Started(now, 1)
	p.Started(now.Add(900*time.Millisecond), 1)
	i.True(p.Tried(now.Add(999*time.Millisecond), 1))
	i.True(!p.Tried(now.Add(time.Second), 1))

	p.Forget(1)
	i.Equal(p.Pace(1), 0.0)
}

// The usual pace is that of the one in the middle, of those that are known.
func TestUsual(t *testing.T) {
	i := is.New(t)
	p := pacer.New[int]()
	i.Equal(p.Usual([]int{1, 2, 3}), 0.0)

	p.Learn(1, 0.1)
	p.Learn(2, 0.3)
	p.Learn(3, 5)
	p.Begun(4, 9)
	i.Equal(p.Usual([]int{1, 2, 3, 4, 5}), 0.3)
}

package ejector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/ejector"
)

func TestEjector(t *testing.T) {
	type step struct {
		after time.Duration
		ok    bool
	}

	fail3 := []step{{0, false}, {0, false}, {0, false}}

	for name, tc := range map[string]struct {
		steps []step
		at    time.Duration
		out   bool
	}{
		"two failures are not enough":      {fail3[:2], 0, false},
		"three in a row eject":             {fail3, 500 * time.Millisecond, true},
		"a success between starts anew":    {[]step{{0, false}, {0, false}, {0, true}, {0, false}, {0, false}}, 0, false},
		"half-open after the base":         {fail3, 1100 * time.Millisecond, false},
		"a good probe brings it back":      {append(fail3[:3:3], step{1100 * time.Millisecond, true}), 0, false},
		"longer after a second ejection":   {append(fail3[:3:3], step{1100 * time.Millisecond, false}, step{0, false}, step{0, false}), 1500 * time.Millisecond, true},
		"which ends after twice the base.": {append(fail3[:3:3], step{1100 * time.Millisecond, false}, step{0, false}, step{0, false}), 2100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			e := ejector.New[uint32](ejector.DefaultSettings())
			now := time.Unix(0, 0)

			for _, s := range tc.steps {
				now = now.Add(s.after)
				e.Result(now, 1, s.ok)
			}

			i.Equal(e.Out(now.Add(tc.at), 1), tc.out)
		})
	}
}

// A failing target comes half-open. Let in all at once, its callers would all
// meet the failure again; one probe goes and the others stay away.
func TestProbeKeepsOthersAway(t *testing.T) {
	i := is.New(t)
	e := ejector.New[uint32](ejector.DefaultSettings())
	now := time.Unix(0, 0)

	for range 3 {
		e.Result(now, 1, false)
	}

	now = now.Add(2 * time.Second)
	i.True(!e.Out(now, 1))
	e.Probe(now, 1)
	i.True(e.Out(now, 1))
	e.Result(now, 1, true)
	i.True(!e.Out(now, 1))
}

// A router is cut off and every target fails for it. Ejecting them all would go
// on refusing calls after the cut has healed.
func TestPanic(t *testing.T) {
	for name, tc := range map[string]struct {
		failing int
		want    bool
	}{
		"none": {0, false}, "half": {2, false}, "most": {3, true}, "all": {4, true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			e := ejector.New[uint32](ejector.DefaultSettings())
			now := time.Unix(0, 0)

			for n := range tc.failing {
				for range 3 {
					e.Result(now, uint32(n), false)
				}
			}

			i.Equal(e.Panic(now, []uint32{0, 1, 2, 3}), tc.want)
		})
	}
}

package ejector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/ejector"
)

// Guards against targets that are ejected too early, too briefly, or not readmitted.
func TestEjector(t *testing.T) {
	type step struct {
		after time.Duration
		ok    bool
	}

	fail3 := []step{{0, false}, {0, false}, {0, false}}

	for name, tc := range map[string]struct {
		steps    []step
		at       time.Duration
		excluded bool
	}{
		"two failures":                              {fail3[:2], 0, false},
		"three consecutive failures":                {fail3, 500 * time.Millisecond, true},
		"success between failures":                  {[]step{{0, false}, {0, false}, {0, true}, {0, false}, {0, false}}, 0, false},
		"half-open after the base duration":         {fail3, 1100 * time.Millisecond, false},
		"readmitted by a successful probe":          {append(fail3[:3:3], step{1100 * time.Millisecond, true}), 0, false},
		"second ejection lasts longer":              {append(fail3[:3:3], step{1100 * time.Millisecond, false}, step{0, false}, step{0, false}), 1500 * time.Millisecond, true},
		"second ejection ends after twice the base": {append(fail3[:3:3], step{1100 * time.Millisecond, false}, step{0, false}, step{0, false}), 2100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			e := ejector.New[uint32](ejector.DefaultSettings())
			now := time.Unix(0, 0)

			for _, s := range tc.steps {
				now = now.Add(s.after)
				e.RecordResult(now, 1, s.ok)
			}

			i.Equal(e.Excluded(now.Add(tc.at), 1), tc.excluded)
		})
	}
}

// Guards against a burst of failed calls when a target becomes half-open: only one probe call is sent.
func TestProbeExcludesOtherRequests(t *testing.T) {
	i := is.New(t)
	e := ejector.New[uint32](ejector.DefaultSettings())
	now := time.Unix(0, 0)

	for range 3 {
		e.RecordResult(now, 1, false)
	}

	now = now.Add(2 * time.Second)
	i.True(!e.Excluded(now, 1))
	e.StartProbe(now, 1)
	i.True(e.Excluded(now, 1))
	e.RecordResult(now, 1, true)
	i.True(!e.Excluded(now, 1))
}

// Guards against a partitioned router, for which all targets fail, that keeps refusing calls after the
// network has recovered.
func TestPanicMode(t *testing.T) {
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
					e.RecordResult(now, uint32(n), false)
				}
			}

			i.Equal(e.PanicMode(now, []uint32{0, 1, 2, 3}), tc.want)
		})
	}
}

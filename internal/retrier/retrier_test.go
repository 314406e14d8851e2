package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/retrier"
)

func TestNext(t *testing.T) {
	now := time.Unix(0, 0)
	late := now.Add(time.Hour)

	for name, tc := range map[string]struct {
		attempt  retrier.Attempt
		deadline time.Time
		want     bool
	}{
		"a repeatable call is sent again":           {retrier.Attempt{Number: 1, Repeatable: true}, late, true},
		"not after a part was relayed":              {retrier.Attempt{Number: 1, Repeatable: true, Relayed: true}, late, false},
		"not for ever":                              {retrier.Attempt{Number: 4, Repeatable: true}, late, false},
		"not past the deadline":                     {retrier.Attempt{Number: 1, Repeatable: true}, now, false},
		"another call only when it was not run":     {retrier.Attempt{Number: 1, NotRun: true}, late, true},
		"and never when it may have run":            {retrier.Attempt{Number: 1}, late, false},
		"not even in the middle of the retry count": {retrier.Attempt{Number: 2}, late, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := retrier.New(rand.New(rand.NewPCG(1, 1)))
			_, ok := r.Next(now, tc.deadline, tc.attempt)
			i.Equal(ok, tc.want)
		})
	}
}

// All targets fail. Each call tries again, and the fleet gets four times its
// load just when it can bear least. The budget keeps retries to a tenth of the
// successes.
func TestTheBudgetStopsAStorm(t *testing.T) {
	i := is.New(t)
	r := retrier.New(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	n := 0

	for range 1000 {
		if _, ok := r.Next(now, now.Add(time.Hour), retrier.Attempt{Number: 1, Repeatable: true}); ok {
			n++
		}
	}

	i.Equal(n, 10) // what quiet times saved up

	for range 100 {
		r.Succeed()
	}

	n = 0

	for range 1000 {
		if _, ok := r.Next(now, now.Add(time.Hour), retrier.Attempt{Number: 1, Repeatable: true}); ok {
			n++
		}
	}

	i.True(n == 9 || n == 10) // a tenth of the successes
}

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
		"a repeatable request is retried":           {retrier.Attempt{Number: 1, Repeatable: true}, late, true},
		"not after a part of the answer is relayed": {retrier.Attempt{Number: 1, Repeatable: true, Relayed: true}, late, false},
		"not after the maximum number of attempts":  {retrier.Attempt{Number: 4, Repeatable: true}, late, false},
		"not past the deadline":                     {retrier.Attempt{Number: 1, Repeatable: true}, now, false},
		"not repeatable but not run":                {retrier.Attempt{Number: 1, NotRun: true}, late, true},
		"not repeatable and possibly run":           {retrier.Attempt{Number: 1}, late, false},
		"not repeatable, at a later attempt":        {retrier.Attempt{Number: 2}, late, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := retrier.New(rand.New(rand.NewPCG(1, 1)))
			_, ok := r.Next(now, tc.deadline, tc.attempt)
			i.Equal(ok, tc.want)
		})
	}
}

// Guards against a retry storm. When all targets fail and each request is retried, the fleet
// receives four times its load. The budget limits retries to a tenth of the successes.
func TestBudgetLimitsRetryStorm(t *testing.T) {
	i := is.New(t)
	r := retrier.New(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	n := 0

	for range 1000 {
		if _, ok := r.Next(now, now.Add(time.Hour), retrier.Attempt{Number: 1, Repeatable: true}); ok {
			n++
		}
	}

	i.Equal(n, 10) // the initial budget

	for range 100 {
		r.RecordSuccess()
	}

	n = 0

	for range 1000 {
		if _, ok := r.Next(now, now.Add(time.Hour), retrier.Attempt{Number: 1, Repeatable: true}); ok {
			n++
		}
	}

	i.True(n == 9 || n == 10) // a tenth of the successes
}

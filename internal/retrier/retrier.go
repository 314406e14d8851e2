// Package retrier decides whether a failed request is retried.
package retrier

import (
	"math/rand/v2"
	"time"
)

const (
	// budgetRatio is the number of retries that each success adds to the budget.
	budgetRatio = 0.1
	// maxBudget bounds the retries that accumulate while few requests fail, and thus the
	// burst of a retry storm. It is also the initial budget.
	maxBudget = 10.0
	// The backoff doubles from backoffBase up to backoffMax, with full jitter.
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
	// maxAttempts is the maximum number of attempts per request, including the first.
	maxAttempts = 4
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of the attempt, starting at 1.
	Number int
	// Repeatable reports that the request may run more than once.
	Repeatable bool
	// NotRun reports that the attempt provably did not run: the connection was refused, or
	// the target reported so.
	NotRun bool
	// Relayed reports that a part of the answer was already sent to the caller.
	Relayed bool
}

// Retrier holds a router's retry budget. It is not safe for concurrent use.
type Retrier struct {
	random *rand.Rand
	budget float64
}

// New returns a Retrier with a full budget.
func New(r *rand.Rand) *Retrier {
	return &Retrier{random: r, budget: maxBudget}
}

// RecordSuccess adds the ratio for one successful request to the budget.
func (r *Retrier) RecordSuccess() {
	r.budget = min(r.budget+budgetRatio, maxBudget)
}

// Next reports whether to retry, and the delay before the retry.
//
// Without the budget, retries would multiply the load of failing targets and keep them
// overloaded after the cause has been removed. With it, retries add at most a tenth of the
// successful requests.
func (r *Retrier) Next(now, deadline time.Time, a Attempt) (time.Duration, bool) {
	if a.Relayed || a.Number >= maxAttempts {
		return 0, false
	}

	if !a.Repeatable && !a.NotRun {
		return 0, false
	}

	d := min(backoffBase<<(a.Number-1), backoffMax)
	w := time.Duration(r.random.Int64N(int64(d)))

	if !now.Add(w).Before(deadline) || r.budget < 1 {
		return 0, false
	}

	r.budget--

	return w, true
}

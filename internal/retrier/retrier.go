// Package retrier decides whether a request that failed is sent again.
package retrier

import (
	"math/rand/v2"
	"time"
)

const (
	// budgetPart is how much of a retry each success pays for.
	budgetPart = 0.1
	// budgetMax bounds what quiet times save up for a storm, and is what a
	// router starts with.
	budgetMax = 10.0
	// The backoff doubles from backoffBase up to backoffMax, with full jitter.
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
	// maxAttempts bounds the attempts at one request, the first included.
	maxAttempts = 4
)

// Attempt is what is known of an attempt that failed.
type Attempt struct {
	// Number counts the attempts so far, from 1.
	Number int
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// NotRun says that the attempt provably did not run: the dial was refused,
	// or the target itself said so.
	NotRun bool
	// Relayed says that a part of the answer has reached the caller.
	Relayed bool
}

// Retrier holds a router's retry budget. It is not safe for concurrent use.
type Retrier struct {
	random *rand.Rand
	budget float64
}

// New returns a Retrier with a full budget.
func New(r *rand.Rand) *Retrier {
	return &Retrier{random: r, budget: budgetMax}
}

// Succeed pays into the budget.
func (r *Retrier) Succeed() {
	r.budget = min(r.budget+budgetPart, budgetMax)
}

// Next says whether to send again, and how long to wait before.
//
// Without the budget a fleet whose targets fail multiplies its load just then,
// and stays down after the cause is gone; with it retries add at most a tenth.
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

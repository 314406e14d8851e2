// Package suppressor tracks the targets that refused a call and requested a backoff, for example with a
// Retry-After header. No calls are sent to a target during its backoff.
//
// Load pattern: a few of many engines are overloaded and refuse every call, stating for how long they accept
// none. The calls whose prompts these engines have cached are sent to them repeatedly, since the engines appear
// idle, and each such call wastes one of its attempts. When the backoff expires, all waiting calls would arrive
// at once and overload the engines again.
//
// A backoff is observed until it expires, even if no other target remains: refusing the call with the remaining
// time serves the caller better than a call that the target refuses. After expiry a single probe call is
// permitted, and more with each call that is answered.
package suppressor

import (
	"time"
)

const (
	// maxBackoff bounds a backoff, so that a target that states an excessive time is tried again eventually.
	maxBackoff = 10 * time.Minute
	// recoveryAnswers is how many answers after a backoff lift the limit on concurrent probe calls.
	recoveryAnswers = 4
	// probeTimeout is how long a probe call may be unanswered before another is permitted.
	probeTimeout = time.Second
	// probeRetryDelay is the wait that is reported while a probe call is unanswered.
	probeRetryDelay = 200 * time.Millisecond
	// retention is how long an expired backoff is remembered if no call follows it.
	retention = time.Minute
)

// backoff is the state of a target that has requested a backoff.
type backoff struct {
	expiry time.Time
	// sent counts the calls sent after expiry, the latest of them at lastSent. answered counts those of them
	// whose answers have begun.
	sent, answered int
	lastSent       time.Time
}

// Suppressor holds the backoffs of targets, which have keys of the type K. It is not safe for concurrent use.
type Suppressor[K comparable] struct {
	backoffs map[K]*backoff
}

// New returns a suppressor without backoffs.
func New[K comparable]() *Suppressor[K] {
	return &Suppressor[K]{backoffs: make(map[K]*backoff)}
}

// StartBackoff starts a backoff of a target. A shorter backoff does not replace a longer one, since the answers to
// calls that were sent together may arrive in any order.
func (s *Suppressor[K]) StartBackoff(now time.Time, k K, d time.Duration) {
	s.expire(now)

	u := now.Add(min(d, maxBackoff))

	r, ok := s.backoffs[k]
	if ok && r.expiry.After(u) {
		u = r.expiry
	}

	s.backoffs[k] = &backoff{expiry: u}
}

// InBackoff reports whether the backoff of a target has not expired yet.
func (s *Suppressor[K]) InBackoff(now time.Time, k K) bool {
	r, ok := s.backoffs[k]

	return ok && now.Before(r.expiry)
}

// Wait returns the time until a call may be sent to a target; zero if it may be sent now.
func (s *Suppressor[K]) Wait(now time.Time, k K) time.Duration {
	r, ok := s.backoffs[k]

	switch {
	case !ok:
		return 0
	case now.Before(r.expiry):
		return r.expiry.Sub(now)
	case r.sent-r.answered <= r.answered || now.Sub(r.lastSent) >= probeTimeout:
		return 0
	default:
		return probeRetryDelay
	}
}

// RecordSent counts a call that is sent to a target.
func (s *Suppressor[K]) RecordSent(now time.Time, k K) {
	if r, ok := s.backoffs[k]; ok {
		r.sent++
		r.lastSent = now
	}
}

// Withdraw reverts RecordSent for a call that was not sent after all.
func (s *Suppressor[K]) Withdraw(k K) {
	if r, ok := s.backoffs[k]; ok {
		r.sent = max(r.sent-1, 0)
	}
}

// RecordAnswer records that a target has begun to answer a call. Answers during a backoff, or to calls sent before
// it expired, are ignored: they do not show that the target has recovered.
func (s *Suppressor[K]) RecordAnswer(now time.Time, k K) {
	r, ok := s.backoffs[k]
	if !ok || now.Before(r.expiry) || r.sent == r.answered {
		return
	}

	r.answered++
	if r.answered >= recoveryAnswers {
		delete(s.backoffs, k)
	}
}

// expire drops the backoffs that expired at least the retention period ago.
func (s *Suppressor[K]) expire(now time.Time) {
	for k, r := range s.backoffs {
		if now.Sub(r.expiry) >= retention {
			delete(s.backoffs, k)
		}
	}
}

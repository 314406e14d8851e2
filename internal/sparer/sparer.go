// Package sparer decides which targets an instance sends no calls, since they have asked it for rest
// as they turned a call away.
//
// Load pattern: a few of many engines have more than they can do and turn each call away, with a word
// on how long they want none. Those calls whose prompts they hold come to them again and again, as
// they seem to idle, and each costs its caller a try. At the end of the rest all that waited would
// come at once and bring them down again.
//
// A rest is kept to its end, also where no other target is left: there a refusal that tells when the
// rest is over serves callers better than a call that is turned away. After it one call goes, and
// more with each that is answered.
package sparer

import (
	"time"
)

const (
	// longest bounds a rest, so that a target whose word is absurd is asked again some day.
	longest = 10 * time.Minute
	// enough is how many answers after a rest end the care that is taken of a target.
	enough = 4
	// trialFor is how long a call that went after a rest may be without an answer before another may
	// go.
	trialFor = time.Second
	// trialWait is when to come back while such a call is without an answer.
	trialWait = 200 * time.Millisecond
	// keptFor is how long after its end a rest is remembered for which no call has come.
	keptFor = time.Minute
)

// rest is one that a target has asked for.
type rest struct {
	until time.Time
	// sent are the calls that went after the end, the last of them at last, and answered the answers
	// that have begun since.
	sent, answered int
	last           time.Time
}

// Sparer keeps the rests that targets, which have keys of the type K, have asked for. It is not safe
// for concurrent use.
type Sparer[K comparable] struct {
	rests map[K]*rest
}

// New returns a Sparer that knows of no rest.
func New[K comparable]() *Sparer[K] {
	return &Sparer[K]{rests: make(map[K]*rest)}
}

// Rest takes that a target wants no calls for a time. A shorter rest does not end a longer one: the
// answers to calls that were sent together may come in any order.
func (s *Sparer[K]) Rest(now time.Time, k K, d time.Duration) {
	s.forget(now)

	u := now.Add(min(d, longest))

	r, ok := s.rests[k]
	if ok && r.until.After(u) {
		u = r.until
	}

	s.rests[k] = &rest{until: u}
}

// Resting says that a target wants no calls now.
func (s *Sparer[K]) Resting(now time.Time, k K) bool {
	r, ok := s.rests[k]

	return ok && now.Before(r.until)
}

// Wait returns how long it takes until a call may go to a target; zero when it may now.
func (s *Sparer[K]) Wait(now time.Time, k K) time.Duration {
	r, ok := s.rests[k]

	switch {
	case !ok:
		return 0
	case now.Before(r.until):
		return r.until.Sub(now)
	case r.sent-r.answered <= r.answered || now.Sub(r.last) >= trialFor:
		return 0
	default:
		return trialWait
	}
}

// Sent takes that a call goes to a target.
func (s *Sparer[K]) Sent(now time.Time, k K) {
	if r, ok := s.rests[k]; ok {
		r.sent++
		r.last = now
	}
}

// Withdraw takes back that a call goes to a target.
func (s *Sparer[K]) Withdraw(k K) {
	if r, ok := s.rests[k]; ok {
		r.sent = max(r.sent-1, 0)
	}
}

// Answered takes that a target begins to answer a call. The answer to one from before the end of a
// rest shows nothing.
func (s *Sparer[K]) Answered(now time.Time, k K) {
	r, ok := s.rests[k]
	if !ok || now.Before(r.until) || r.sent == r.answered {
		return
	}

	r.answered++
	if r.answered >= enough {
		delete(s.rests, k)
	}
}

// forget drops the rests that ended long ago.
func (s *Sparer[K]) forget(now time.Time) {
	for k, r := range s.rests {
		if now.Sub(r.until) >= keptFor {
			delete(s.rests, k)
		}
	}
}

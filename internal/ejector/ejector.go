// Package ejector excludes failing targets and readmits them after a successful probe call (outlier
// ejection).
package ejector

import "time"

// Settings are the parameters of an Ejector.
type Settings struct {
	// Failures is the number of consecutive failures after which a target is ejected.
	Failures int
	// Base is the duration of the first ejection; each further one lasts twice as long.
	Base time.Duration
	// Max is the longest duration of an ejection.
	Max time.Duration
	// PanicThreshold is the fraction of the targets that may be excluded. If more of them fail, the fault is
	// more likely at this instance than at the targets, and all of them are used again.
	PanicThreshold float64
}

// DefaultSettings returns the settings that routers use.
func DefaultSettings() Settings {
	return Settings{Failures: 3, Base: time.Second, Max: 30 * time.Second, PanicThreshold: 0.5}
}

type state struct {
	// failures is the number of consecutive failures. The duration of the next ejection depends on ejections,
	// the number of ejections less the successes since.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// probeUntil is the time until which the target is excluded because a probe call is in progress.
	probeUntil time.Time
}

// probeTimeout is how long a probe call without a result excludes the target for other requests.
const probeTimeout = 10 * time.Second

// Ejector tracks the failures of targets, which have keys of type K. It is not safe for concurrent use.
type Ejector[K comparable] struct {
	settings Settings
	states   map[K]*state
}

// New returns an Ejector that excludes no target.
func New[K comparable](s Settings) *Ejector[K] {
	return &Ejector[K]{settings: s, states: make(map[K]*state)}
}

// RecordResult records the result of a request to a target.
func (e *Ejector[K]) RecordResult(now time.Time, target K, ok bool) {
	s, found := e.states[target]
	if ok {
		// A success reduces the number of ejections by one only. If it reset the number, each
		// ejection of a flapping target would be as short as the first.
		if found {
			e.recordSuccess(target, s)
		}

		return
	}

	if !found {
		s = &state{}
		e.states[target] = s
	}

	s.failures++
	p := !s.probeUntil.IsZero()
	s.probeUntil = time.Time{}

	if s.failures < e.settings.Failures && !p {
		return
	}

	d := min(e.settings.Base<<min(s.ejections, 16), e.settings.Max)
	s.ejectedUntil = now.Add(d)
	s.ejections++
	s.failures = 0
}

func (e *Ejector[K]) recordSuccess(target K, s *state) {
	s.failures = 0
	s.probeUntil = time.Time{}
	s.ejectedUntil = time.Time{}
	s.ejections--

	if s.ejections <= 0 {
		delete(e.states, target)
	}
}

// Excluded reports whether a target is excluded. After an ejection the target is half-open: it accepts one
// request, the probe call, and is excluded for all others until the result.
func (e *Ejector[K]) Excluded(now time.Time, target K) bool {
	s, ok := e.states[target]
	if !ok || s.ejectedUntil.IsZero() {
		return false
	}

	return now.Before(s.ejectedUntil) || now.Before(s.probeUntil)
}

// StartProbe records that a request is sent to a target. If the target is half-open, the request is the probe
// call, and the target is excluded until the result of the probe call is recorded, at most for probeTimeout.
func (e *Ejector[K]) StartProbe(now time.Time, target K) {
	s, ok := e.states[target]
	if ok && !s.ejectedUntil.IsZero() {
		s.probeUntil = now.Add(probeTimeout)
	}
}

// CancelProbe records that the probe call of a half-open target ended without a result, and permits another
// one.
func (e *Ejector[K]) CancelProbe(target K) {
	if s, ok := e.states[target]; ok {
		s.probeUntil = time.Time{}
	}
}

// PanicMode reports whether so many of the targets are excluded that exclusion must be ignored. A router that
// is partitioned sees all targets fail, and would otherwise keep refusing all requests after the network
// has recovered.
func (e *Ejector[K]) PanicMode(now time.Time, targets []K) bool {
	n := 0

	for _, t := range targets {
		if e.Excluded(now, t) {
			n++
		}
	}

	return float64(n) > e.settings.PanicThreshold*float64(len(targets))
}

// Forget drops the state of a target.
func (e *Ejector[K]) Forget(target K) {
	delete(e.states, target)
}

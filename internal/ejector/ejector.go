// Package ejector takes failing targets out of service and lets them back in.
package ejector

import "time"

// Settings bounds the ejector.
type Settings struct {
	// Failures in a row that eject a target.
	Failures int
	// Base is how long the first ejection lasts; each further one doubles it.
	Base time.Duration
	// Max is the longest ejection.
	Max time.Duration
	// PanicPart is the part of the targets that may be out. When more fail, the
	// fault is more likely here than there, and all are used again.
	PanicPart float64
}

// DefaultSettings returns the settings that routers use.
func DefaultSettings() Settings {
	return Settings{Failures: 3, Base: time.Second, Max: 30 * time.Second, PanicPart: 0.5}
}

type state struct {
	failures int
	times    int
	until    time.Time
	// probing is until when one request is out as a half-open probe.
	probing time.Time
}

// probeTimeout is how long a probe without a result keeps others away.
const probeTimeout = 10 * time.Second

// Ejector follows the outcomes of targets, which have keys of the type K. It is not safe
// for concurrent use.
type Ejector[K comparable] struct {
	settings Settings
	states   map[K]*state
}

// New returns an Ejector in which every target is in service.
func New[K comparable](s Settings) *Ejector[K] {
	return &Ejector[K]{settings: s, states: make(map[K]*state)}
}

// Result takes the outcome of a request to a target.
func (e *Ejector[K]) Result(now time.Time, target K, ok bool) {
	s, found := e.states[target]
	if ok {
		// A target that flaps would be back at full length with every success;
		// its number of ejections falls one at a time instead.
		if found {
			e.succeed(target, s)
		}

		return
	}

	if !found {
		s = &state{}
		e.states[target] = s
	}

	s.failures++
	p := !s.probing.IsZero()
	s.probing = time.Time{}

	if s.failures < e.settings.Failures && !p {
		return
	}

	d := min(e.settings.Base<<min(s.times, 16), e.settings.Max)
	s.until = now.Add(d)
	s.times++
	s.failures = 0
}

func (e *Ejector[K]) succeed(target K, s *state) {
	s.failures = 0
	s.probing = time.Time{}
	s.until = time.Time{}
	s.times--

	if s.times <= 0 {
		delete(e.states, target)
	}
}

// Out says that a target is ejected at a time. When its time is over it stays
// out for all but one request, the probe.
func (e *Ejector[K]) Out(now time.Time, target K) bool {
	s, ok := e.states[target]
	if !ok || s.until.IsZero() {
		return false
	}

	return now.Before(s.until) || now.Before(s.probing)
}

// Probe notes that a request was sent to a target. When the target is
// half-open, it keeps others away until the result is in.
func (e *Ejector[K]) Probe(now time.Time, target K) {
	s, ok := e.states[target]
	if ok && !s.until.IsZero() {
		s.probing = now.Add(probeTimeout)
	}
}

// Abandon notes that the probe of a half-open target ended without a result.
func (e *Ejector[K]) Abandon(target K) {
	if s, ok := e.states[target]; ok {
		s.probing = time.Time{}
	}
}

// Panic says that so many of the targets are out that ejection is to be
// ignored. A router that is itself cut off sees every target fail; without
// this it would refuse everything after the cut has healed.
func (e *Ejector[K]) Panic(now time.Time, targets []K) bool {
	n := 0

	for _, t := range targets {
		if e.Out(now, t) {
			n++
		}
	}

	return float64(n) > e.settings.PanicPart*float64(len(targets))
}

// Forget drops what is known of a target.
func (e *Ejector[K]) Forget(target K) {
	delete(e.states, target)
}

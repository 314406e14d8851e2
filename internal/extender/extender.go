// Package extender makes contexts that last while something arrives.
//
// A time for a whole answer fits one length only: what is long, or comes over a thin link, is given up on its
// way each time that it is asked for.
package extender

import (
	"context"
	"sync"
	"time"
)

const (
	// SilentAfter is in how much time at least a piece of an answer arrives that is on its way.
	SilentAfter = 300 * time.Millisecond
	// LongMost bounds an answer that goes on arriving. A configuration of two megabytes takes a link of
	// 10 Mbit/s that long when callers take two thirds of it.
	LongMost = 5 * time.Second
)

// Arriving returns the settings of a context for an answer that begins within a time, and lasts while it
// arrives.
func Arriving(within time.Duration) Settings {
	return Settings{First: within, Gap: SilentAfter, Most: LongMost}
}

// Settings say how long a context lasts.
type Settings struct {
	// First is how long it lasts when nothing arrives; zero sets no bound.
	First time.Duration
	// Gap is how long it lasts after something has arrived, if that is later than First.
	Gap time.Duration
	// Most is how long it lasts in any case, when First is set.
	Most time.Duration
	// Came is called each time that something arrives; it may be nil.
	Came func()
}

// key is that of an extender in a context.
type key struct{}

// extender moves the end of one context.
type extender struct {
	settings Settings
	// outer is that of the context that this one was made from, nil when there is none.
	outer *extender
	end   context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time
	last     time.Time
}

// New returns a context that Extend extends, and what releases it. Its cause is context.DeadlineExceeded once
// its time is over.
func New(c context.Context, s Settings) (context.Context, context.CancelFunc) {
	x, end := context.WithCancelCause(c)
	o, _ := c.Value(key{}).(*extender)
	e := &extender{settings: s, outer: o, end: end}

	stop := func() { end(context.Canceled) }

	if s.First > 0 {
		n := time.Now()

		e.mu.Lock()
		e.deadline, e.last = n.Add(s.First), n.Add(s.Most)
		e.timer = time.AfterFunc(s.First, e.look)
		e.mu.Unlock()

		stop = func() {
			e.timer.Stop()
			end(context.Canceled)
		}
	}

	return context.WithValue(x, key{}, e), stop
}

// Extend tells a context, and those that it was made from, that something has arrived. It does nothing to
// contexts that New did not make.
func Extend(c context.Context) {
	e, _ := c.Value(key{}).(*extender)
	for ; e != nil; e = e.outer {
		e.extend()
	}
}

func (e *extender) extend() {
	if e.settings.Came != nil {
		e.settings.Came()
	}

	if e.settings.First <= 0 {
		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	d := time.Now().Add(e.settings.Gap)
	if d.After(e.last) {
		d = e.last
	}

	if d.After(e.deadline) {
		e.deadline = d
	}
}

// look ends the context, or looks again when its end has moved.
func (e *extender) look() {
	e.mu.Lock()
	defer e.mu.Unlock()

	if d := time.Until(e.deadline); d > 0 {
		e.timer.Reset(d)

		return
	}

	e.end(context.DeadlineExceeded)
}

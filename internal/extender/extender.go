// Package extender makes contexts with an idle time-out: their deadline is extended while data arrives.
//
// A fixed time-out for a whole answer suits one length only: a long answer, or one over a narrow-bandwidth
// link, would be aborted on its way on every attempt.
package extender

import (
	"context"
	"sync"
	"time"
)

const (
	// IdleTimeout is the idle time-out: the longest time between two parts of an answer in transfer.
	IdleTimeout = 300 * time.Millisecond
	// MaxTransfer bounds the total duration of a transfer. A configuration of 2 MB takes this long over a link
	// of 10 Mbit/s of which callers use two thirds.
	MaxTransfer = 5 * time.Second
)

// DefaultSettings returns the settings of a context for an answer that begins within a time and may last while
// parts of it arrive.
func DefaultSettings(within time.Duration) Settings {
	return Settings{Initial: within, Idle: IdleTimeout, Max: MaxTransfer}
}

// Settings are the time-outs of a context.
type Settings struct {
	// Initial is the time-out while nothing arrives; zero means that the context has no deadline of its own.
	Initial time.Duration
	// Idle is the time-out after each arrival. An arrival never moves the deadline to an earlier time.
	Idle time.Duration
	// Max bounds the total duration; it has no effect if Initial is zero.
	Max time.Duration
	// OnExtend is called on each arrival; it may be nil.
	OnExtend func()
}

// key is the key of the extender in a context.
type key struct{}

// extender moves the deadline of one context.
type extender struct {
	settings Settings
	// parent is the extender of the parent context, nil if there is none.
	parent *extender
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time
	limit    time.Time
}

// New returns a context whose deadline Extend moves, and a function that releases it. Once the deadline has
// passed, the cause of the context is context.DeadlineExceeded.
func New(c context.Context, s Settings) (context.Context, context.CancelFunc) {
	x, end := context.WithCancelCause(c)
	o, _ := c.Value(key{}).(*extender)
	e := &extender{settings: s, parent: o, cancel: end}

	stop := func() { end(context.Canceled) }

	if s.Initial > 0 {
		n := time.Now()

		e.mu.Lock()
		e.deadline, e.limit = n.Add(s.Initial), n.Add(s.Max)
		e.timer = time.AfterFunc(s.Initial, e.expire)
		e.mu.Unlock()

		stop = func() {
			e.timer.Stop()
			end(context.Canceled)
		}
	}

	return context.WithValue(x, key{}, e), stop
}

// Extend reports that data has arrived: it moves the deadlines of a context and of its parents to Idle from now,
// if that is later, but not past Max, and calls OnExtend. It does nothing to contexts that New did not make.
// It is safe for concurrent use if the callbacks in the settings are.
func Extend(c context.Context) {
	e, _ := c.Value(key{}).(*extender)
	for ; e != nil; e = e.parent {
		e.extend()
	}
}

func (e *extender) extend() {
	if e.settings.OnExtend != nil {
		e.settings.OnExtend()
	}

	if e.settings.Initial <= 0 {
		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	d := time.Now().Add(e.settings.Idle)
	if d.After(e.limit) {
		d = e.limit
	}

	if d.After(e.deadline) {
		e.deadline = d
	}
}

// expire cancels the context, or sets the timer anew if the deadline has moved.
func (e *extender) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()

	if d := time.Until(e.deadline); d > 0 {
		e.timer.Reset(d)

		return
	}

	e.cancel(context.DeadlineExceeded)
}

// Package logger writes lines of log without ever holding up who logs.
package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// depth is how many lines may wait for a reader that is slow, about 400 KB.
	depth = 2048
	// perSecond and burst bound the lines. An instance at its usual load writes
	// about forty a second; in an outage each call has a few.
	perSecond = 400
	burst     = 2000
	// tellEvery is how often it is said how many lines were dropped.
	tellEvery = time.Second
)

// Logger is an io.Writer that passes lines on to another in the background. Lines
// over its bounds are dropped and counted. It is safe for concurrent use.
type Logger struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	total   atomic.Int64
	failed  atomic.Int64
	done    chan struct{}
}

// New returns a Logger that writes to w, and its clean-up function, which waits a
// moment for the lines that are left.
func New(w io.Writer) (*Logger, func()) {
	l := &Logger{lines: make(chan []byte, depth), limit: rate.NewLimiter(perSecond, burst), done: make(chan struct{})}
	end := make(chan struct{})

	go l.run(w, end)

	return l, func() {
		close(end)

		// A reader that stalls must not hold up the end of the process either.
		select {
		case <-l.done:
		case <-time.After(tellEvery):
		}
	}
}

// Write takes a line. It never fails and never waits: a reader that stalls, or a
// flood of lines, must not hold up the calls that the lines are about.
func (l *Logger) Write(b []byte) (int, error) {
	if !l.limit.Allow() {
		l.drop()

		return len(b), nil
	}

	select {
	case l.lines <- append([]byte(nil), b...):
	default:
		l.drop()
	}

	return len(b), nil
}

// Dropped returns how many lines were dropped since the start.
func (l *Logger) Dropped() int64 {
	return l.total.Load()
}

// Failed returns how many lines could not be written since the start: nobody reads them
// any more, say.
func (l *Logger) Failed() int64 {
	return l.failed.Load()
}

func (l *Logger) drop() {
	l.dropped.Add(1)
	l.total.Add(1)
}

func (l *Logger) run(w io.Writer, end chan struct{}) {
	defer close(l.done)

	t := time.NewTicker(tellEvery)
	defer t.Stop()

	for {
		select {
		case b := <-l.lines:
			l.pass(w, b)
		case <-t.C:
			l.tell(w)
		case <-end:
			l.flush(w)

			return
		}
	}
}

// pass writes a line. One that can't be written is counted, and the next is tried all the
// same: there is nowhere else to tell it, and a full disk may have room again.
func (l *Logger) pass(w io.Writer, b []byte) {
	if _, err := w.Write(b); err != nil {
		l.failed.Add(1)
	}
}

// tell writes how many lines were dropped since it last did.
func (l *Logger) tell(w io.Writer) {
	if n := l.dropped.Swap(0); n > 0 {
		l.pass(w, fmt.Appendf(nil, "time=%q level=warning event=linesDropped lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n))
	}
}

func (l *Logger) flush(w io.Writer) {
	for {
		select {
		case b := <-l.lines:
			l.pass(w, b)
		default:
			l.tell(w)

			return
		}
	}
}

// Package logger writes log lines in the background, so that logging never blocks the caller.
package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that are queued while the writer blocks, about 400 KB.
	queueLines = 2048
	// linesPerSecond and burstLines limit the rate. An instance writes about 40 lines per second under
	// its usual load and a few lines per call during an outage.
	linesPerSecond = 400
	burstLines     = 2000
	// reportInterval is the time between two log lines on the number of dropped lines.
	reportInterval = time.Second
	// flushTimeout bounds the clean-up function.
	flushTimeout = time.Second
)

// Logger is an io.Writer that forwards lines to another writer in the background. Lines that exceed
// the rate limit or the queue are dropped and counted. It is safe for concurrent use.
type Logger struct {
	lines chan []byte
	limit *rate.Limiter
	// unreported is the number of dropped lines since the last report.
	unreported atomic.Int64
	dropped    atomic.Int64
	failed     atomic.Int64
	done       chan struct{}
}

// New returns a Logger that writes to w, and its clean-up function, which waits up to a second until
// the queued lines are written.
func New(w io.Writer) (*Logger, func()) {
	l := &Logger{lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerSecond, burstLines), done: make(chan struct{})}
	stop := make(chan struct{})

	go l.run(w, stop)

	return l, func() {
		close(stop)

		// A reader that has stalled must not delay the exit of the process.
		select {
		case <-l.done:
		case <-time.After(flushTimeout):
		}
	}
}

// Write queues a copy of a line. It never fails or blocks, as neither a stalled reader nor a flood of
// lines may delay the calls that log. A line that can't be queued is dropped and counted.
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

// Dropped returns the number of lines dropped since the start.
func (l *Logger) Dropped() int64 {
	return l.dropped.Load()
}

// Failed returns the number of lines since the start whose write failed, for example because the
// reader of the pipe is gone.
func (l *Logger) Failed() int64 {
	return l.failed.Load()
}

func (l *Logger) drop() {
	l.unreported.Add(1)
	l.dropped.Add(1)
}

func (l *Logger) run(w io.Writer, stop chan struct{}) {
	defer close(l.done)

	t := time.NewTicker(reportInterval)
	defer t.Stop()

	for {
		select {
		case b := <-l.lines:
			l.write(w, b)
		case <-t.C:
			l.reportDropped(w)
		case <-stop:
			l.flush(w)

			return
		}
	}
}

// write writes a line and counts a failure. Later lines are still tried: the failure can't be logged
// elsewhere, and it may pass, as when a full disk has free space again.
func (l *Logger) write(w io.Writer, b []byte) {
	if _, err := w.Write(b); err != nil {
		l.failed.Add(1)
	}
}

// reportDropped logs the number of lines dropped since the last report, if any.
func (l *Logger) reportDropped(w io.Writer) {
	if n := l.unreported.Swap(0); n > 0 {
		l.write(w, fmt.Appendf(nil, "time=%q level=warning event=linesDropped lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n))
	}
}

// flush writes the queued lines and reports the dropped ones.
func (l *Logger) flush(w io.Writer) {
	for {
		select {
		case b := <-l.lines:
			l.write(w, b)
		default:
			l.reportDropped(w)

			return
		}
	}
}

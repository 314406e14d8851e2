// Package watcher follows a stream of keyed records: the newest record of each
// key first, then the changes as they come.
package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/sleeper"
)

// ErrForgotten is what a Source returns when the records after an offset are no
// longer kept.
var ErrForgotten = errors.New("the records are no longer kept")

const (
	// waitPart is how long a read waits for a change, as a part of the time that waits may take. Each read
	// has a price, but one that was under way when the network was cut is never answered, and nothing is
	// heard until it is given up after extender.SilentAfter more. Others may read through this instance and are
	// blind for as long.
	waitPart = 0.35
	// newestTimeout bounds a read of all keys. The source answers within a few
	// milliseconds, a quarter of a second when it is slow; but three thousand targets are
	// 1.2 MB, which takes a link of 10 Mbit/s a second when it carries nothing else. Given
	// up sooner, the list would be begun anew each time and never come.
	newestTimeout = 2500 * time.Millisecond
	// While reads fail they do not wait for changes, and are given up after
	// shortTimeout: a wait that began during an outage would hide its end.
	shortTimeout = 600 * time.Millisecond
	// The pause after a failed read is random up to a bound that doubles with each
	// failure in a row. The source may be back any moment, but in a long outage
	// every instance asks, and each refusal has a price.
	retryLeast = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// maxDoublings bounds the exponent; by then retryMost is reached.
	maxDoublings = 4
)

// Record is the newest value of a key. No value means that the key was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Source reads one stream. It calls extender.Extend as a long answer arrives, or the read is given up on its way.
type Source interface {
	// Newest returns the newest record of each key, and the offset after the
	// last record that is surely among them.
	Newest(c context.Context) ([]Record, int64, error)
	// Follow returns the records from an offset on, in their order, and the
	// offset after the last. It waits for one up to a time.
	Follow(c context.Context, from int64, wait time.Duration) ([]Record, int64, error)
}

// Sink takes what a Watcher reads.
type Sink interface {
	// Reset takes the newest record of each key, and the offset after the last record
	// that is surely among them. It fails when they are from an older state than what the
	// Sink was given before, and then nothing has changed; they are read again.
	Reset(l []Record, end int64) error
	// Change takes one record.
	Change(r Record)
	// Read is called after each read that succeeded, with how long the source
	// had been away before it; zero when it had not.
	Read(away time.Duration)
	// Failed is called after each read that failed.
	Failed(err error)
}

// Watcher follows one stream. Its method Run may be called once.
type Watcher struct {
	name   string
	source Source
	sink   Sink
	// rest is the pause after a read that brought records, so that a stream
	// which changes all the time is read a few times a second at most.
	rest time.Duration
	// wait is how long a read waits for a change.
	wait time.Duration

	next   int64
	failed time.Time
	// failures counts the failed reads in a row.
	failures int
}

// New returns a Watcher with the stream's name in logs, the pause after a read that brought records,
// and the time that all waits along the way of a change may take together, see Waits.
func New(name string, s Source, k Sink, rest, waits time.Duration) *Watcher {
	return &Watcher{name: name, source: s, sink: k, rest: rest, wait: time.Duration(waitPart * float64(waits)), next: -1}
}

const (
	// carryTime is how long a long record may take to come to all, beside the waits: a megabyte takes a link
	// of 10 Mbit/s most of a second, and must be decoded.
	carryTime = time.Second
	// waitsLeast is the time for waits that is left in any case: reads have a price.
	waitsLeast = 2 * time.Second
)

// Waits returns the time that all waits along the way of a change may take together, when its record may be long
// and it must be in force everywhere within a time.
func Waits(within time.Duration) time.Duration {
	return min(within, max(waitsLeast, within-carryTime))
}

// Run follows the stream until the context ends.
func (w *Watcher) Run(c context.Context) {
	for c.Err() == nil {
		n, err := w.read(c)

		switch {
		case c.Err() != nil:
		case err != nil:
			w.fail(err)
			sleeper.Sleep(c, w.backoff())
		default:
			w.succeed()

			if n > 0 {
				sleeper.Sleep(c, w.rest)
			}
		}
	}
}

// read takes the next step and returns how many records it brought.
func (w *Watcher) read(c context.Context) (int, error) {
	if w.next < 0 {
		return w.reset(c)
	}

	d, most := w.wait, w.wait+extender.SilentAfter
	if !w.failed.IsZero() {
		d, most = 0, shortTimeout
	}

	x, stop := extender.New(c, extender.Arriving(most))
	defer stop()

	l, n, err := w.source.Follow(x, w.next, d)
	if errors.Is(err, ErrForgotten) {
		logrus.WithFields(logrus.Fields{"event": "historyForgotten", "stream": w.name, "offset": w.next}).Warn()

		return w.reset(c)
	}

	if err != nil {
		return 0, err
	}

	for _, r := range l {
		w.sink.Change(r)
	}

	w.next = n

	return len(l), nil
}

// reset reads the newest record of each key.
//
// Reads may be answered from an older state than the one already seen. Such an
// answer shows by its end, and taking it would bring back what was dropped.
func (w *Watcher) reset(c context.Context) (int, error) {
	x, stop := extender.New(c, extender.Arriving(newestTimeout))
	defer stop()

	l, n, err := w.source.Newest(x)
	if err != nil {
		return 0, err
	}

	if n < w.next {
		return 0, errors.Newf("the answer ends at %d, before %d that was read already", n, w.next)
	}

	if err := w.sink.Reset(l, n); err != nil {
		return 0, err
	}

	w.next = n

	return len(l), nil
}

// backoff returns the pause after the failures so far.
func (w *Watcher) backoff() time.Duration {
	m := min(retryLeast<<min(w.failures, maxDoublings), retryMost)

	return m/2 + rand.N(m/2) //nolint:gosec // Spreads reads.
}

func (w *Watcher) fail(err error) {
	w.failures++

	if w.failed.IsZero() {
		w.failed = time.Now()
		logrus.WithFields(logrus.Fields{"event": "streamLost", "stream": w.name, "offset": w.next, "error": err}).Warn()
	}

	w.sink.Failed(err)
}

func (w *Watcher) succeed() {
	var d time.Duration

	w.failures = 0

	if !w.failed.IsZero() {
		d = time.Since(w.failed)
		w.failed = time.Time{}
		logrus.WithFields(logrus.Fields{"event": "streamRegained", "stream": w.name, "offset": w.next, "away": d}).Info()
	}

	w.sink.Read(d)
}

// Package watcher follows a stream of keyed records: it reads the newest record
// of each key, then the changes as they are appended.
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

// ErrTruncated is returned by a Source when the stream no longer has the records from
// a position on: it has dropped them, or a new era has begun.
var ErrTruncated = errors.New("the stream no longer retains the records")

const (
	// waitFraction is the part of the wait budget for which a read waits for a change. Longer waits cost fewer
	// reads, each of which is billed. But a read that is in progress when the network partitions never returns,
	// and no change is received until it times out, extender.IdleTimeout after its wait. Nor do the instances that
	// read through this one receive changes during that time.
	waitFraction = 0.35
	// newestTimeout bounds a read of all keys. The source usually answers within a few milliseconds, and within
	// 250 ms when it is slow. But 3,000 targets are 1.2 MB, which take one second on an otherwise idle link of
	// 10 Mbit/s. With a shorter timeout each attempt would start over, and none would complete.
	newestTimeout = 2500 * time.Millisecond
	// shortTimeout bounds reads after a failed one. These do not wait for changes: a read that was started during an
	// outage and waits would delay the detection of the outage's end.
	shortTimeout = 600 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed read. It is random up to a limit that
	// doubles with each consecutive failure. The source may recover at any moment, but in a long outage every
	// instance retries, and refused reads are billed too.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// maxDoublings bounds how often the pause is doubled; maxRetryPause is reached before.
	maxDoublings = 4
)

// Record is the newest value of a key. An empty value means that the key was
// deleted. The offset belongs to the era of the position that the record was returned with.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is the result of a read.
type Batch struct {
	// Records are changes in order or, if Complete is set, the newest record of each key.
	Records  []Record
	Complete bool
	// Next is the position after the last record.
	Next Position
}

// Source reads one stream. It calls extender.Extend while an answer arrives; otherwise the read times out
// before a long answer is complete.
type Source interface {
	// Newest returns the newest record of each key, and a position before which
	// all records are included.
	Newest(c context.Context) ([]Record, Position, error)
	// Follow returns the records from a position on. When there are none, it waits up
	// to the given time for one. The result is complete if it is of a later era than the
	// position. Follow fails with ErrTruncated.
	Follow(c context.Context, from Position, wait time.Duration) (Batch, error)
}

// Handler processes the records that a Watcher reads. Its methods are called one
// at a time.
type Handler interface {
	// Reset replaces all records by the newest of each key. The list includes all
	// changes before the end, which is of the same era as the records received before, or
	// of a later one. Reset fails, and changes nothing, when the list is from an older state
	// of the same era; the list is then read again.
	Reset(l []Record, end Position) error
	// Change applies one record.
	Change(r Record)
	// Read is called after each successful read. The outage is how long reads had
	// failed before; it is zero when the previous read succeeded.
	Read(outage time.Duration)
	// Failed is called after each failed read.
	Failed(err error)
}

// Watcher follows one stream. Run may be called once.
type Watcher struct {
	name    string
	source  Source
	handler Handler
	// pause follows a read that returned records. It limits the reads of a stream that
	// changes all the time to several per second.
	pause time.Duration
	// wait is how long a read waits for a change.
	wait time.Duration

	// next is the position to read from.
	next Position
	// failedSince is the time of the first of the consecutive failures; zero
	// when the last read succeeded.
	failedSince time.Time
	// failures is the number of consecutive failed reads.
	failures int
}

// New returns a Watcher. The name identifies the stream in log lines, the pause follows each read that returned
// records, and the wait budget is that of WaitBudget.
func New(name string, s Source, h Handler, pause, waitBudget time.Duration) *Watcher {
	return &Watcher{name: name, source: s, handler: h, pause: pause, wait: time.Duration(waitFraction * float64(waitBudget)), next: Unread()}
}

const (
	// transferTime is the part of the propagation time that is reserved for the transfer and decoding of a long
	// record: a megabyte takes 0.8 s on a link of 10 Mbit/s.
	transferTime = time.Second
	// minWaitBudget is the least wait budget, unless the propagation time is shorter: reads are billed, and
	// shorter waits need more of them.
	minWaitBudget = 2 * time.Second
)

// WaitBudget returns the wait budget: how long all reads on the path of a change to an instance may wait in total, if
// every instance must apply the change within a time, also when its record is long.
func WaitBudget(within time.Duration) time.Duration {
	return min(within, max(minWaitBudget, within-transferTime))
}

// Run follows the stream until the context is done.
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

			// Hundreds of instances receive the same records at the same moment. Without jitter they would all read again
			// at the same moment.
			if n > 0 {
				sleeper.Sleep(c, w.pause/2+rand.N(w.pause+1)) //nolint:gosec // Jitter.
			}
		}
	}
}

// read performs one read and returns the number of its records.
func (w *Watcher) read(c context.Context) (int, error) {
	if !w.next.IsRead() {
		return w.reset(c)
	}

	d, m := w.wait, w.wait+extender.IdleTimeout
	if !w.failedSince.IsZero() {
		d, m = 0, shortTimeout
	}

	x, stop := extender.New(c, extender.DefaultSettings(m))
	defer stop()

	b, err := w.source.Follow(x, w.next, d)
	if errors.Is(err, ErrTruncated) {
		logrus.WithFields(logrus.Fields{"event": "historyForgotten", "stream": w.name, "offset": w.next.Offset, "era": w.next.Era}).Warn()

		return w.reset(c)
	}

	if err != nil {
		return 0, err
	}

	if b.Complete {
		return len(b.Records), w.applyList(b.Records, b.Next)
	}

	for _, r := range b.Records {
		w.handler.Change(r)
	}

	w.next = b.Next

	return len(b.Records), nil
}

// reset reads the newest record of each key.
func (w *Watcher) reset(c context.Context) (int, error) {
	x, stop := extender.New(c, extender.DefaultSettings(newestTimeout))
	defer stop()

	l, n, err := w.source.Newest(x)
	if err != nil {
		return 0, err
	}

	return len(l), w.applyList(l, n)
}

// applyList applies the newest record of each key.
//
// The source may answer from an older state than the one already read, which is
// detected by the position of its end. Applying it would restore deleted records. In a later
// era a lower offset is no older state: the source has lost the records from there on.
func (w *Watcher) applyList(l []Record, end Position) error {
	if end.Before(w.next) {
		return errors.Newf("stale list of records: ends at offset %d of era %d, already read up to %d of era %d",
			end.Offset, end.Era, w.next.Offset, w.next.Era)
	}

	if err := w.handler.Reset(l, end); err != nil {
		return err
	}

	if w.next.IsRead() && w.next.Era != end.Era {
		logrus.WithFields(logrus.Fields{
			"event": "eraBegun", "stream": w.name, "era": end.Era, "offset": end.Offset, "earlierEra": w.next.Era, "earlierOffset": w.next.Offset,
		}).Warn()
	}

	w.next = end

	return nil
}

// backoff returns the pause after the consecutive failures so far.
func (w *Watcher) backoff() time.Duration {
	m := min(minRetryPause<<min(w.failures, maxDoublings), maxRetryPause)

	return m/2 + rand.N(m/2) //nolint:gosec // Jitter.
}

func (w *Watcher) fail(err error) {
	w.failures++

	if w.failedSince.IsZero() {
		w.failedSince = time.Now()
		logrus.WithFields(logrus.Fields{"event": "streamLost", "stream": w.name, "offset": w.next.Offset, "era": w.next.Era, "error": err}).Warn()
	}

	w.handler.Failed(err)
}

func (w *Watcher) succeed() {
	var d time.Duration

	w.failures = 0

	if !w.failedSince.IsZero() {
		d = time.Since(w.failedSince)
		w.failedSince = time.Time{}
		logrus.WithFields(logrus.Fields{"event": "streamRegained", "stream": w.name, "offset": w.next.Offset, "era": w.next.Era, "away": d}).Info()
	}

	w.handler.Read(d)
}

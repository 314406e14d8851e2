package binder

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// writeFraction is the part of the requests that all instances may send to the log each second that notes may take.
	writeFraction = 0.07
	// minWriteInterval is the least time between two writes of a recorder. A stream whose note was not written before
	// all instances were killed does not go on.
	minWriteInterval = 100 * time.Millisecond
	// writeJitter is the width of the random part of the time between two writes.
	writeJitter = 0.4
	// urgentWrites is how many urgent writes may take the time of one.
	urgentWrites = 2
	// minReadInterval is the least time between two reads of a recorder, however many streams that nobody knows are resumed.
	minReadInterval = 50 * time.Millisecond
	// logTimeout bounds a request to the log, and logRetryDelay is the pause after a failed one.
	logTimeout    = time.Second
	logRetryDelay = 500 * time.Millisecond
	// readRetryDelay is the pause after a failed read, in which streams that nobody knows are refused at once.
	readRetryDelay = 100 * time.Millisecond
	// longRead is the number of bytes from which a reply may lack records.
	longRead = 256 << 10
	// markPrefix is the prefix of the keys of the versions in use.
	markPrefix = "versions/"
)

// Log keeps the newest record of each key outside of the instances.
type Log interface {
	watcher.Source

	// Put writes the record of a key.
	Put(c context.Context, key string, value []byte) error
}

// Run writes what this instance has to write as a recorder, until the context ends.
func (b *Binder) Run(c context.Context) {
	if b.log == nil {
		return
	}

	var g sync.WaitGroup
	defer g.Wait()

	g.Go(func() { b.learnVersions(c) })

	t := time.NewTicker(markInterval)
	defer t.Stop()

	for c.Err() == nil {
		select {
		case <-b.archive.wake:
		case <-t.C:
		case <-c.Done():
			return
		}

		if err := b.write(c); err != nil {
			logrus.WithFields(logrus.Fields{"event": "streamNotesUnwritten", "error": err}).Warn()
			sleeper.Sleep(c, logRetryDelay)
			b.archive.wakeUp()
		}

		b.pause(c)
	}
}

// pause waits until the next write may begin.
func (b *Binder) pause(c context.Context) {
	// Recorders that have started together write at different times.
	i := b.writeInterval()
	i += time.Duration((rand.Float64() - 0.5) * writeJitter * float64(i)) //nolint:gosec // Jitter.
	u := i / urgentWrites

	sleeper.Sleep(c, u)

	t := time.NewTimer(i - u)
	defer t.Stop()

	select {
	case <-b.archive.urgent:
	case <-t.C:
	case <-c.Done():
	}
}

// WriteAgain schedules the writing of everything that the log may have lost since it has come back from an older copy.
func (b *Binder) WriteAgain() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.archive.writeAgain(time.Now())
}

func (b *Binder) writeInterval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	n := float64(b.selectRecorders(time.Now()).Count())

	return max(minWriteInterval, time.Duration(n/(writeFraction*b.settings.WritesPerSecond)*float64(time.Second)))
}

// write writes some of the versions in use and the notes that are due. It reads the log before its first write, since that replaces
// the oldest record of this instance, and before it writes versions while it does not know what others have written.
func (b *Binder) write(c context.Context) error {
	b.mu.Lock()
	marks := b.dueMarks(time.Now())
	known := b.archive.position.IsRead() && (len(marks) == 0 || !b.archive.lacksMark(marks) || time.Since(b.archive.readAt) < markInterval)
	unchecked := b.archive.unchecked
	idle := len(marks) == 0 && len(b.archive.pending) == 0 && !unchecked
	b.mu.Unlock()

	if idle {
		return nil
	}

	if (!known || unchecked) && !b.refresh(c) {
		return errors.New("the log could not be read")
	}

	if err := b.writeMarks(c); err != nil {
		return err
	}

	return b.writeNotes(c)
}

// writeMarks writes the versions in use of some groups, those with several first.
func (b *Binder) writeMarks(c context.Context) error {
	b.mu.Lock()
	marks := b.dueMarks(time.Now())
	b.mu.Unlock()

	l := slices.SortedFunc(maps.Keys(marks), func(g, h string) int {
		return cmp.Or(cmp.Compare(len(marks[h]), len(marks[g])), cmp.Compare(g, h))
	})

	if len(l) > marksPerWrite {
		l = l[:marksPerWrite]

		b.archive.wakeUp()
	}

	for _, g := range l {
		if err := b.writeMark(c, g, marks[g]); err != nil {
			return err
		}
	}

	return nil
}

// dueMarks returns the versions in use that must be written. An instance that is no writer any more leaves those that it has
// written to the others. The mutex must be held.
func (b *Binder) dueMarks(now time.Time) map[string][]discoverer.Version {
	r := b.selectRecorders(now)
	if !r.Writing() {
		b.archive.leave()

		return nil
	}

	if !b.started(now) || !b.settings.Fresh() {
		return b.archive.dueMarks(now, b.pinner.MixedGroups(now), false)
	}

	b.archive.follow(r.Writers())

	return b.archive.dueMarks(now, b.pinner.InUse(now), r.First())
}

func (b *Binder) writeMark(c context.Context, group string, l []discoverer.Version) error {
	n := time.Now()
	w := wire.UsedVersions{Group: group, WrittenMs: n.UnixMilli()}

	for _, v := range l {
		w.Versions = append(w.Versions, uint64(v))
	}

	if err := b.put(c, markKey(group), &w); err != nil {
		return err
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.archive.recordMark(n, group, l)
	logrus.WithFields(logrus.Fields{"event": "streamVersionsWritten", "group": group, "versions": len(l)}).Debug()

	return nil
}

// writeNotes writes one record with the pending notes. If that fails they remain pending.
func (b *Binder) writeNotes(c context.Context) error {
	b.mu.Lock()
	l := b.archive.takePending(time.Now())
	k := ""

	if len(l) > 0 {
		k = b.archive.nextKey(b.members.Self().Address.String())
	}
	b.mu.Unlock()

	if len(l) == 0 {
		return nil
	}

	err := b.put(c, k, encodeNotes(l))

	b.mu.Lock()
	defer b.mu.Unlock()

	if err != nil {
		for _, n := range l {
			b.archive.schedule(n)
		}

		return err
	}

	if len(b.archive.pending) > 0 {
		b.archive.wakeUp()
	}

	return nil
}

// put writes a record.
func (b *Binder) put(c context.Context, key string, m msgp.Marshaler) error {
	x, stop := context.WithTimeout(c, logTimeout)
	defer stop()

	v, err := m.MarshalMsg(nil)
	if err != nil {
		return errors.Mark(err, ErrBinding)
	}

	return b.log.Put(x, key, v)
}

// refresh reads what has been written to the log since the last read. It returns false if that fails or the context ends
// first; the read goes on then.
func (b *Binder) refresh(c context.Context) bool {
	if b.log == nil {
		return false
	}

	b.mu.Lock()

	if b.archive.position.IsRead() && time.Since(b.archive.readAt) < minReadInterval {
		b.mu.Unlock()

		return true
	}

	r := b.archive.reading
	if r == nil && time.Since(b.archive.failedAt) < readRetryDelay {
		b.mu.Unlock()

		return false
	}

	if r == nil {
		r = &reading{done: make(chan struct{})}
		b.archive.reading = r

		go b.read(r) //nolint:gosec // It outlives the stream for which it was begun.
	}

	b.mu.Unlock()

	select {
	case <-r.done:
		return r.ok
	case <-c.Done():
		return false
	}
}

func (b *Binder) read(r *reading) {
	n := time.Now()

	c, stop := extender.New(context.Background(), extender.DefaultSettings(logTimeout))
	defer stop()

	b.mu.Lock()
	p := b.archive.position
	b.mu.Unlock()

	o, err := b.readFrom(c, p)
	if err == nil {
		b.apply(o)
	} else {
		logrus.WithFields(logrus.Fields{"event": "streamNotesUnread", "error": err}).Warn()
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	if err == nil {
		b.archive.readAt = n
	} else {
		b.archive.failedAt = time.Now()
	}

	r.ok = err == nil
	b.archive.reading = nil
	close(r.done)
}

// readFrom returns the records after a position, or the newest of each key if there is none or the log no longer has it.
func (b *Binder) readFrom(c context.Context, p watcher.Position) (watcher.Batch, error) {
	if p.IsRead() {
		o, err := b.follow(c, p)
		if !errors.Is(err, watcher.ErrTruncated) {
			return o, err
		}
	}

	l, n, err := b.log.Newest(c)
	if err != nil {
		return watcher.Batch{}, err
	}

	slices.SortFunc(l, func(a, b watcher.Record) int { return int(a.Offset - b.Offset) })

	return watcher.Batch{Records: l, Complete: true, Next: n}, nil
}

// follow returns the records after a position. The log returns a part of them if they are long.
func (b *Binder) follow(c context.Context, p watcher.Position) (watcher.Batch, error) {
	o := watcher.Batch{Next: p}

	for size := longRead; size >= longRead; {
		x, err := b.log.Follow(c, o.Next, 0)
		if err != nil {
			return o, err
		}

		size = 0
		for _, r := range x.Records {
			size += len(r.Value)
		}

		o.Records, o.Next = append(o.Records, x.Records...), x.Next
	}

	return o, nil
}

// apply applies the records that were read. The first read tells which versions were in use before this process started.
func (b *Binder) apply(o watcher.Batch) {
	used := make(map[string][]discoverer.Version)
	notes := 0

	for _, x := range o.Records {
		n, err := b.applyRecord(x, used)
		if err != nil {
			logrus.WithFields(logrus.Fields{"event": "streamNotesInvalid", "key": x.Key, "error": err}).Warn()
		}

		notes += n
	}

	n := time.Now()

	b.mu.Lock()

	first := !b.archive.position.IsRead()
	b.archive.position = o.Next

	var l []pinner.Note

	if first {
		b.archive.slot = b.nextSlot(o.Records)
		l = b.recent(n, b.pinner.Learn(n, used))
	}

	b.archive.adoptMarks(used)
	b.mu.Unlock()
	b.tell(l)

	if first {
		logrus.WithFields(logrus.Fields{"event": "streamNotesRead", "records": len(o.Records), "notes": notes, "groups": len(used)}).Info()
	}
}

// applyRecord applies one record and adds the versions in use that it has. It returns the number of its notes.
func (b *Binder) applyRecord(x watcher.Record, used map[string][]discoverer.Version) (int, error) {
	if len(x.Value) == 0 { // The key was deleted.
		b.mu.Lock()
		defer b.mu.Unlock()

		b.archive.forgetMark(x.Key)

		return 0, nil
	}

	if strings.HasPrefix(x.Key, markPrefix) {
		return 0, decodeMark(x.Value, used)
	}

	l, err := decodeNotes(x.Value)
	n := time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	for _, s := range l {
		b.pinner.Record(n, s)
	}

	return len(l), err
}

// nextSlot returns the number of the record after the newest one of this instance.
func (b *Binder) nextSlot(l []watcher.Record) int {
	own := b.members.Self().Address.String() + "/"
	o := 0

	for _, x := range l {
		if strings.HasPrefix(x.Key, own) {
			o = slotAfter(x.Key, own)
		}
	}

	return o
}

package warner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// Shelf keeps records outside of the instances.
//
// When all instances lose their power together, what they told each other is lost. Each call
// that was held back would end three targets again, or more when it comes at several
// instances at once.
type Shelf interface {
	// Newest returns the newest record of each key.
	Newest(c context.Context) ([]watcher.Record, int64, error)
	// Put writes the record of a key. Without a value it drops the key.
	Put(c context.Context, key string, value []byte) error
}

const (
	// shelfTimeout bounds a call to the shelf; a read lasts while its answer arrives.
	shelfTimeout = time.Second
	// shelfAgain is the pause after one that failed, and so much longer for each live instance
	// with a lower ID, up to rankMost of them: one reads and tells the others, and a shelf
	// that is away is not asked by all.
	shelfAgain = time.Second
	rankMost   = 10
)

// errRecord marks a record on the shelf that can't be read.
var errRecord = errors.New("the record of a suspected call is not valid")

// read reads what is on the shelf, until it or another instance that knows has answered.
//
// It reads at once, as the catalog and the list of targets are read. Read a second after the
// start of four instances, a call that ends targets had ended four by then.
func (w *Warner) read(c context.Context) {
	for tries := 1; c.Err() == nil && !w.isInformed(); tries++ {
		l, err := w.newest(c)
		if err == nil {
			m := w.take(l)

			// Who reads at the first try is one of many that do.
			if tries > 1 {
				w.spreader.All(c, kinds, m)
			}

			return
		}

		logrus.WithFields(logrus.Fields{"event": "heldCallsUnread", "error": err}).Warn()
		sleeper.Sleep(c, time.Duration(1+min(w.rank(), rankMost))*shelfAgain)
	}
}

// rank returns how many live instances have a lower ID.
func (w *Warner) rank() int {
	n := 0

	for _, m := range w.members.Live() {
		if m.ID < w.members.Self().ID {
			n++
		}
	}

	return n
}

func (w *Warner) isInformed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.informed
}

func (w *Warner) newest(c context.Context) ([]watcher.Record, error) {
	x, stop := extender.New(c, extender.Arriving(shelfTimeout))
	defer stop()

	l, _, err := w.shelf.Newest(x)

	return l, err
}

// take joins what was on the shelf, and has what is too old dropped from it. It returns what
// others should know of it, also when it is nothing.
func (w *Warner) take(l []watcher.Record) *wire.Suspects {
	n := time.Now()
	m := &wire.Suspects{Informed: true}

	w.mu.Lock()

	for _, r := range l {
		s, err := parse(n, r)
		if err != nil {
			logrus.WithFields(logrus.Fields{"event": "heldCallRefused", "key": r.Key, "offset": r.Offset, "error": err}).Warn()

			continue
		}

		if time.Duration(s.SeenMs)*time.Millisecond >= w.keep {
			w.shelveLater(digester.Digest(s.Call))

			continue
		}

		m.Calls = append(m.Calls, s)
	}

	w.mu.Unlock()

	w.learn(m)
	logrus.WithFields(logrus.Fields{"event": "heldCallsRead", "calls": len(m.Calls)}).Info()

	return m
}

// parse returns what a record says, with ages as of now. Clocks of instances differ, and an age
// below zero is none.
func parse(now time.Time, r watcher.Record) (wire.Suspect, error) {
	var h wire.ShelvedSuspect
	if _, err := h.UnmarshalMsg(r.Value); err != nil {
		return wire.Suspect{}, errors.Mark(err, errRecord)
	}

	s := h.Suspect
	if r.Key != digester.Digest(s.Call).String() {
		return s, errors.Wrapf(errRecord, "it is of the call %v", digester.Digest(s.Call))
	}

	d := age(now, time.UnixMilli(h.WrittenMs))
	s.SeenMs += d

	for i := range s.Ends {
		s.Ends[i].AgeMs += d
	}

	return s, nil
}

// shelveLater notes that what is on the shelf of a call is to be replaced. The lock is held.
func (w *Warner) shelveLater(d digester.Digest) {
	if w.shelf == nil {
		return
	}

	w.unshelved[d] = true

	select {
	case w.shelveWake <- struct{}{}:
	default: // It is awake.
	}
}

// shelve writes what is noted until the context ends. What fails is tried again.
func (w *Warner) shelve(c context.Context) {
	for {
		select {
		case <-w.shelveWake:
		case <-c.Done():
			return
		}

		for d, ok := w.nextUnshelved(); ok && c.Err() == nil; d, ok = w.nextUnshelved() {
			if err := w.put(c, d); err != nil {
				logrus.WithFields(logrus.Fields{"event": "heldCallUnwritten", "digest": d, "error": err}).Warn()
				w.mu.Lock()
				w.unshelved[d] = true
				w.mu.Unlock()
				sleeper.Sleep(c, shelfAgain)
			}
		}
	}
}

func (w *Warner) nextUnshelved() (digester.Digest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for d := range w.unshelved {
		delete(w.unshelved, d)

		return d, true
	}

	return 0, false
}

// put writes the record of a call that is held back, and drops that of any other.
func (w *Warner) put(c context.Context, d digester.Digest) error {
	x, stop := context.WithTimeout(c, shelfTimeout)
	defer stop()

	n := time.Now()

	w.mu.Lock()
	held := slices.Contains(w.quarantiner.Quarantined(), d)
	m := encode(n, w.quarantiner.RecordsOf([]digester.Digest{d}))
	w.mu.Unlock()

	if !held || len(m.Calls) == 0 {
		return w.shelf.Put(x, d.String(), nil)
	}

	b, err := (&wire.ShelvedSuspect{Suspect: m.Calls[0], WrittenMs: n.UnixMilli()}).MarshalMsg(nil)
	if err != nil {
		return errors.Mark(err, errRecord)
	}

	return w.shelf.Put(x, d.String(), b)
}

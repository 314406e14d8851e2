package repeater

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/relayer"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// Stream is one stream as this instance knows it. It is safe for concurrent use.
type Stream struct {
	name     string
	repeater *Repeater
	source   watcher.Source
	// waits is the time that all waits along the way of a change may take together.
	waits time.Duration

	// packing is held while a short form is made, and taken before mu.
	packing sync.Mutex
	// bundles are guarded by packing.
	bundles bundles

	mu      sync.Mutex
	tape    *tape
	changed chan struct{}
	// skipped is passed over as reader for a while since skippedAt.
	skipped   uint64
	skippedAt time.Time
	// refused says that the platform did not answer this instance's last call.
	refused bool
	// came is when something of an answer last arrived.
	came    time.Time
	relayer *relayer.Relayer
	// reads was the last reader in the log, zero for this instance.
	reads netip.AddrPort
	noted bool
}

var _ watcher.Source = (*Stream)(nil)

// part returns a part of the time that waits may take.
func (s *Stream) part(f float64) time.Duration {
	return time.Duration(f * float64(s.waits))
}

// Heard returns when the platform last confirmed what is known of the stream.
func (s *Stream) Heard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.tape.heard
}

// Follow is part of watcher.Source. It reads through the instance that reads for this
// one, unless that is itself; from the platform when that instance does not answer; and
// from any other when the platform does not.
func (s *Stream) Follow(c context.Context, from int64, wait time.Duration) ([]watcher.Record, int64, error) {
	x, ok := s.reader()
	s.note(x.from, ok)

	if ok {
		b := time.Now()
		p, err := s.askOn(c, x, from, min(wait, x.wait))
		s.count(sourceReader, err)

		if err == nil {
			return s.take(p, from)
		}

		s.leave(x, time.Since(b), err)

		// The time that was meant for waiting may be gone; the platform still has to
		// be asked before changes are late.
		if time.Since(s.Heard()) > s.part(heardLatelyPart) {
			wait = 0
		}
	}

	if !s.probes() {
		return s.ofOthers(c, from, nil)
	}

	b := time.Now()
	y, stop := extender.New(c, extender.Settings{Came: s.arrived})

	defer stop()

	l, n, err := s.source.Follow(y, from, wait)
	s.count(sourcePlatform, err)
	s.setRefused(err)

	if err == nil {
		s.add(heard(b, wait, l), l, n)

		return l, n, nil
	}

	if errors.Is(err, watcher.ErrForgotten) {
		return nil, 0, err
	}

	logrus.WithFields(logrus.Fields{
		"event": "platformReadFailed", "stream": s.name, "took": time.Since(b).Round(time.Millisecond), "error": err,
	}).Info()

	return s.ofOthers(c, from, err)
}

// arrived notes that something of an answer has arrived here.
func (s *Stream) arrived() {
	s.coming(time.Now())
}

// coming notes when something of an answer arrived, here or where this instance reads. Those who read through
// it wait for that, though what it knows is old: reading for themselves would take longer.
func (s *Stream) coming(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if at.After(s.came) {
		s.came = at
	}
}

// ofOthers reads from others when the platform did not answer, for the reason given.
func (s *Stream) ofOthers(c context.Context, from int64, err error) ([]watcher.Record, int64, error) {
	p, e := s.others(c, from)
	if e != nil {
		return nil, 0, errors.CombineErrors(err, e)
	}

	// Taken at once: its age counts from when it came.
	l, n, err := s.take(p, from)
	if n <= from {
		sleeper.Sleep(c, othersEvery)
	}

	return l, n, err
}

// heard returns when the platform said what a read brought that began at a time. A
// read that brought nothing was answered when it had waited long enough; the
// answer itself may have been held up since.
func heard(began time.Time, wait time.Duration, l []watcher.Record) time.Time {
	n := time.Now()
	if w := began.Add(wait); len(l) == 0 && w.Before(n) {
		return w
	}

	return n
}

// take turns what another instance said into records after an offset.
func (s *Stream) take(p *wire.StreamReply, from int64) ([]watcher.Record, int64, error) {
	l := records(p)

	if !p.Whole {
		s.add(s.age(p), l, max(p.Next, from))

		return l, max(p.Next, from), nil
	}

	if p.Next < from {
		return nil, from, nil
	}

	// Keys that are not among the records are gone: for the sink that is a
	// record without a value.
	k := make(map[string]bool, len(l))
	for _, r := range l {
		k[r.Key] = true
	}

	s.mu.Lock()

	for key, r := range s.tape.records {
		if !k[key] && len(r.Value) > 0 {
			l = append(l, watcher.Record{Key: key, Offset: p.Next - 1})
		}
	}

	s.mu.Unlock()
	s.add(s.age(p), l, p.Next)

	return l, p.Next, nil
}

// reset takes the newest record of each key. It fails with errOlderList when they are from an
// older state than what was read.
//
// Were they kept, what comes next would be added behind a gap. Instances that ask from within
// the gap would be told that nothing was there, and those that ask from before it that the
// targets which came in it are gone.
func (s *Stream) reset(heard time.Time, l []watcher.Record, next int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if next < s.tape.next || s.tape.newerThan(l) {
		return errOlderList
	}

	s.tape.reset(heard, l, next)
	s.wake()

	return nil
}

func (s *Stream) add(heard time.Time, l []watcher.Record, next int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if heard.Before(s.tape.heard) {
		heard = s.tape.heard
	}

	s.tape.add(heard, l, next)

	if len(l) > 0 {
		s.wake()
	}
}

// wake answers the instances that wait.
func (s *Stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

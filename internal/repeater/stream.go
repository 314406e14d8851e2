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

// Stream is one stream as read by this instance. It is safe for concurrent use.
type Stream struct {
	name     string
	repeater *Repeater
	source   watcher.Source
	// waitBudget is the time for which all reads on the path of a change may wait in total.
	waitBudget time.Duration

	// compressing is held while records are collected and compressed, and locked before mu.
	compressing sync.Mutex
	// answers is guarded by compressing.
	answers answers

	mu      sync.Mutex
	cache   *cache
	changed chan struct{}
	// skipped is the instance that is not used as the upstream for a while after skippedAt.
	skipped   uint64
	skippedAt time.Time
	// seedFailures is how many reads from seeds have failed. Each is followed by one from another seed.
	seedFailures uint64
	// platformFailed reports whether this instance's last call to the platform failed.
	platformFailed bool
	// lastArrival is when a part of an answer last arrived, here or at the upstream.
	lastArrival time.Time
	relayer     *relayer.Relayer
	// loggedUpstream is the upstream last logged; it is invalid when this instance reads from the platform.
	loggedUpstream netip.AddrPort
	upstreamLogged bool
}

var _ watcher.Source = (*Stream)(nil)

// fraction returns a fraction of the wait budget.
func (s *Stream) fraction(f float64) time.Duration {
	return time.Duration(f * float64(s.waitBudget))
}

// ConfirmedAt returns when the platform last confirmed that this instance has the newest records. It is zero
// before the first read.
func (s *Stream) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.cache.confirmed
}

// Follow implements watcher.Source. It reads from the upstream. Without an upstream, or when that read fails, it
// reads from the platform, and when that fails too, from random other instances. It fails with
// watcher.ErrTruncated, or when neither the platform nor an instance answers.
func (s *Stream) Follow(c context.Context, from watcher.Position, wait time.Duration) (watcher.Batch, error) {
	x, ok := s.upstream()
	s.logUpstream(x.member, ok)

	if ok {
		b := time.Now()
		p, err := s.requestUpstream(c, x, from, min(wait, x.wait))
		s.count(sourceReader, err)

		if err == nil {
			return s.applyReply(p, from)
		}

		s.reportFailure(x, time.Since(b), err)

		// The failed read may have used up the wait budget. Unless the records were confirmed recently, the
		// platform must answer at once, or changes would arrive late.
		if time.Since(s.ConfirmedAt()) > s.fraction(recentFraction) {
			wait = 0
		}

		// The read from the platform has the rest of the time.
		wait = max(wait-time.Since(b), 0)
	}

	if !s.probesPlatform() {
		return s.followPeers(c, from, nil)
	}

	b := time.Now()
	y, stop := extender.New(c, extender.Settings{OnExtend: s.noteArrival})

	defer stop()

	l, err := s.source.Follow(y, from, wait)
	s.count(sourcePlatform, err)
	s.setPlatformFailed(err)

	if err == nil {
		s.add(confirmationTime(b, wait, l.Records), l.Records, l.Next)

		return l, nil
	}

	if errors.Is(err, watcher.ErrTruncated) {
		return watcher.Batch{}, err
	}

	logrus.WithFields(logrus.Fields{
		"event": "platformReadFailed", "stream": s.name, "took": time.Since(b).Round(time.Millisecond), "error": err,
	}).Info()

	return s.followPeers(c, from, err)
}

// noteArrival records that a part of an answer arrives now.
func (s *Stream) noteArrival() {
	s.setLastArrival(time.Now())
}

// setLastArrival records when a part of an answer arrived, here or at the upstream. The instances that read through
// this one then accept older records and wait: reading from the platform would take them longer.
func (s *Stream) setLastArrival(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if at.After(s.lastArrival) {
		s.lastArrival = at
	}
}

// followPeers reads from random other instances when the platform was not called, or failed with the given error.
func (s *Stream) followPeers(c context.Context, from watcher.Position, err error) (watcher.Batch, error) {
	p, e := s.requestPeers(c, from)
	if e != nil {
		return watcher.Batch{}, errors.CombineErrors(err, e)
	}

	// The reply is applied before the pause, because the age that it contains is relative to its arrival.
	l, err := s.applyReply(p, from)
	if !from.Before(l.Next) {
		sleeper.Sleep(c, peerRoundPause)
	}

	return l, err
}

// confirmationTime returns the time of the platform's answer to a read. A read without records was answered at the
// end of its wait; the answer itself may have been delayed since.
func confirmationTime(began time.Time, wait time.Duration, l []watcher.Record) time.Time {
	n := time.Now()
	if w := began.Add(wait); len(l) == 0 && w.Before(n) {
		return w
	}

	return n
}

// applyReply stores the records of another instance's reply and returns those from a position on, or all of them when
// they are of a later era. It fails with errStaleList.
func (s *Stream) applyReply(p *wire.StreamReply, from watcher.Position) (watcher.Batch, error) {
	l, next := records(p), position(p)

	if next.Era > from.Era {
		return watcher.Batch{Records: l, Complete: true, Next: next}, s.reset(s.confirmedAt(p), l, next)
	}

	if next.Before(from) {
		next = from
	}

	if !p.Snapshot {
		s.add(s.confirmedAt(p), l, next)

		return watcher.Batch{Records: l, Next: next}, nil
	}

	if p.Next < from.Offset {
		return watcher.Batch{Next: from}, nil
	}

	// Keys that are missing from a snapshot were deleted. Each of them is returned as a record without a value.
	k := make(map[string]bool, len(l))
	for _, r := range l {
		k[r.Key] = true
	}

	s.mu.Lock()

	for key := range s.cache.records {
		if !k[key] && !s.cache.isDeleted(key) {
			l = append(l, watcher.Record{Key: key, Offset: p.Next - 1})
		}
	}

	s.mu.Unlock()
	s.add(s.confirmedAt(p), l, next)

	return watcher.Batch{Records: l, Next: next}, nil
}

// reset replaces the records by the newest of each key. It fails with errStaleList when they are from an older state
// than the ones already read, of the same era or an earlier one.
//
// If such a list were stored, later records would be added after a gap. Instances that request records from an
// offset within the gap would not receive the missing records. Instances that request from an offset before the gap
// would receive all keys without the targets added within the gap, and delete these targets.
func (s *Stream) reset(confirmed time.Time, l []watcher.Record, next watcher.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.cache.next
	if next.Before(o) || next.Era == o.Era && s.cache.newerThan(l) {
		return errors.Wrapf(errStaleList, "it ends at offset %d of era %d, already read up to %d of era %d", next.Offset, next.Era, o.Offset, o.Era)
	}

	if next.Era != o.Era {
		s.relayer.Forget()
	}

	s.cache.reset(confirmed, l, next)
	s.wake()

	return nil
}

// add adds records that follow those already read.
func (s *Stream) add(confirmed time.Time, l []watcher.Record, next watcher.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if confirmed.Before(s.cache.confirmed) {
		confirmed = s.cache.confirmed
	}

	s.cache.add(confirmed, l, next)

	if len(l) > 0 {
		s.wake()
	}
}

// wake wakes the requests that wait for records. s.mu must be held.
func (s *Stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

package repeater

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// peerFallbackDelay is how long a read of all keys from the platform may take before other instances are called
// in parallel. The platform answers within 250 ms even when it is slow. A long list takes a second over a
// narrow-bandwidth link, and other instances send it compressed.
const peerFallbackDelay = 600 * time.Millisecond

// list is the result of a read of all keys.
type list struct {
	records []watcher.Record
	next    watcher.Position
	err     error
}

// errStaleList means that a list of all keys is from an older state than the records already read.
var errStaleList = errors.New("the list of all keys is from an older state")

// Newest implements watcher.Source. It fails with errStaleList, or when neither the platform nor another instance
// answers.
//
// An instance that has just started first asks its upstream: many may start together, and the platform's list of ten
// thousand targets takes fifty calls. Otherwise it reads from the platform, and also from other instances when the
// platform is slow or fails. The read from the platform continues meanwhile. If it were restarted each time, a list
// that takes long over the link would never arrive while no other instance has it either, for example after all
// instances have crashed.
func (s *Stream) Newest(c context.Context) ([]watcher.Record, watcher.Position, error) {
	if p := s.requestFirst(c); p != nil {
		return s.applyList(p)
	}

	x, stop := context.WithCancel(c)
	defer stop()

	o := make(chan list, 1)

	go func() {
		l, n, err := s.source.Newest(x)
		o <- list{records: l, next: n, err: err}
	}()

	t := time.NewTimer(peerFallbackDelay)
	defer t.Stop()

	for {
		select {
		case r := <-o:
			s.count(sourcePlatform, r.err)

			if r.err == nil {
				return r.records, r.next, s.reset(time.Now(), r.records, r.next)
			}

			p, err := s.requestPeers(c, watcher.Unread())
			if err != nil {
				return nil, watcher.Unread(), errors.CombineErrors(r.err, err)
			}

			return s.applyList(p)
		case <-t.C:
			if p, err := s.requestPeers(c, watcher.Unread()); err == nil {
				s.count(sourcePlatform, ErrPeer)

				return s.applyList(p)
			}

			t.Reset(peerRoundPause)
		}
	}
}

const (
	// firstReadTime is how long an instance that has just started asks its upstream before it reads from the platform,
	// and firstReadPause the pause after an attempt. Instances that start together start within a few hundred
	// milliseconds.
	firstReadTime  = time.Second
	firstReadPause = 50 * time.Millisecond
)

// requestFirst requests the complete list from the upstream if this instance has read nothing yet. It returns nil when
// the upstream does not send it in time.
func (s *Stream) requestFirst(c context.Context) *wire.StreamReply {
	b := time.Now()

	for c.Err() == nil && time.Since(b) < firstReadTime && !s.isRead() {
		x, ok := s.upstream()
		if !ok {
			return nil
		}

		p, err := s.requestUpstream(c, x, watcher.Unread(), x.wait)
		s.count(sourceReader, err)

		if err == nil && position(p).IsRead() {
			return p
		}

		if errors.Is(err, errStale) {
			return nil
		}

		s.nextSeed()
		sleeper.Sleep(c, firstReadPause)
	}

	return nil
}

// isRead reports whether this instance has read anything of the stream.
func (s *Stream) isRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.cache.next.IsRead()
}

// applyList stores a list of all keys that another instance has sent.
func (s *Stream) applyList(p *wire.StreamReply) ([]watcher.Record, watcher.Position, error) {
	l := records(p)

	return l, position(p), s.reset(s.confirmedAt(p), l, position(p))
}

package repeater

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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
// It reads from the platform, and also from other instances when the platform is slow or fails. The read from the
// platform continues meanwhile. If it were restarted each time, a list that takes long over the link would never
// arrive while no other instance has it either, for example after all instances have crashed.
func (s *Stream) Newest(c context.Context) ([]watcher.Record, watcher.Position, error) {
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

// applyList stores a list of all keys that another instance has sent.
func (s *Stream) applyList(p *wire.StreamReply) ([]watcher.Record, watcher.Position, error) {
	l := records(p)

	return l, position(p), s.reset(s.confirmedAt(p), l, position(p))
}

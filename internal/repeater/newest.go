package repeater

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// othersAfter is how long a read of all keys is under way before others are asked
// beside it. The platform answers within a quarter of a second when it is slow; a long
// list takes a slow link a second, and the others tell it in its short form.
const othersAfter = 600 * time.Millisecond

// list is what a read of all keys brought.
type list struct {
	records []watcher.Record
	next    int64
	err     error
}

// errOlderList means that a whole list is from an older state than one that was read.
var errOlderList = errors.New("the list is from an older state")

// Newest is part of watcher.Source. It fails with errOlderList.
//
// The platform is asked, and others too once it is late, or has not answered. A read
// that is late goes on meanwhile: begun anew, a list that is too long for the link would
// never come when no other instance has it either, as after all were killed.
func (s *Stream) Newest(c context.Context) ([]watcher.Record, int64, error) {
	x, stop := context.WithCancel(c)
	defer stop()

	o := make(chan list, 1)

	go func() {
		l, n, err := s.source.Newest(x)
		o <- list{records: l, next: n, err: err}
	}()

	t := time.NewTimer(othersAfter)
	defer t.Stop()

	for {
		select {
		case r := <-o:
			s.count(sourcePlatform, r.err)

			if r.err == nil {
				return r.records, r.next, s.reset(time.Now(), r.records, r.next)
			}

			p, err := s.others(c, -1)
			if err != nil {
				return nil, 0, errors.CombineErrors(r.err, err)
			}

			return s.whole(p)
		case <-t.C:
			if p, err := s.others(c, -1); err == nil {
				s.count(sourcePlatform, ErrPeer)

				return s.whole(p)
			}

			t.Reset(othersEvery)
		}
	}
}

// whole takes a whole list that another instance told.
func (s *Stream) whole(p *wire.StreamReply) ([]watcher.Record, int64, error) {
	l := records(p)

	return l, p.Next, s.reset(s.age(p), l, p.Next)
}

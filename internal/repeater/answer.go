package repeater

import (
	"context"
	"time"

	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// answer tells another instance what it asks for, as soon as there is something.
func (s *Stream) answer(c context.Context, q wire.StreamRequest) (*wire.StreamReply, error) {
	t := time.NewTimer(time.Duration(q.WaitMs) * time.Millisecond)
	defer t.Stop()

	for {
		s.mu.Lock()
		n, w := s.tape.next, s.changed
		s.mu.Unlock()

		if n < 0 {
			return nil, ErrPeer
		}

		if n > q.From || q.WaitMs == 0 {
			return s.reply(q.From), nil
		}

		select {
		case <-w:
		case <-t.C:
			return s.reply(q.From), nil
		case <-c.Done():
			return nil, c.Err()
		}
	}
}

func (s *Stream) reply(from int64) *wire.StreamReply {
	s.mu.Lock()
	l, w := s.tape.since(from)
	p := &wire.StreamReply{
		Next: s.tape.next, Whole: w,
		AgeMs: uint32(min(time.Since(s.tape.heard), time.Hour).Milliseconds()), //nolint:gosec // An hour at most.
	}

	s.mu.Unlock()

	for _, r := range l {
		x := wire.StreamRecord{Key: r.Key, Value: r.Value, Offset: r.Offset}
		if v, ok := s.short(r); ok {
			x.Value, x.Packed = v, true
		}

		p.Records = append(p.Records, x)
	}

	s.bundle(p, from)

	return p
}

// short returns a record's value in its short form, and false when it has none. Making
// it takes milliseconds, in which others must be able to read the stream; all who wait
// for a version ask at once, and it is made once for them.
func (s *Stream) short(r watcher.Record) ([]byte, bool) {
	if len(r.Value) < packFrom {
		return nil, false
	}

	s.packing.Lock()
	defer s.packing.Unlock()

	s.mu.Lock()
	v, ok := s.tape.short(r)
	s.mu.Unlock()

	if !ok {
		v = pack(r.Value)

		s.mu.Lock()
		s.tape.keep(r, v)
		s.mu.Unlock()
	}

	return v, len(v) < len(r.Value)
}

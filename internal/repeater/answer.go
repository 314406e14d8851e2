package repeater

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/relayer"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// answer tells another instance what it asks for, as soon as there is something.
func (s *Stream) answer(c context.Context, asker uint64, q wire.StreamRequest) (*wire.StreamReply, error) {
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
			return s.ration(s.reply(q.From), asker, q.From), nil
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
		Next: s.tape.next, Whole: w, AgeMs: sinceMs(s.tape.heard), ComingMs: sinceMs(s.came),
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

// ration takes the records out of an answer that the link has no room for, and says who has them.
func (s *Stream) ration(p *wire.StreamReply, asker uint64, from int64) *wire.StreamReply {
	n := length(p)
	if n < relayer.LongFrom || from < 0 {
		return p
	}

	a, far := s.whereabouts(asker)

	s.mu.Lock()
	e, ok := s.relayer.Tell(time.Now(), p.Next, n, a, far)
	s.mu.Unlock()

	if ok {
		return p
	}

	return &wire.StreamReply{Next: from, AgeMs: p.AgeMs, ComingMs: p.ComingMs, Elsewhere: e.String()}
}

// sinceMs returns how long ago a time was, an hour at most.
func sinceMs(t time.Time) uint32 {
	return uint32(min(time.Since(t), time.Hour).Milliseconds()) //nolint:gosec // Fits.
}

// whereabouts returns the address of an instance, which is not valid when it isn't known, and whether it is
// of another data centre: it reads for all of that then.
func (s *Stream) whereabouts(id uint64) (netip.AddrPort, bool) {
	m := s.repeater.members
	for _, x := range m.Live() {
		if x.ID == id {
			return x.Address, x.DataCentre != m.Self().DataCentre
		}
	}

	return netip.AddrPort{}, false
}

// length returns how many bytes an answer's records take.
func length(p *wire.StreamReply) int {
	n := len(p.Packed)
	for _, r := range p.Records {
		n += len(r.Value)
	}

	return n
}

package repeater

import (
	"context"
	"time"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/relayer"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// answer returns the reply to a requester as soon as there are records for it, at the latest after the requested
// wait, and at once when the requester's records are of another era. It fails with ErrPeer when this instance has read nothing yet.
func (s *Stream) answer(c context.Context, requester uint64, q wire.StreamRequest) (*wire.StreamReply, error) {
	t := time.NewTimer(time.Duration(q.WaitMs) * time.Millisecond)
	defer t.Stop()

	from := watcher.Position{Era: q.Era, Offset: q.From}

	for {
		s.mu.Lock()
		n, w := s.cache.next, s.changed
		s.mu.Unlock()

		if n.IsRead() && n.Era < from.Era {
			// The requester ignores records of an earlier era.
			return &wire.StreamReply{Era: n.Era, Next: n.Offset}, nil
		}

		if n.IsRead() && (from.Before(n) || q.WaitMs == 0) {
			return s.redirect(s.reply(from), requester, from), nil
		}

		select {
		case <-w:
		case <-t.C:
			if !n.IsRead() {
				return nil, ErrPeer
			}

			return s.reply(from), nil
		case <-c.Done():
			return nil, c.Err()
		}
	}
}

// reply returns the records from a position on.
func (s *Stream) reply(from watcher.Position) *wire.StreamReply {
	s.mu.Lock()
	a := answer{next: s.cache.next}
	s.mu.Unlock()

	if from.Before(a.next) {
		a = s.answerFrom(from)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return &wire.StreamReply{
		Next: a.next.Offset, Era: a.next.Era, Snapshot: a.snapshot, Records: a.records, Packed: a.packed,
		AgeMs: sinceMs(s.cache.confirmed), LastArrivalMs: sinceMs(s.lastArrival),
	}
}

// answerFrom returns the records from a position on as they are sent. All instances that wait for a record request it at
// once, so they are collected and compressed once and cached. This takes milliseconds, so s.mu is not held meanwhile.
func (s *Stream) answerFrom(from watcher.Position) answer {
	s.compressing.Lock()
	defer s.compressing.Unlock()

	s.mu.Lock()
	n := s.cache.next
	s.mu.Unlock()

	if a, ok := s.answers.get(from, n); ok {
		return a
	}

	s.mu.Lock()
	l, w := s.cache.since(from)
	a := answer{next: s.cache.next, snapshot: w}
	s.mu.Unlock()

	for _, r := range l {
		x := wire.StreamRecord{Key: r.Key, Value: r.Value, Offset: r.Offset}
		if v, ok := s.compressed(r, a.next.Era); ok {
			x.Value, x.Packed = v, true
		}

		a.records = append(a.records, x)
	}

	a.bundle()
	s.answers.put(from, a)

	return a
}

// compressed returns the compressed value of a record of an era, and false when compression does not make the value shorter.
// The caller holds s.compressing.
func (s *Stream) compressed(r watcher.Record, era uint64) ([]byte, bool) {
	if len(r.Value) < compressMinBytes {
		return nil, false
	}

	s.mu.Lock()
	v, ok := s.cache.compressedValue(r, era)
	s.mu.Unlock()

	if !ok {
		v = compress(r.Value)

		s.mu.Lock()
		s.cache.putCompressed(r, era, v)
		s.mu.Unlock()
	}

	return v, len(v) < len(r.Value)
}

// redirect replaces a long reply for which the link has no capacity by the address of an instance that has the
// records.
func (s *Stream) redirect(p *wire.StreamReply, requester uint64, from watcher.Position) *wire.StreamReply {
	n := recordBytes(p)
	if n < relayer.LongBytes {
		return p
	}

	m := s.locate(requester)
	q := relayer.Request{Next: p.Next, Bytes: n, To: m.Address, Centre: m.DataCentre, List: !from.IsRead()}
	q.Far = m.DataCentre != "" && m.DataCentre != s.repeater.members.Self().DataCentre
	q.Must = q.Far && s.reads(m)

	s.mu.Lock()
	e, ok := s.relayer.ServeOrRedirect(time.Now(), q)
	s.mu.Unlock()

	if ok {
		return p
	}

	return &wire.StreamReply{Next: from.Offset, Era: from.Era, AgeMs: p.AgeMs, LastArrivalMs: p.LastArrivalMs, RedirectTo: e.String()}
}

// sinceMs returns the time elapsed since t in milliseconds, at most one hour.
func sinceMs(t time.Time) uint32 {
	return uint32(min(time.Since(t), time.Hour).Milliseconds()) //nolint:gosec // Fits.
}

// locate returns the instance with an ID; its address is invalid when the instance is unknown.
func (s *Stream) locate(id uint64) gossiper.Member {
	for _, x := range s.repeater.members.Live() {
		if x.ID == id {
			return x
		}
	}

	return gossiper.Member{}
}

// reads reports whether an instance is the reader of its data centre, for which all others of it wait.
func (s *Stream) reads(m gossiper.Member) bool {
	h, ok := s.reader(m.DataCentre)

	return ok && h.ID == m.ID
}

// recordBytes returns the total length of a reply's records in bytes.
func recordBytes(p *wire.StreamReply) int {
	n := len(p.Packed)
	for _, r := range p.Records {
		n += len(r.Value)
	}

	return n
}

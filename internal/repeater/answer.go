package repeater

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/relayer"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// answer returns the reply to a requester as soon as there are records for it, at the latest after the requested
// wait. It fails with ErrPeer when this instance has read nothing yet.
func (s *Stream) answer(c context.Context, requester uint64, q wire.StreamRequest) (*wire.StreamReply, error) {
	t := time.NewTimer(time.Duration(q.WaitMs) * time.Millisecond)
	defer t.Stop()

	for {
		s.mu.Lock()
		n, w := s.cache.next, s.changed
		s.mu.Unlock()

		if n < 0 {
			return nil, ErrPeer
		}

		if n > q.From || q.WaitMs == 0 {
			return s.redirect(s.reply(q.From), requester, q.From), nil
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

// reply returns the records from an offset on.
func (s *Stream) reply(from int64) *wire.StreamReply {
	s.mu.Lock()
	l, w := s.cache.since(from)
	p := &wire.StreamReply{
		Next: s.cache.next, Snapshot: w, AgeMs: sinceMs(s.cache.confirmed), LastArrivalMs: sinceMs(s.lastArrival),
	}

	s.mu.Unlock()

	for _, r := range l {
		x := wire.StreamRecord{Key: r.Key, Value: r.Value, Offset: r.Offset}
		if v, ok := s.compressed(r); ok {
			x.Value, x.Packed = v, true
		}

		p.Records = append(p.Records, x)
	}

	s.bundle(p, from)

	return p
}

// compressed returns a record's compressed value, and false when compression does not make the value shorter.
// Compression takes milliseconds, so s.mu is not held meanwhile. All instances that wait for a record request it at
// once, so its value is compressed once and cached.
func (s *Stream) compressed(r watcher.Record) ([]byte, bool) {
	if len(r.Value) < compressMinBytes {
		return nil, false
	}

	s.compressing.Lock()
	defer s.compressing.Unlock()

	s.mu.Lock()
	v, ok := s.cache.compressedValue(r)
	s.mu.Unlock()

	if !ok {
		v = compress(r.Value)

		s.mu.Lock()
		s.cache.putCompressed(r, v)
		s.mu.Unlock()
	}

	return v, len(v) < len(r.Value)
}

// redirect replaces a long reply for which the link has no capacity by the address of an instance that has the
// records.
func (s *Stream) redirect(p *wire.StreamReply, requester uint64, from int64) *wire.StreamReply {
	n := recordBytes(p)
	if n < relayer.LongBytes || from < 0 {
		return p
	}

	a, far := s.locate(requester)

	s.mu.Lock()
	e, ok := s.relayer.ServeOrRedirect(time.Now(), p.Next, n, a, far)
	s.mu.Unlock()

	if ok {
		return p
	}

	return &wire.StreamReply{Next: from, AgeMs: p.AgeMs, LastArrivalMs: p.LastArrivalMs, RedirectTo: e.String()}
}

// sinceMs returns the time elapsed since t in milliseconds, at most one hour.
func sinceMs(t time.Time) uint32 {
	return uint32(min(time.Since(t), time.Hour).Milliseconds()) //nolint:gosec // Fits.
}

// locate returns the address of an instance; it is invalid when the instance is unknown. The second result reports
// whether the instance is in another data centre. Such an instance reads for all instances there.
func (s *Stream) locate(id uint64) (netip.AddrPort, bool) {
	m := s.repeater.members
	for _, x := range m.Live() {
		if x.ID == id {
			return x.Address, x.DataCentre != m.Self().DataCentre
		}
	}

	return netip.AddrPort{}, false
}

// recordBytes returns the total length of a reply's records in bytes.
func recordBytes(p *wire.StreamReply) int {
	n := len(p.Packed)
	for _, r := range p.Records {
		n += len(r.Value)
	}

	return n
}

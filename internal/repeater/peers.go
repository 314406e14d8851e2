package repeater

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// requestPeers calls a few random instances at once. It returns the first reply with new records, or, when there is
// none, the one most recently confirmed by the platform. It fails with ErrPeer.
func (s *Stream) requestPeers(c context.Context, from watcher.Position) (*wire.StreamReply, error) {
	// These calls have a deadline of their own: a read from the platform may have used up that of c.
	x, stop := extender.New(context.WithoutCancel(c), extender.DefaultSettings(peerTimeout))
	defer stop()

	l := s.randomPeers()
	o := make(chan *wire.StreamReply, len(l))

	for _, m := range l {
		go func() {
			p, err := s.request(x, m, from, 0, s.fraction(peerStaleFraction))
			s.count(sourcePeer, err)

			o <- p
		}()
	}

	var best *wire.StreamReply

	for range l {
		p := <-o
		if p != nil && from.Before(position(p)) {
			return p, nil
		}

		if p != nil && (best == nil || p.AgeMs < best.AgeMs) {
			best = p
		}
	}

	if best == nil {
		return nil, ErrPeer
	}

	return best, nil
}

// randomPeers returns at most peersPerRound other live instances.
func (s *Stream) randomPeers() []gossiper.Member {
	m := s.repeater.members
	l := slices.DeleteFunc(slices.Clone(m.Live()), func(x gossiper.Member) bool { return x.ID == m.Self().ID })

	rand.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] }) //nolint:gosec // Spreads requests.

	return l[:min(len(l), peersPerRound)]
}

func (s *Stream) count(source string, err error) {
	s.repeater.meter.Read(s.name, source, err == nil)
}

// upstreamAttempts is how often the upstream is asked while the instances to which it redirects fail.
const upstreamAttempts = 2

// requestUpstream requests records from the upstream, and follows its redirects. It fails with ErrPeer or errStale;
// errRedirect marks failures of an instance to which the read was redirected.
func (s *Stream) requestUpstream(c context.Context, x upstream, from watcher.Position, wait time.Duration) (p *wire.StreamReply, err error) {
	for range upstreamAttempts {
		p, err = s.followRedirects(c, x, from, wait)
		if !errors.Is(err, errRedirect) || c.Err() != nil {
			return p, err
		}
	}

	return p, err
}

func (s *Stream) followRedirects(c context.Context, x upstream, from watcher.Position, wait time.Duration) (*wire.StreamReply, error) {
	p, err := s.request(c, x.member, from, wait, x.stale)

	for n := 0; err == nil && p.RedirectTo != "" && n < maxRedirects; n++ {
		a, e := netip.ParseAddrPort(p.RedirectTo)
		if e != nil {
			return nil, errors.Mark(e, ErrPeer)
		}

		// The instance may be receiving the records at this moment, so it may wait for them.
		if p, err = s.request(c, gossiper.Member{Address: a}, from, x.wait, x.stale); err != nil {
			err = errors.Mark(err, errRedirect)
		}
	}

	return p, err
}

// request requests the records from a position on from one instance, which waits up to the given time for a record.
// It fails with errStale when that instance's records are of an earlier era, or when the platform last confirmed them
// longer than stale ago, unless a part of an answer has just arrived there. On other failures it fails with ErrPeer.
func (s *Stream) request(c context.Context, m gossiper.Member, from watcher.Position, wait, stale time.Duration) (*wire.StreamReply, error) {
	d := peerTimeout
	if wait > 0 {
		d = wait + peerSlack
	}

	u := extender.DefaultSettings(d)
	u.OnExtend = s.noteArrival

	x, stop := extender.New(c, u)
	defer stop()

	var p wire.StreamReply

	err := s.repeater.messenger.Call(x, m.Address, wire.KindStream,
		&wire.StreamRequest{Stream: s.name, From: from.Offset, Era: from.Era, WaitMs: uint32(wait.Milliseconds())}, &p) //nolint:gosec // A few seconds.
	if err != nil {
		return nil, errors.Mark(err, ErrPeer)
	}

	y := time.Duration(p.LastArrivalMs) * time.Millisecond
	s.setLastArrival(time.Now().Add(-y))

	if p.Era < from.Era {
		return nil, errors.Mark(errors.Newf("the records of %v are of era %d, before %d", m.Address, p.Era, from.Era), errStale)
	}

	if time.Duration(p.AgeMs)*time.Millisecond > stale && y >= extender.IdleTimeout {
		return nil, errors.Mark(errors.Newf("the records of %v were last confirmed by the platform %d ms ago", m.Address, p.AgeMs), errStale)
	}

	if err := unbundle(&p); err != nil {
		return nil, err
	}

	for i := range p.Records {
		x := &p.Records[i]
		if !x.Packed {
			continue
		}

		if x.Value, err = decompress(x.Value); err != nil {
			return nil, err
		}
	}

	return &p, nil
}

// confirmedAt returns when the platform last confirmed the records of a reply.
func (s *Stream) confirmedAt(p *wire.StreamReply) time.Time {
	return time.Now().Add(-time.Duration(p.AgeMs) * time.Millisecond)
}

// position returns the position after the last record of a reply.
func position(p *wire.StreamReply) watcher.Position {
	return watcher.Position{Era: p.Era, Offset: p.Next}
}

func records(p *wire.StreamReply) []watcher.Record {
	o := make([]watcher.Record, 0, len(p.Records))
	for _, r := range p.Records {
		o = append(o, watcher.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}

	return o
}

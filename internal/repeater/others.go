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

// others asks a few other instances at once and returns the first answer with
// something new, else that of the one that heard of the platform last.
func (s *Stream) others(c context.Context, from int64) (*wire.StreamReply, error) {
	// A time of its own: that for the platform may have run out.
	x, stop := extender.New(context.WithoutCancel(c), extender.Arriving(peerTimeout))
	defer stop()

	l := s.some()
	o := make(chan *wire.StreamReply, len(l))

	for _, m := range l {
		go func() {
			p, err := s.ask(x, m, from, 0, s.part(otherStalePart))
			s.count(sourceOther, err)

			o <- p
		}()
	}

	var best *wire.StreamReply

	for range l {
		p := <-o
		if p != nil && p.Next > from {
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

// some returns a few random other instances.
func (s *Stream) some() []gossiper.Member {
	m := s.repeater.members
	l := slices.DeleteFunc(slices.Clone(m.Live()), func(x gossiper.Member) bool { return x.ID == m.Self().ID })

	rand.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] }) //nolint:gosec // Spreads questions.

	return l[:min(len(l), othersAsked)]
}

func (s *Stream) count(source string, err error) {
	s.repeater.meter.Read(s.name, source, err == nil)
}

// askOn asks the instance that this one reads through, and those that it is sent on to.
func (s *Stream) askOn(c context.Context, x reading, from int64, wait time.Duration) (*wire.StreamReply, error) {
	p, err := s.ask(c, x.from, from, wait, x.stale)

	for n := 0; err == nil && p.Elsewhere != "" && n < sentOnMost; n++ {
		a, e := netip.ParseAddrPort(p.Elsewhere)
		if e != nil {
			return nil, errors.Mark(e, ErrPeer)
		}

		// It may be told just now: it is given the time for it.
		if p, err = s.ask(c, gossiper.Member{Address: a}, from, x.wait, x.stale); err != nil {
			err = errors.Mark(err, errSentOn)
		}
	}

	return p, err
}

// ask asks one instance, whose own knowledge may be so old.
func (s *Stream) ask(c context.Context, m gossiper.Member, from int64, wait, stale time.Duration) (*wire.StreamReply, error) {
	d := peerTimeout
	if wait > 0 {
		d = wait + peerSlack
	}

	u := extender.Arriving(d)
	u.Came = s.arrived

	x, stop := extender.New(c, u)
	defer stop()

	var p wire.StreamReply

	err := s.repeater.messenger.Call(x, m.Address, wire.KindStream,
		&wire.StreamRequest{Stream: s.name, From: from, WaitMs: uint32(wait.Milliseconds())}, &p) //nolint:gosec // A few seconds.
	if err != nil {
		return nil, errors.Mark(err, ErrPeer)
	}

	y := time.Duration(p.ComingMs) * time.Millisecond
	s.coming(time.Now().Add(-y))

	if time.Duration(p.AgeMs)*time.Millisecond > stale && y >= extender.SilentAfter {
		return nil, errors.Mark(errors.Newf("%v has not heard of the platform for %d ms", m.Address, p.AgeMs), errOld)
	}

	if err := unbundle(&p); err != nil {
		return nil, err
	}

	for i := range p.Records {
		x := &p.Records[i]
		if !x.Packed {
			continue
		}

		if x.Value, err = unpack(x.Value); err != nil {
			return nil, err
		}
	}

	return &p, nil
}

// age returns when what an instance said was the platform's word.
func (s *Stream) age(p *wire.StreamReply) time.Time {
	return time.Now().Add(-time.Duration(p.AgeMs) * time.Millisecond)
}

func records(p *wire.StreamReply) []watcher.Record {
	o := make([]watcher.Record, 0, len(p.Records))
	for _, r := range p.Records {
		o = append(o, watcher.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}

	return o
}

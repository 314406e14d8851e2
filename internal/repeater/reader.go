package repeater

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/watcher"
)

// leave passes an instance over that reads for this one. One of the own data centre that can't be
// reached is nobody's; one that answers with old knowledge may only have been turned away itself,
// and must not be taken for dead: in an outage of the platform that would be every instance. The
// one that reads for all may only be out of reach from here.
func (s *Stream) leave(x reading, took time.Duration, err error) {
	switch {
	case errors.Is(err, errSentOn):
		// The reader itself has answered.
	case x.first || errors.Is(err, errOld) || x.from.ID == 0:
		s.mu.Lock()
		s.skipped = x.from.ID
		s.skippedAt = time.Now()
		s.mu.Unlock()
	default:
		s.repeater.members.Suspect(x.from.ID)
	}

	logrus.WithFields(logrus.Fields{
		"event": "readerLost", "stream": s.name, "peer": x.from.Address, "took": took.Round(time.Millisecond), "error": err,
	}).Info()
}

// reading is a read through another instance.
type reading struct {
	from gossiper.Member
	// wait is how long it is asked to wait for a change, and stale how old its knowledge may be.
	wait, stale time.Duration
	// first says that it reads for all data centres, and this one through it for its own.
	first bool
}

// reader returns the instance that this one reads through, and false when it reads itself.
//
// Each read of the platform has a price, whether it brings anything or not. So one instance reads
// for all, one of each other data centre through it, and the rest through these. A reader that
// can't tell is left at once: whoever read through it reads itself.
func (s *Stream) reader() (reading, bool) {
	m := s.repeater.members
	if time.Since(s.repeater.started) < settleIn {
		return s.seed()
	}

	x := reading{wait: s.part(readerWaitPart), stale: s.part(readerStalePart)}

	h, ok := s.home(m.Self().DataCentre)
	if ok && h.ID == m.Self().ID {
		x.wait, x.stale, x.first = s.part(firstWaitPart), s.part(firstStalePart), true
		h, ok = s.home(s.firstCentre())
	}

	x.from = h

	if !ok || h.ID == m.Self().ID || !x.first && h.DataCentre != m.Self().DataCentre {
		return x, false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return x, h.ID != s.skipped || time.Since(s.skippedAt) >= skipFor
}

// home returns the instance that is to read for a data centre: one of those whose links carry most. While a long
// record comes over a thin link, nobody is answered there for a second.
func (s *Stream) home(centre string) (gossiper.Member, bool) {
	// A key stands for one list of data centres.
	k := hasher.Key("reader", s.name, centre)

	o, ok := s.repeater.members.Home(k, []string{centre})
	if !ok || o.DataCentre != centre {
		return o, ok
	}

	l := s.repeater.members.Live()
	c := o.Link()

	for _, x := range l {
		if x.DataCentre == centre {
			c = max(c, x.Link())
		}
	}

	if o.Link() == c {
		return o, true
	}

	most := -1.0

	for _, x := range l {
		if n := hasher.Score(k, x.ID, 1); x.DataCentre == centre && x.Link() == c && n > most {
			o, most = x, n
		}
	}

	return o, true
}

// firstCentre returns the data centre of the region whose reader reads for all of them.
func (s *Stream) firstCentre() string {
	m := s.repeater.members
	l := []string{m.Self().DataCentre}

	for _, x := range m.Live() {
		if x.Region == m.Self().Region && !slices.Contains(l, x.DataCentre) {
			l = append(l, x.DataCentre)
		}
	}

	k := hasher.Key("reader", s.name)

	return slices.MaxFunc(l, func(a, b string) int {
		return cmp.Compare(hasher.Score(k, hasher.Key(a), 1), hasher.Score(k, hasher.Key(b), 1))
	})
}

// seed returns the read through one of the seeds, and false when this instance reads itself or the
// last could not tell. The seeds read through the first of them.
//
// An instance that has just started does not know those of its data centre. When
// many start at once each would read for itself until they know each other, at a
// price that is most of a calm day's.
func (s *Stream) seed() (reading, bool) {
	m := s.repeater.members
	l := m.Seeds()

	s.mu.Lock()
	defer s.mu.Unlock()

	if len(l) == 0 || time.Since(s.skippedAt) < seedSkipFor {
		return reading{}, false
	}

	if !slices.Contains(l, m.Self().Address) {
		return reading{from: gossiper.Member{Address: l[m.Self().ID%uint64(len(l))]}, wait: s.part(readerWaitPart), stale: s.part(readerStalePart)}, true
	}

	k := hasher.Key("reader", s.name)
	f := slices.MaxFunc(l, func(a, b netip.AddrPort) int {
		return cmp.Compare(hasher.Score(k, hasher.Key(a.String()), 1), hasher.Score(k, hasher.Key(b.String()), 1))
	})

	return reading{from: gossiper.Member{Address: f}, wait: s.part(firstWaitPart), stale: s.part(firstStalePart), first: true}, f != m.Self().Address
}

// probes says whether this instance asks the platform itself: when the platform
// answered it last, when it reads for its data centre, and else now and then.
//
// In an outage every instance would ask again and again, and each refusal has a price.
// The few that ask are enough: who is answered tells the others when they ask.
func (s *Stream) probes() bool {
	s.mu.Lock()
	r := s.refused
	s.mu.Unlock()

	if !r {
		return true
	}

	m := s.repeater.members
	if h, ok := s.home(m.Self().DataCentre); !ok || h.ID == m.Self().ID {
		return true
	}

	n := 0

	for _, x := range m.Live() {
		if x.DataCentre == m.Self().DataCentre {
			n++
		}
	}

	return rand.IntN(max(n, 1)) < probers //nolint:gosec // Spreads calls.
}

// setRefused notes whether the platform answered.
func (s *Stream) setRefused(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.refused = err != nil && !errors.Is(err, watcher.ErrForgotten)
}

// note logs when another instance becomes the one that reads, or this one does.
func (s *Stream) note(h gossiper.Member, other bool) {
	var a netip.AddrPort
	if other {
		a = h.Address
	}

	s.mu.Lock()
	same := s.noted && s.reads == a
	s.noted, s.reads = true, a
	s.mu.Unlock()

	if !same {
		logrus.WithFields(logrus.Fields{"event": "readerChosen", "stream": s.name, "self": !other, "peer": h.Address}).Info()
	}
}

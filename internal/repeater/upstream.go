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
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/watcher"
)

// reportFailure handles the failure of a read from the upstream. The reader of this data centre is suspected of
// having crashed when it can't be reached. When its records are too old, it is only skipped for a while: the
// platform may refuse it, and in an outage of the platform every instance would be suspected. When it refuses the
// request it is alive, and may be of another release. The region's reader is only skipped in all cases, because it
// may be unreachable only from this instance.
func (s *Stream) reportFailure(x upstream, took time.Duration, err error) {
	switch {
	case errors.Is(err, errRedirect):
		// The upstream itself has answered.
	case x.member.ID == 0:
		s.skip(x.member.ID)
		s.nextSeed()
	case x.regional || errors.Is(err, errStale) || errors.Is(err, messenger.ErrRefused) || errors.Is(err, messenger.ErrFrame):
		s.skip(x.member.ID)
	default:
		s.repeater.members.Suspect(x.member.ID)
	}

	logrus.WithFields(logrus.Fields{
		"event": "readerLost", "stream": s.name, "peer": x.member.Address, "took": took.Round(time.Millisecond), "error": err,
	}).Info()
}

// skip makes this instance skip an upstream for a while.
func (s *Stream) skip(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.skipped, s.skippedAt = id, time.Now()
}

// nextSeed makes the next read from a seed use another one.
func (s *Stream) nextSeed() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.seedFailures++
}

// upstream is the instance through which this one reads.
type upstream struct {
	member gossiper.Member
	// wait is how long a request waits at the member for a change, and stale the greatest accepted age of the
	// member's records.
	wait, stale time.Duration
	// regional reports whether the member is the region's reader, from which this instance reads for its data
	// centre, or the seed from which the other seeds read.
	regional bool
}

// upstream returns the upstream, and false when this instance reads from the platform.
//
// Each read from the platform is billed, whether it returns records or not. So one instance reads for the region,
// one instance of each other data centre reads from that one, and all other instances read from the one of their
// data centre. When an upstream fails, the instances that read from it read from the platform at once.
func (s *Stream) upstream() (upstream, bool) {
	m := s.repeater.members
	if time.Since(s.repeater.started) < settlePeriod {
		return s.seed()
	}

	x := upstream{wait: s.fraction(readerWaitFraction), stale: s.fraction(readerStaleFraction)}

	h, ok := s.reader(m.Self().DataCentre)
	if ok && h.ID == m.Self().ID {
		x.wait, x.stale, x.regional = s.fraction(regionWaitFraction), s.fraction(regionStaleFraction), true
		h, ok = s.reader(s.regionCentre())
	}

	x.member = h

	if !ok || h.ID == m.Self().ID || !x.regional && h.DataCentre != m.Self().DataCentre {
		return x, false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return x, h.ID != s.skipped || time.Since(s.skippedAt) >= skipPeriod
}

// reader returns the reader of a data centre: the home (home node) of the stream, or, when other instances have
// links of a higher class, one of those with the highest. An instance with a narrow-bandwidth link answers no
// requests for a second while a long record arrives.
func (s *Stream) reader(centre string) (gossiper.Member, bool) {
	// The home of a key depends on the list of data centres, so each data centre has its own key.
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

// regionCentre returns the data centre whose reader is the region's reader.
func (s *Stream) regionCentre() string {
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

// seed returns a seed as the upstream, and false when this instance reads from the platform, because it is the seed
// that does so or because a seed failed within seedSkipPeriod. One seed reads from the platform, and the other seeds
// read from that one.
//
// An instance that has just started does not know the others of its data centre. When many start at once, each would
// read from the platform until they know each other, which would cost most of what a whole day without incidents
// costs.
func (s *Stream) seed() (upstream, bool) {
	m := s.repeater.members
	l := m.Seeds()

	s.mu.Lock()
	defer s.mu.Unlock()

	if len(l) == 0 || time.Since(s.skippedAt) < seedSkipPeriod {
		return upstream{}, false
	}

	if !slices.Contains(l, m.Self().Address) {
		return upstream{member: gossiper.Member{Address: l[(m.Self().ID+s.seedFailures)%uint64(len(l))]}, wait: s.fraction(readerWaitFraction), stale: s.fraction(readerStaleFraction)}, true
	}

	k := hasher.Key("reader", s.name)
	f := slices.MaxFunc(l, func(a, b netip.AddrPort) int {
		return cmp.Compare(hasher.Score(k, hasher.Key(a.String()), 1), hasher.Score(k, hasher.Key(b.String()), 1))
	})

	return upstream{member: gossiper.Member{Address: f}, wait: s.fraction(regionWaitFraction), stale: s.fraction(regionStaleFraction), regional: true}, f != m.Self().Address
}

// probesPlatform reports whether this instance calls the platform in this round. It does if the platform answered
// its last call or if it is its data centre's reader. Otherwise it does so at random, so that about proberCount
// instances of the data centre call in each round.
//
// In an outage every instance would retry, and each refusal is billed. A few calling instances suffice, because the
// others receive the records from them.
func (s *Stream) probesPlatform() bool {
	s.mu.Lock()
	r := s.platformFailed
	s.mu.Unlock()

	if !r {
		return true
	}

	m := s.repeater.members
	if h, ok := s.reader(m.Self().DataCentre); !ok || h.ID == m.Self().ID {
		return true
	}

	n := 0

	for _, x := range m.Live() {
		if x.DataCentre == m.Self().DataCentre {
			n++
		}
	}

	return rand.IntN(max(n, 1)) < proberCount //nolint:gosec // Spreads calls.
}

// setPlatformFailed records whether the platform answered a call with the given error.
func (s *Stream) setPlatformFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.platformFailed = err != nil && !errors.Is(err, watcher.ErrTruncated)
}

// logUpstream logs when the upstream has changed. Without one, this instance reads from the platform.
func (s *Stream) logUpstream(h gossiper.Member, ok bool) {
	var a netip.AddrPort
	if ok {
		a = h.Address
	}

	s.mu.Lock()
	same := s.upstreamLogged && s.loggedUpstream == a
	s.upstreamLogged, s.loggedUpstream = true, a
	s.mu.Unlock()

	if !same {
		logrus.WithFields(logrus.Fields{"event": "readerChosen", "stream": s.name, "self": !ok, "peer": h.Address}).Info()
	}
}

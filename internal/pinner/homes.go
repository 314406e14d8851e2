package pinner

import (
	"net/netip"
	"slices"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/hasher"
)

const (
	// homeCount is the number of instances that keep the note of a stream. When four of five instances are killed at
	// once, two of three streams still have one that was not.
	homeCount = 5
	// minAskedPerCentre is the least number of instances in each data centre that are asked for a note: one more than keeps
	// it there, since two instances may not take the same ones for live.
	minAskedPerCentre = 2
)

// Homes returns the other instances that keep the note of a stream: the first in each data centre, beginning with that of
// this instance, then the second ones.
func Homes(s Stream, self gossiper.Member, live []gossiper.Member) []gossiper.Member {
	o := byRank(s, self, live)

	return o[:min(len(o), homeCount)]
}

// Asked returns the other instances that are asked for the note of a stream.
func Asked(s Stream, self gossiper.Member, live []gossiper.Member) []gossiper.Member {
	centres := max(countCentres(live), 1)
	most := max(minAskedPerCentre, (homeCount+centres-1)/centres)
	n := make(map[string]int)

	return slices.DeleteFunc(byRank(s, self, live), func(m gossiper.Member) bool {
		n[m.DataCentre]++

		return n[m.DataCentre] > most
	})
}

func countCentres(l []gossiper.Member) int {
	o := make(map[string]bool)
	for _, m := range l {
		o[m.DataCentre] = true
	}

	return len(o)
}

// byRank returns the other instances: the first in the rendezvous order of each data centre, then the second ones and so
// on. The order is by address, so that it remains the same when processes start again.
func byRank(s Stream, self gossiper.Member, live []gossiper.Member) []gossiper.Member {
	type ranked struct {
		member gossiper.Member
		score  uint64
		place  int
	}

	l := make([]ranked, 0, len(live))

	for _, m := range live {
		l = append(l, ranked{member: m, score: hasher.Mix(uint64(s), addressKey(m.Address))})
	}

	slices.SortFunc(l, func(a, b ranked) int {
		if a.score > b.score {
			return -1
		}

		return 1
	})

	places := make(map[string]int)

	for i := range l {
		c := l[i].member.DataCentre
		l[i].place = places[c]
		places[c]++
	}

	slices.SortStableFunc(l, func(a, b ranked) int {
		if a.place != b.place {
			return a.place - b.place
		}

		return distance(a.member, self) - distance(b.member, self)
	})

	o := make([]gossiper.Member, 0, len(l))

	for _, x := range l {
		if x.member.ID != self.ID {
			o = append(o, x.member)
		}
	}

	return o
}

// distance is zero for the instances in the data centre of this one, and one for others.
func distance(m, self gossiper.Member) int {
	if m.DataCentre == self.DataCentre {
		return 0
	}

	return 1
}

// addressKey returns the hash of an address.
func addressKey(a netip.AddrPort) uint64 {
	return hasher.Key(a.String())
}

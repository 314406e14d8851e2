package gossiper

import (
	"cmp"
	"slices"

	"github.com/auburntray/auburntray/internal/hasher"
)

// maxHomes is the number of routers returned for a key: its home and the next ones in
// rank, which succeed it.
const maxHomes = 3

// Key identifies something that has a home (home node: the one router responsible for
// it), for example a cell.
type Key struct {
	Key uint64
	// Centres are the data centres whose routers are preferred.
	Centres []string
}

// Assign returns the routers for each key in the order of their rank, the home first. It
// uses rendezvous hashing among the live routers of the key's data centres, or among all
// live routers if those have none.
//
// A router that ranks first for several keys remains the home of the key for which its
// score is highest. Each of the other keys, in ascending order, is assigned to the next
// router in its rank that is not a home yet. Without this rule, one router could by chance be
// the home of several busy cells and exceed its budget of control traffic, while hundreds
// of routers are the home of none.
//
// The result depends only on the routers and the keys, so that all routers with the same
// view agree. A router that joins or leaves changes the homes of the keys for which it
// ranks among the first, and of few others.
func Assign(live []Member, keys []Key) map[uint64][]Member {
	keys = slices.SortedFunc(slices.Values(keys), func(a, b Key) int { return cmp.Compare(a.Key, b.Key) })
	o := make(map[uint64][]Member, len(keys))
	// h maps the ID of each router that is a home to the key that it is the home of.
	h := make(map[uint64]uint64, len(keys))

	for _, k := range keys {
		l := rank(live, k)
		o[k.Key] = l

		if len(l) == 0 {
			continue
		}

		if b, ok := h[l[0].ID]; !ok || outranks(k.Key, b, l[0].ID) {
			h[l[0].ID] = k.Key
		}
	}

	for _, k := range keys {
		l := o[k.Key]
		if len(l) == 0 || h[l[0].ID] == k.Key {
			continue
		}

		l = preferUnassigned(l, h)
		o[k.Key] = l

		if _, ok := h[l[0].ID]; !ok {
			h[l[0].ID] = k.Key
		}
	}

	return o
}

// preferUnassigned moves the first router that is not a home yet to the front of the list. It
// returns the list unchanged if all are homes.
func preferUnassigned(l []Member, homes map[uint64]uint64) []Member {
	for i, m := range l {
		if _, ok := homes[m.ID]; !ok {
			return append(append([]Member{m}, l[:i]...), l[i+1:]...)
		}
	}

	return l
}

// outranks reports whether a router has a higher score for key a than for key b. The
// lower key wins a tie.
func outranks(a, b, router uint64) bool {
	x, y := hasher.Score(a, router, 1), hasher.Score(b, router, 1)

	return x > y || (x == y && a < b)
}

// rank returns the routers with the highest scores for a key, from its data centres if
// these have any.
func rank(live []Member, k Key) []Member {
	o := topRanked(live, k.Key, func(m Member) bool { return slices.Contains(k.Centres, m.DataCentre) })
	if len(o) > 0 {
		return o
	}

	return topRanked(live, k.Key, func(Member) bool { return true })
}

// topRanked returns up to maxHomes of the selected routers, those with the highest scores
// for a key, in descending order.
func topRanked(l []Member, key uint64, selects func(Member) bool) []Member {
	var (
		o []Member
		s []float64
	)

	for _, m := range l {
		if !selects(m) {
			continue
		}

		x := hasher.Score(key, m.ID, 1)
		i := 0

		for i < len(s) && s[i] >= x {
			i++
		}

		if i < maxHomes {
			o = slices.Insert(o, i, m)
			s = slices.Insert(s, i, x)
		}

		o = o[:min(len(o), maxHomes)]
		s = s[:min(len(s), maxHomes)]
	}

	return o
}

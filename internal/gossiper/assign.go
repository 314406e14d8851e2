package gossiper

import (
	"cmp"
	"slices"

	"github.com/auburntray/auburntray/internal/hasher"
)

// homesKept is how many routers of a key are returned: its home and those that
// come after it.
const homesKept = 3

// Key is something that needs a home, among the routers of some data centres.
type Key struct {
	Key     uint64
	Centres []string
}

// Assign returns the routers for each key, its home first, by rendezvous among
// the live routers of its data centres, or among all when none lives there.
//
// A router that is first for several keys keeps the one for which its score is
// highest; the others go, in the order of the keys, to the next of theirs that is
// no home yet. Hot cells that meet on one router by chance would otherwise take it
// over its control budget while hundreds have none. Whoever has the same routers
// and keys comes to the same homes. A router that joins or leaves changes the
// homes of the keys that it is among the first for, and of few others.
func Assign(live []Member, keys []Key) map[uint64][]Member {
	keys = slices.SortedFunc(slices.Values(keys), func(a, b Key) int { return cmp.Compare(a.Key, b.Key) })
	o := make(map[uint64][]Member, len(keys))
	// h holds, for each router that is a home, the key that it keeps.
	h := make(map[uint64]uint64, len(keys))

	for _, k := range keys {
		l := rank(live, k)
		o[k.Key] = l

		if len(l) == 0 {
			continue
		}

		if b, ok := h[l[0].ID]; !ok || before(k.Key, b, l[0].ID) {
			h[l[0].ID] = k.Key
		}
	}

	for _, k := range keys {
		l := o[k.Key]
		if len(l) == 0 || h[l[0].ID] == k.Key {
			continue
		}

		l = standBack(l, h)
		o[k.Key] = l

		if _, ok := h[l[0].ID]; !ok {
			h[l[0].ID] = k.Key
		}
	}

	return o
}

// standBack returns a key's routers with the first of them that is no home yet at
// the front; when all are, they stay as they are.
func standBack(l []Member, keeps map[uint64]uint64) []Member {
	for i, m := range l {
		if _, ok := keeps[m.ID]; !ok {
			return append(append([]Member{m}, l[:i]...), l[i+1:]...)
		}
	}

	return l
}

// before says that a router has a higher score for key a than for key b.
func before(a, b, router uint64) bool {
	x, y := hasher.Score(a, router, 1), hasher.Score(b, router, 1)

	return x > y || (x == y && a < b)
}

// rank returns the first routers for one key.
func rank(live []Member, k Key) []Member {
	o := first(live, k.Key, func(m Member) bool { return slices.Contains(k.Centres, m.DataCentre) })
	if len(o) > 0 {
		return o
	}

	return first(live, k.Key, func(Member) bool { return true })
}

// first returns the routers with the highest scores for a key among those that
// a function selects, the highest first.
func first(l []Member, key uint64, selects func(Member) bool) []Member {
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

		if i < homesKept {
			o = slices.Insert(o, i, m)
			s = slices.Insert(s, i, x)
		}

		o = o[:min(len(o), homesKept)]
		s = s[:min(len(s), homesKept)]
	}

	return o
}

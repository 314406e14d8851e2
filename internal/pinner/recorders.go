package pinner

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/hasher"
)

const (
	// instancesPerRecorder is the number of instances for each recorder. More recorders write to the log more often, fewer
	// receive more bytes each.
	instancesPerRecorder = 24
	// copies is the number of recorders that get the note of a stream, in different data centres. One of them may be killed
	// with the instance, or cut off.
	copies = 2
)

// Recorders are the few instances that write notes to the log, by data centre.
type Recorders struct {
	self      gossiper.Member
	byCentre  map[string][]gossiper.Member
	recording bool
	// writers are the IDs of the recorders that write the versions in use.
	writers []uint64
	count   int
}

// NewRecorders selects the recorders among the live instances and this one: the first in each data centre, then the second
// ones, and so on, until there are enough.
func NewRecorders(self gossiper.Member, live []gossiper.Member) *Recorders {
	r := &Recorders{self: self, byCentre: make(map[string][]gossiper.Member)}

	for _, m := range byRank(self, live) {
		if r.count >= copies && r.count*instancesPerRecorder >= max(len(live), 1) {
			break
		}

		r.byCentre[m.DataCentre] = append(r.byCentre[m.DataCentre], m)
		r.count++

		if len(r.writers) < copies {
			r.writers = append(r.writers, m.ID)
		}

		r.recording = r.recording || m.ID == self.ID
	}

	return r
}

// Recording reports whether this instance is a recorder.
func (r *Recorders) Recording() bool { return r.recording }

// Writers returns the process IDs of the recorders that write the versions in use. They are few, since these are the same for all
// recorders.
func (r *Recorders) Writers() []uint64 { return r.writers }

// Writing reports whether this instance is a writer.
func (r *Recorders) Writing() bool { return slices.Contains(r.writers, r.self.ID) }

// First reports whether this instance is the first writer.
func (r *Recorders) First() bool { return len(r.writers) > 0 && r.writers[0] == r.self.ID }

// Count returns the number of recorders.
func (r *Recorders) Count() int { return r.count }

// Of returns the recorders of a stream without this instance: one in each data centre that has any, that of this data centre
// first. The number of those that get its note is the second result.
func (r *Recorders) Of(s Stream) (l []gossiper.Member, told int) {
	type ranked struct {
		member gossiper.Member
		score  uint64
	}

	var o []ranked

	for _, l := range r.byCentre {
		k := func(m gossiper.Member) uint64 { return hasher.Mix(uint64(s), addressKey(m.Address)) }
		m := slices.MaxFunc(l, func(a, b gossiper.Member) int { return cmp.Compare(k(a), k(b)) })
		o = append(o, ranked{m, k(m)})
	}

	slices.SortFunc(o, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(r.distance(a.member), r.distance(b.member)), cmp.Compare(b.score, a.score))
	})

	told = min(copies, len(o))

	for i, x := range o {
		if x.member.ID != r.self.ID {
			l = append(l, x.member)
		} else if i < copies {
			told--
		}
	}

	return l, told
}

// distance is zero for the instances in the data centre of this one, and one for others.
func (r *Recorders) distance(m gossiper.Member) int {
	if m.DataCentre == r.self.DataCentre {
		return 0
	}

	return 1
}

// byRank returns this instance and the other live ones: the first in an order by address in each data centre, then the second
// ones and so on. The order remains the same when processes start again.
func byRank(self gossiper.Member, live []gossiper.Member) []gossiper.Member {
	type ranked struct {
		member *gossiper.Member
		key    uint64
	}

	l := []ranked{{&self, addressKey(self.Address)}}

	for i := range live {
		if m := &live[i]; m.ID != self.ID {
			l = append(l, ranked{m, addressKey(m.Address)})
		}
	}

	slices.SortFunc(l, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })

	var byPlace [][]gossiper.Member

	places := make(map[string]int)

	for _, x := range l {
		n := places[x.member.DataCentre]
		places[x.member.DataCentre]++

		if n == len(byPlace) {
			byPlace = append(byPlace, nil)
		}

		byPlace[n] = append(byPlace[n], *x.member)
	}

	return slices.Concat(byPlace...)
}

// addressKey returns the hash of an address.
func addressKey(a netip.AddrPort) uint64 {
	b := a.Addr().As16()

	return hasher.Mix(hasher.Mix(binary.BigEndian.Uint64(b[:]), binary.BigEndian.Uint64(b[len(b)/2:])), uint64(a.Port()))
}

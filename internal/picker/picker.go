// Package picker selects the target for a request: the one that has the chat's prompt prefix
// in its cache, as long as its load permits, and otherwise the least loaded target of the
// customer's subset.
package picker

import (
	"math"

	"github.com/auburntray/auburntray/internal/hasher"
)

// Settings are the parameters of the policy. docs/decisions names the measurements that
// their values are derived from.
type Settings struct {
	// LoadFactor bounds the load of a target to a multiple of the mean load, and Slack to
	// a number of requests above the mean. The larger bound applies.
	LoadFactor float64
	Slack      float64
	// PlacementMargin is subtracted from LoadFactor for the bound up to which a chat returns
	// to its placement. It reserves capacity for other requests.
	PlacementMargin float64
	// SubsetSpare and SubsetFactor determine the size of a customer's subset: the
	// customer's share of the targets times SubsetFactor, plus SubsetSpare.
	SubsetSpare  int
	SubsetFactor float64
}

// DefaultSettings returns the settings that routers use.
func DefaultSettings() Settings {
	return Settings{LoadFactor: 1.25, Slack: 3, PlacementMargin: 0.06, SubsetSpare: 3, SubsetFactor: 2}
}

// Candidate is a target that may be selected.
type Candidate struct {
	ID uint32
	// Weight is the target's capacity.
	Weight float64
	// Load is the work in flight at the target.
	Load float64
	// Unavailable reports whether the target accepts no new requests. Its load still counts towards
	// the mean if Counted is set.
	Unavailable bool
	Counted     bool
	// Ineligible reports whether the target may not get the request for a reason other than its
	// load, such as that the rule does not select it, or that it is unhealthy or leaving.
	Ineligible bool
}

// Request holds the properties of a request that the selection depends on.
type Request struct {
	// Chat is the key of the chat; zero means that the request belongs to none.
	Chat uint64
	// Customer is the customer's key.
	Customer uint32
	// Share is the customer's share of the load, from 0 to 1.
	Share float64
	// Placement is the index of the candidate that has the chat's prefix in its cache, or
	// NoTarget.
	Placement int
	// Work is the work of the request at a target without its prefix, and PlacementWork its
	// work at its placement.
	Work          float64
	PlacementWork float64
	// OtherLoad and OtherWeight are the sums over the targets that count towards the mean
	// but are no candidates.
	OtherLoad   float64
	OtherWeight float64
}

// NoTarget is the result when no candidate accepts new requests.
const NoTarget = -1

// Pick returns the index of the selected candidate, or NoTarget if none accepts new
// requests. It is safe for concurrent use.
func Pick(s Settings, r Request, c []Candidate) int {
	b := newBound(s, r, c)

	if r.Placement >= 0 && !c[r.Placement].Unavailable && b.permitsPlacement(c[r.Placement], r.PlacementWork) {
		return r.Placement
	}

	if i := leastWithinBound(b, c, ranked(r, c, subset(s, r, c))); i != NoTarget {
		return i
	}

	return leastLoaded(r, c)
}

// ranked orders candidates by rendezvous hashing of the chat, so that chats prefer different
// ones among equally loaded candidates. Otherwise a fleet with little load would assign every
// new chat to one engine, and a home (home node) that lost its placement table could not
// find the chats' targets again.
func ranked(r Request, c []Candidate, n []int) []int {
	o := hasher.Rank(r.Chat, len(n),
		func(i int) uint64 { return uint64(c[n[i]].ID) },
		func(i int) float64 { return c[n[i]].Weight })

	for i := range o {
		o[i] = n[o[i]]
	}

	return o
}

// bound computes the maximum load of targets.
type bound struct {
	settings Settings
	request  Request
	mean     float64
}

// newBound computes the mean load per unit of weight of the counted candidates and the
// other targets, including the request's own work.
func newBound(s Settings, r Request, c []Candidate) bound {
	l, w := r.OtherLoad, r.OtherWeight

	for _, x := range c {
		if x.Counted {
			l += x.Load
			w += x.Weight
		}
	}

	return bound{settings: s, request: r, mean: (l + r.Work) / max(w, 1)}
}

func (b bound) work(i int) float64 {
	if i == b.request.Placement {
		return b.request.PlacementWork
	}

	return b.request.Work
}

// permits reports whether a target is available and stays within the bound with additional
// work. An engine far above the mean generates tokens slowly for all its chats. The check
// includes the new request, so that the bound is also observed after the selection.
func (b bound) permits(c Candidate, work float64) bool {
	return !c.Unavailable && c.Load+work <= b.limit(b.settings.LoadFactor, c)
}

// permitsPlacement reports whether a chat may return to its placement.
func (b bound) permitsPlacement(c Candidate, work float64) bool {
	return c.Load+work <= b.limit(b.settings.LoadFactor-b.settings.PlacementMargin, c)
}

// limit returns the larger of a multiple of the mean and the mean plus Slack. With few
// requests in flight, a multiple of the mean allows less than one additional request. Without
// Slack a fleet with little load would move each chat from its placement, and lose its prompt
// caches although no engine is near its capacity.
func (b bound) limit(factor float64, c Candidate) float64 {
	m := b.mean * c.Weight

	return max(factor*m, m+b.settings.Slack)
}

// subset returns the indexes of the customer's targets, the first ones in its rendezvous
// order, so that a surge adds targets to the subset without moving chats. The subset keeps
// a prompt prefix that is common to the customer's chats on few targets, and isolates other
// customers from the surge.
func subset(s Settings, r Request, c []Candidate) []int {
	u := make([]int, 0, len(c))

	for i, x := range c {
		if !x.Unavailable {
			u = append(u, i)
		}
	}

	m := int(math.Ceil(r.Share*s.SubsetFactor*float64(len(u)))) + s.SubsetSpare
	if m >= len(u) {
		return u
	}

	o := hasher.Rank(uint64(r.Customer), len(u),
		func(i int) uint64 { return uint64(c[u[i]].ID) },
		func(i int) float64 { return c[u[i]].Weight })
	n := make([]int, m)

	for i := range n {
		n[i] = u[o[i]]
	}

	return n
}

// leastWithinBound returns the least loaded of the given candidates that stay within the
// bound, or NoTarget.
func leastWithinBound(b bound, c []Candidate, o []int) int {
	v := NoTarget
	l := math.Inf(1)

	for _, i := range o {
		x := (c[i].Load + b.work(i)) / c[i].Weight
		if x < l && b.permits(c[i], b.work(i)) {
			v, l = i, x
		}
	}

	return v
}

// leastLoaded returns the available candidate with the least load after the request,
// regardless of the bound. It is used if every candidate would exceed the bound, for example
// when a single request does so on an idle fleet, and limits the excess to that request.
func leastLoaded(r Request, c []Candidate) int {
	v := NoTarget
	l := math.Inf(1)

	for i, x := range c {
		w := r.Work
		if i == r.Placement {
			w = r.PlacementWork
		}

		y := (x.Load + w) / x.Weight
		if !x.Unavailable && y < l {
			v, l = i, y
		}
	}

	return v
}

package selector

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/hasher"
)

// candidate is a target that a call may be sent to, with values that the selection needs several times.
type candidate struct {
	target *discoverer.Target
	load   float64
	// shed reports whether the target refused a call within shedAvoidance.
	shed bool
	// cold reports whether the target can only serve a low rate of calls.
	cold bool
	// maxCalls, explores and needsCount are those of Choice.
	maxCalls             int
	explores, needsCount bool
}

// candidates returns the targets of a list that the call may be sent to and was not sent to before.
func (s *Selector) candidates(now time.Time, r *discoverer.Registry, l []*discoverer.Target, q *Query) []candidate {
	o := make([]candidate, 0, len(l))

	for _, t := range l {
		if !q.allows(t) || slices.Contains(q.Tried, t.ID) {
			continue
		}

		x := candidate{target: t, cold: q.cold(now, r, t)}

		if p, ok := s.processes[t.Key()]; ok {
			x.load = p.load(now)
			x.shed = now.Sub(p.shedAt) < shedAvoidance
		}

		o = append(o, x)
	}

	return o
}

// filter returns the candidates that satisfy a predicate. It copies the list only if a candidate is removed, which
// is rare.
func filter(l []candidate, f func(candidate) bool) []candidate {
	i := slices.IndexFunc(l, func(x candidate) bool { return !f(x) })
	if i < 0 {
		return l
	}

	o := append(make([]candidate, 0, len(l)), l[:i]...)

	for _, x := range l[i+1:] {
		if f(x) {
			o = append(o, x)
		}
	}

	return o
}

// filterOrAll returns the candidates that satisfy a predicate, or all if none does.
func filterOrAll(l []candidate, f func(candidate) bool) []candidate {
	if o := filter(l, f); len(o) > 0 {
		return o
	}

	return l
}

// bound returns how many calls a target of a group may have. It is derived from the mean load of the reachable
// targets and of those in evacuated data centres. Reachable targets that are excluded, for example because they
// fail, count too: without them, the others would be filled to a multiple of their own mean instead of the mean of
// the group.
//
// If so much of the group is evacuated that all other targets exceed that bound, the bound is a multiple of the
// mean load of these other targets, so that calls with the same prompt remain at the same target.
func (s Settings) bound(reached, evacuated []candidate) float64 {
	n := totalLoad(reached) + 1
	all := (n + totalLoad(evacuated)) / float64(len(reached)+len(evacuated))

	return max(s.Factor*all, min(s.Factor, minFactor)*n/float64(len(reached))) + s.Slack
}

func totalLoad(l []candidate) float64 {
	n := 0.0
	for _, x := range l {
		n += x.load
	}

	return n
}

// pickBounded returns the first candidate in the rendezvous order of the key whose load is within the bound: first
// among those that have the prompt cached (the holders), then among all. The order is the same at every instance,
// so calls that exceed the bound of one target reach the same next target, which has the prompt cached from earlier
// calls. If no candidate is within the bound, pickBounded returns the least loaded one, and of several equally
// loaded ones the first in the order.
func pickBounded(l []candidate, bound float64, key uint64, holders []discoverer.Key) candidate {
	var o, h, b ranked

	for _, x := range l {
		r := ranked{candidate: x, score: hasher.Score(key, x.target.Rank(), 1)}

		if x.load+1 <= bound {
			o = o.higher(r)

			if slices.Contains(holders, x.target.Key()) {
				h = h.higher(r)
			}
		}

		if b.target == nil || x.load < b.load || x.load == b.load && r.score > b.score {
			b = r
		}
	}

	switch {
	case h.target != nil:
		return h.candidate
	case o.target != nil:
		return o.candidate
	default:
		return b.candidate
	}
}

// firstRanked returns the first target in the rendezvous order of a key, regardless of its load.
func firstRanked(l []candidate, key uint64) *discoverer.Target {
	var o ranked

	for _, x := range l {
		o = o.higher(ranked{candidate: x, score: hasher.Score(key, x.target.Rank(), 1)})
	}

	return o.target
}

// spreadFactor is the factor by which the number of targets that pickSpread draws from grows with each target found
// full. A smaller factor sends calls with a frequent prompt to the same full targets; with a larger one, more
// targets than necessary compute the prompt.
const spreadFactor = 3

// pickForPrompt returns the candidate for a call with a prompt. The holders are the targets known to have the
// prompt cached.
func pickForPrompt(l []candidate, bound float64, holders []discoverer.Key, q Query) candidate {
	if q.Declined > 1 {
		return pickSpread(l, bound, holders, q)
	}

	return pickBounded(l, bound, q.Prefixes[0].Key, holders)
}

// pickSpread returns a candidate within the bound for a call that found several targets full. The candidate is
// drawn from the first targets in the rendezvous order of the key; the number of these targets grows by
// spreadFactor with each target found full.
//
// A prompt that a tenth of all calls share fills ten or more targets. If all calls tried the targets one by one in
// the same order, each call would first request a slot at every full target, or be sent to a full target.
func pickSpread(l []candidate, bound float64, holders []discoverer.Key, q Query) candidate {
	k := q.Prefixes[0].Key
	r := make([]ranked, 0, len(l))

	for _, x := range l {
		if x.load+1 <= bound {
			r = append(r, ranked{candidate: x, score: hasher.Score(k, x.target.Rank(), 1)})
		}
	}

	if len(r) == 0 {
		return pickBounded(l, bound, k, holders)
	}

	slices.SortFunc(r, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })

	n := 1
	for range q.Declined - 1 {
		n *= spreadFactor
	}

	return r[hasher.Mix(q.Draw, uint64(q.Declined))%uint64(min(n, len(r)))].candidate //nolint:gosec // Both are above zero.
}

// ranked is a candidate with its score in the rendezvous order of a key; the highest is first. The zero value
// is no candidate and ranks last.
type ranked struct {
	candidate

	score float64
}

// higher returns the candidate with the higher score.
func (r ranked) higher(x ranked) ranked {
	if r.target == nil || x.score > r.score {
		return x
	}

	return r
}

// pickLeastLoaded returns the candidate with the least load per slot. The penalty is added to the load per slot of
// candidates outside the given data centre, so that one inside is preferred until its load per slot exceeds that of
// the others by more than the penalty. Ties are broken by draw, a number derived from the call: if the first of several
// equally loaded candidates were always selected, the last one would receive no calls while the others have free slots.
func pickLeastLoaded(l []candidate, centre string, penalty float64, draw uint64) candidate {
	var o candidate

	b := 0.0
	before := func(x, y candidate) bool {
		return hasher.Score(draw, x.target.Rank(), 1) > hasher.Score(draw, y.target.Rank(), 1)
	}

	for _, x := range l {
		w := x.load / float64(max(x.target.Slots, 1))
		if x.target.DataCentre != centre {
			w += penalty
		}

		if o.target == nil || w < b || w == b && before(x, o) {
			o, b = x, w
		}
	}

	return o
}

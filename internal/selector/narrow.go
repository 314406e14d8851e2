package selector

import (
	"slices"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// narrows reports whether a call may be sent to some targets of a group only: the targets of a version, or in some data centres. The
// parameter l lists the targets of the group that the version permits. A customer's shard is no such case: it exists while
// targets crash, and its customer is served as long as one of them runs.
//
// The mean load of these targets is no measure of what they may have. It rises with each call that they get, so the bound
// derived from it would never be reached, and all calls of a version that has one target left would wait there.
func (q *Query) narrows(l, group []*discoverer.Target) bool {
	return len(l) < len(group) || slices.ContainsFunc(l, func(t *discoverer.Target) bool { return !q.allows(t) })
}

// narrowBound returns the bound for a call that narrows its choice to the given candidates, from that for all calls of the group.
// A target whose slots are taken serves the call only after others have ended, which is as good as elsewhere only if the
// average target of the group is as full.
func narrowBound(bound float64, group, l []candidate) float64 {
	n := 0
	for _, x := range l {
		n = max(n, x.target.Slots)
	}

	if n > 0 {
		bound = min(bound, max(float64(n), minFactor*totalLoad(group)/float64(len(group))+1))
	}

	return bound
}

// withoutLeft returns the candidates that the call does not leave to calls that are bound to a version. It returns all if no
// other has room within the bound.
func (q *Query) withoutLeft(l []candidate, bound float64) []candidate {
	if len(q.Leave) == 0 {
		return l
	}

	o := filter(l, func(x candidate) bool { return !slices.Contains(q.Leave, x.target.SoftwareVersion()) })
	if slices.ContainsFunc(o, func(x candidate) bool { return x.load+1 <= bound }) {
		return o
	}

	return l
}

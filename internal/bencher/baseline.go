package bencher

import (
	"time"

	"github.com/auburntray/auburntray/internal/hasher"
)

// baseline is a policy without homes, in which each router decides alone: by hashing,
// or by the targets' delayed load reports and its own requests.
type baseline struct {
	kind string
	// sent holds each router's own requests in flight, by router and target.
	sent [][]int16
}

// Baselines, and the load factor of the bounded policies.
const (
	policyRandom     = "random"
	policyTwoChoices = "twoChoices"
	policyRendezvous = "rendezvous"
	policyBounded    = "boundedRendezvous"
	loadFactor       = 1.25
)

func newBaseline(kind string, s Size) *baseline {
	b := &baseline{kind: kind}

	if kind == policyTwoChoices || kind == policyBounded {
		for range s.Routers {
			b.sent = append(b.sent, make([]int16, s.Targets*2))
		}
	}

	return b
}

func (b *baseline) pick(w *world, q *request) (*target, time.Duration) {
	r := w.routers[q.router]

	var l []*target

	for _, t := range w.pools[[2]int{q.chat.customer.model, r.region}] {
		if w.reachable(r, t) {
			l = append(l, t)
		}
	}

	if len(l) == 0 {
		return nil, 0
	}

	t := b.choose(w, q, l)

	if b.sent != nil {
		b.sent[q.router][t.index]++
	}

	return t, 0
}

func (b *baseline) choose(w *world, q *request, l []*target) *target {
	switch b.kind {
	case policyRandom:
		return l[w.random.IntN(len(l))]
	case policyTwoChoices:
		x, y := l[w.random.IntN(len(l))], l[w.random.IntN(len(l))]
		if b.estimatedLoad(q, y) < b.estimatedLoad(q, x) {
			return y
		}

		return x
	}

	o := hasher.Rank(q.chat.key, len(l),
		func(i int) uint64 { return uint64(l[i].index) }, //nolint:gosec // Not negative.
		func(i int) float64 { return float64(l[i].capacity) })

	if b.kind == policyRendezvous {
		return l[o[0]]
	}

	s := 0.0
	for _, t := range l {
		s += b.estimatedLoad(q, t)
	}

	for _, i := range o {
		if b.estimatedLoad(q, l[i])+1 <= loadFactor*(s+1)/float64(len(l)) {
			return l[i]
		}
	}

	return l[o[0]]
}

// estimatedLoad returns a target's delayed load report, or the number of the router's
// own requests on it if that is higher.
func (b *baseline) estimatedLoad(q *request, t *target) float64 {
	return max(float64(t.reportedRunning()), float64(b.sent[q.router][t.index]))
}

func (b *baseline) done(_ *world, q *request) {
	if b.sent != nil {
		b.sent[q.router][q.target.index]--
	}
}

func (b *baseline) tick(*world)               {}
func (b *baseline) replaceRouter(*world, int) {}

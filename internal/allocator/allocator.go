// Package allocator allocates capacity to customers by weighted max-min fairness.
package allocator

import (
	"math"
	"sort"
	"time"
)

const (
	// demandWindow is the time constant of the exponential decay of refused work, which counts as
	// demand. It is about the duration of a long answer.
	demandWindow = 10 * time.Second
	// minDemand is the demand below which a customer is forgotten.
	minDemand = 1.0
	// enforcedFraction is the fraction of the capacity in use above which shares are enforced. Below it
	// any customer may use idle capacity.
	enforcedFraction = 0.85
	// levelInterval is the time between two computations of the fair level.
	levelInterval = 100 * time.Millisecond
)

// account is the state of one customer: used is its work in flight, and refused its refused work, which
// decays.
type account struct {
	used      float64
	refused   float64
	weight    float64
	decayedAt time.Time
}

// Allocator counts the work that customers have in flight and decides whether one more request is within its
// customer's share. It is not safe for concurrent use.
type Allocator struct {
	accounts map[uint32]*account
	used     float64
	// level is the fair level, see Level.
	level    float64
	levelAt  time.Time
	capacity float64
}

// New returns an Allocator without customers and without a limit on shares.
func New() *Allocator {
	return &Allocator{accounts: make(map[uint32]*account), level: math.Inf(1)}
}

// Admit reports whether a customer may start the given work. The targets have the given capacity, and all
// customers together occupy used of it; work, used and capacity have the same unit. Refused work counts as
// the customer's demand.
func (s *Allocator) Admit(now time.Time, customer uint32, weight, work, used, capacity float64) bool {
	a := s.account(now, customer, weight)
	s.updateLevel(now, capacity)

	if used+work <= capacity*enforcedFraction {
		return true
	}

	// A surge of a few customers must not cause refusals for the others. A customer below its share is
	// admitted up to the full capacity; only those above theirs are refused, whatever their number of
	// requests. The sum of the shares is below the capacity, so that there is free capacity for
	// customers below their share.
	if used+work <= capacity && a.used+work <= max(s.level*a.weight, work) {
		return true
	}

	a.refused += work

	return false
}

// Start adds admitted work to the work in flight.
func (s *Allocator) Start(now time.Time, customer uint32, weight, work float64) {
	s.account(now, customer, weight).used += work
	s.used += work
}

// Finish removes finished work from the work in flight. It does nothing for an unknown customer.
func (s *Allocator) Finish(customer uint32, work float64) {
	a, ok := s.accounts[customer]
	if !ok {
		return
	}

	a.used = max(a.used-work, 0)
	s.used = max(s.used-work, 0)
}

// Used returns the work in flight of all customers.
func (s *Allocator) Used() float64 {
	return s.used
}

// Share returns a customer's fraction of the work in flight, from 0 to 1; zero for an unknown customer.
func (s *Allocator) Share(customer uint32) float64 {
	a, ok := s.accounts[customer]
	if !ok || s.used <= 0 {
		return 0
	}

	return min(a.used/s.used, 1)
}

// Len returns the number of customers with recent demand.
func (s *Allocator) Len() int {
	return len(s.accounts)
}

func (s *Allocator) account(now time.Time, customer uint32, weight float64) *account {
	a, ok := s.accounts[customer]
	if !ok {
		a = &account{decayedAt: now}
		s.accounts[customer] = a
	}

	a.weight = weight
	a.decay(now)

	return a
}

// decay applies the decay of refused work up to now.
func (a *account) decay(now time.Time) {
	d := now.Sub(a.decayedAt)
	if d <= 0 {
		return
	}

	a.refused *= math.Exp(-float64(d) / float64(demandWindow))
	a.decayedAt = now
}

// updateLevel computes the fair level if it is due or the capacity has changed, and forgets idle customers.
func (s *Allocator) updateLevel(now time.Time, capacity float64) {
	if now.Sub(s.levelAt) < levelInterval && capacity == s.capacity {
		return
	}

	s.levelAt = now
	s.capacity = capacity

	d := make([]Demand, 0, len(s.accounts))

	for k, a := range s.accounts {
		a.decay(now)

		if a.used+a.refused < minDemand {
			delete(s.accounts, k)

			continue
		}

		d = append(d, Demand{Work: a.used + a.refused, Weight: a.weight})
	}

	s.level = Level(d, capacity*enforcedFraction)
}

// Demand is the work that one customer requests, and the customer's weight.
type Demand struct{ Work, Weight float64 }

// Level returns the fair level: the work per weight at which the demands, each limited to its weight times
// the level, use up the capacity. It is infinite if the capacity suffices for all demands. It sorts d.
func Level(d []Demand, capacity float64) float64 {
	sort.Slice(d, func(a, b int) bool { return d[a].Work*d[b].Weight < d[b].Work*d[a].Weight })

	w := 0.0
	for _, x := range d {
		w += x.Weight
	}

	for _, x := range d {
		l := capacity / w
		if x.Work > l*x.Weight {
			return l
		}

		capacity -= x.Work
		w -= x.Weight
	}

	return math.Inf(1)
}

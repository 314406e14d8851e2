// Package delegator selects the instance through which a call is sent while this instance has lost its links to the
// targets of the call's group: the delegate.
//
// Load pattern: most instances of a data centre, or of all, lose their links at the same moment, and the few that
// have not get the calls of all callers. An instance asks only a few others at a time for permission, so that the
// fleet does not exchange a message for each pair of instances, and spreads its calls over those that grant it.
package delegator

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburntray/auburntray/internal/gossiper"
)

const (
	// wantedDelegates is the number of delegates of a group below which further instances are asked.
	wantedDelegates = 4
	// askBatch is the number of instances that are asked at a time.
	askBatch = 8
	// asksPerSecond bounds the requests for permission, each of about a hundred bytes with its reply.
	asksPerSecond = 24
	// refreshInterval is the age at which a grant is requested again, and grantLifetime that at which it is no longer used.
	refreshInterval = time.Second
	grantLifetime   = 5 * time.Second
	// silentBackoff is how long an instance that did not respond, or refused, is not asked and gets no calls. fullBackoff is that
	// time for an instance that has too many calls.
	silentBackoff = time.Second
	fullBackoff   = 250 * time.Millisecond
	// unreachedFor is how long an instance counts as one that does not reach a group, unless it reports otherwise.
	unreachedFor = time.Second
)

// Grant is an instance's permission to send calls through it.
type Grant struct {
	// Address is where the instance accepts such calls, and Token authorizes them.
	Address netip.AddrPort
	Token   string
	// Unreached are the groups whose targets the instance does not reach itself.
	Unreached []string
}

// Delegate is an instance that has granted permission.
type Delegate struct {
	ID      uint64
	Address netip.AddrPort
	Token   string
}

// instance is the state of another instance.
type instance struct {
	grant     Grant
	grantedAt time.Time
	// askedAt is when the instance was last asked, and avoidUntil the time until which it gets no calls.
	askedAt, avoidUntil time.Time
	// unreached is, by group, the time until which the instance counts as one that does not reach the group.
	unreached map[string]time.Time
	// running is the number of calls of this instance that are sent through the instance.
	running int
}

// Delegator holds the state of the other instances. It is not safe for concurrent use.
type Delegator struct {
	random    *rand.Rand
	limiter   *rate.Limiter
	instances map[uint64]*instance
}

// New returns a Delegator without grants.
func New(r *rand.Rand) *Delegator {
	return &Delegator{random: r, limiter: rate.NewLimiter(asksPerSecond, askBatch), instances: make(map[uint64]*instance)}
}

// Query describes a call that needs a delegate.
type Query struct {
	Group string
	// DataCentres are this instance's data centre and that of the call's target. Delegates there are preferred, since the
	// call crosses no further link between data centres.
	DataCentres []string
	// Tried are the IDs of the delegates at which the call was already tried.
	Tried []uint64
}

// Choose returns a delegate for a call among the live instances: one of those with the fewest calls of this instance, in
// a preferred data centre if there is one. It returns false if no instance is known to reach the group.
func (d *Delegator) Choose(now time.Time, live []gossiper.Member, q Query) (Delegate, bool) {
	var l []gossiper.Member

	for _, m := range live {
		if !slices.Contains(q.Tried, m.ID) && d.usable(now, m.ID, q.Group) {
			l = append(l, m)
		}
	}

	if len(l) == 0 {
		return Delegate{}, false
	}

	d.random.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })

	cost := func(m gossiper.Member) int {
		n := d.instances[m.ID].running
		if !slices.Contains(q.DataCentres, m.DataCentre) {
			n++
		}

		return n
	}
	m := slices.MinFunc(l, func(a, b gossiper.Member) int { return cost(a) - cost(b) })
	x := d.instances[m.ID]

	return Delegate{ID: m.ID, Address: x.grant.Address, Token: x.grant.Token}, true
}

// Available reports whether an instance is known to reach the group.
func (d *Delegator) Available(now time.Time, live []gossiper.Member, group string) bool {
	return slices.ContainsFunc(live, func(m gossiper.Member) bool { return d.usable(now, m.ID, group) })
}

// usable reports whether calls of a group may be sent through an instance.
func (d *Delegator) usable(now time.Time, id uint64, group string) bool {
	x, ok := d.instances[id]

	return ok && !x.grantedAt.IsZero() && now.Sub(x.grantedAt) < grantLifetime && !now.Before(x.avoidUntil) && !now.Before(x.unreached[group])
}

// Ask returns the instances to ask now, so that each of the groups has delegates: those whose grants are due to be
// requested again and, if there are too few, others.
func (d *Delegator) Ask(now time.Time, live []gossiper.Member, self uint64, groups []string) []gossiper.Member {
	d.prune(now, live)

	var o, others []gossiper.Member

	usable := make(map[string]int)

	for _, m := range live {
		if m.ID == self {
			continue
		}

		used := false

		for _, g := range groups {
			if d.usable(now, m.ID, g) {
				usable[g]++
				used = true
			}
		}

		switch x := d.instance(m.ID); {
		case used && now.Sub(x.askedAt) >= refreshInterval:
			o = append(o, m)
		case !used && now.Sub(x.askedAt) >= refreshInterval && !now.Before(x.avoidUntil):
			others = append(others, m)
		}
	}

	d.random.Shuffle(len(o), func(a, b int) { o[a], o[b] = o[b], o[a] })

	if slices.ContainsFunc(groups, func(g string) bool { return usable[g] < wantedDelegates }) {
		d.random.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
		slices.SortStableFunc(others, func(a, b gossiper.Member) int { return d.instance(a.ID).askedAt.Compare(d.instance(b.ID).askedAt) })
		o = append(o, others...)
	}

	o = o[:min(len(o), askBatch)]

	for i, m := range o {
		if !d.limiter.AllowN(now, 1) {
			return o[:i]
		}

		d.instance(m.ID).askedAt = now
	}

	return o
}

// RecordGrant records an instance's grant.
func (d *Delegator) RecordGrant(now time.Time, id uint64, g Grant) {
	x := d.instance(id)
	x.grant, x.grantedAt = g, now

	clear(x.unreached)

	for _, n := range g.Unreached {
		x.unreached[n] = now.Add(grantLifetime)
	}
}

// RecordSilent records that an instance did not respond, or refused to be a delegate. It gets no calls until it has granted
// permission again: one that has stalled would hold them until their deadlines.
func (d *Delegator) RecordSilent(now time.Time, id uint64) {
	x := d.instance(id)
	x.avoidUntil, x.grantedAt = now.Add(silentBackoff), time.Time{}
}

// RecordTimeout records that no answer came through an instance in time. The instance is asked again soon: if the cause is
// that it has stalled, it does not respond.
func (d *Delegator) RecordTimeout(id uint64) {
	d.instance(id).askedAt = time.Time{}
}

// RecordFull records that an instance has too many calls.
func (d *Delegator) RecordFull(now time.Time, id uint64) {
	d.instance(id).avoidUntil = now.Add(fullBackoff)
}

// RecordUnreached records that an instance does not reach a group.
func (d *Delegator) RecordUnreached(now time.Time, id uint64, group string) {
	d.instance(id).unreached[group] = now.Add(unreachedFor)
}

// Start counts a call that is sent through an instance, and Finish ends it.
func (d *Delegator) Start(id uint64) { d.instance(id).running++ }

// Finish ends a call that was counted with Start.
func (d *Delegator) Finish(id uint64) {
	x := d.instance(id)
	x.running = max(x.running-1, 0)
}

func (d *Delegator) instance(id uint64) *instance {
	x, ok := d.instances[id]
	if !ok {
		x = &instance{unreached: make(map[string]time.Time)}
		d.instances[id] = x
	}

	return x
}

// prune drops the state of instances that are no longer live and have no calls of this instance.
func (d *Delegator) prune(now time.Time, live []gossiper.Member) {
	if len(d.instances) <= len(live) {
		return
	}

	for id, x := range d.instances {
		gone := !slices.ContainsFunc(live, func(m gossiper.Member) bool { return m.ID == id })
		if gone && x.running == 0 && now.Sub(x.grantedAt) >= grantLifetime {
			delete(d.instances, id)
		}
	}
}

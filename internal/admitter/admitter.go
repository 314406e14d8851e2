// Package admitter decides which calls go first when targets have more of them than
// they can begin in time.
//
// Targets take calls of one priority in the order in which they come. When more come
// than they can begin, each waits behind all before it, and soon every call begins
// late, though the targets could have begun most of them in time. So a part of the
// calls, no more than can be begun in time, goes ahead of the others.
package admitter

import (
	"container/heap"
	"math"
	"time"

	"github.com/auburntray/auburntray/internal/allocator"
)

const (
	// settleEvery is the time between two looks at how a lane does. It is well below
	// the time within which calls should begin, some hundred milliseconds.
	settleEvery = 100 * time.Millisecond
	// leastKnown is how many calls must have begun, or not, for a verdict; after
	// settleMost fewer are enough, so that an instance with few calls learns too.
	leastKnown = 5
	settleMost = 500 * time.Millisecond
	// missMost is the part of the calls that may begin late. Some do at any load,
	// since their prompts are long or are read for the first time: one in twenty on a
	// day without trouble.
	missMost = 0.15
	// cut is what is left of a lane after a verdict of too many, and raise what is
	// added after a good one. Of the pairs that were tried on the load of the tests,
	// these had the most calls in time: 302 of 429, with 0.85 and 0.03 281, with 0.7
	// and 0.05 292.
	cut   = 0.8
	raise = 0.05
	// leastShare keeps some calls in a lane whatever happens: without any, nobody
	// would notice that they begin in time again.
	leastShare = 0.1
	// rateWindow is the time over which the calls of a customer are counted.
	rateWindow = time.Second
)

// Lane is a set of calls that targets take in the order in which they come.
type Lane struct {
	Group    string
	Priority int
	// Late is the lane of those that are not expected to begin in time.
	Late bool
}

// Ticket is a call that was let into a lane. Its zero value is no call.
type Ticket struct {
	lane *lane
	due  time.Time
	done bool
	// cuts is how often the lane had been cut when the call was let in.
	cuts int
}

// customer is one customer's calls in a lane.
type customer struct {
	// calls are those since the last verdict, rate how many there are a second.
	calls int
	rate  float64
	// part is the part of them that is let in, and credit what is left of it.
	part, credit float64
}

// lane is what is known of a Lane.
type lane struct {
	share     float64
	customers map[uint32]*customer
	pending   tickets
	hits      int
	misses    int
	settled   time.Time
	cuts      int
}

// Admitter follows the lanes of one instance. It is not safe for concurrent use.
type Admitter struct {
	lanes map[Lane]*lane
}

// New returns an Admitter that lets everything in.
func New() *Admitter {
	return &Admitter{lanes: make(map[Lane]*lane)}
}

// Admit says whether a call of a customer goes into a lane in which it should begin
// within a time. When it does not, the ticket is nil.
//
// A surge of one customer must not make the calls of the others late: the part of the
// calls that is let in is divided between the customers max-min fair, so that those
// with few calls have all of them in and the surge is cut.
func (a *Admitter) Admit(now time.Time, l Lane, id uint32, within time.Duration) *Ticket {
	x := a.lane(now, l)
	x.settle(now)

	c, ok := x.customers[id]
	if !ok {
		c = &customer{part: 1}
		x.customers[id] = c
	}

	c.calls++
	c.credit += c.part

	if c.credit < 1 {
		return nil
	}

	c.credit--

	t := &Ticket{lane: x, due: now.Add(within), cuts: x.cuts}
	heap.Push(&x.pending, t)

	return t
}

// Began notes that a call has begun, in time or not.
func (a *Admitter) Began(now time.Time, t *Ticket) {
	if t == nil || t.done {
		return
	}

	t.lane.count(t, !now.After(t.due))
}

// Ended notes that a call is over. One that had not begun says nothing: it failed, or
// its caller left, before it was due.
func (a *Admitter) Ended(t *Ticket) {
	if t != nil {
		t.done = true
	}
}

// Share returns the part of its calls that a lane lets in, from 0 to 1.
func (a *Admitter) Share(l Lane) float64 {
	if x, ok := a.lanes[l]; ok {
		return x.share
	}

	return 1
}

func (a *Admitter) lane(now time.Time, l Lane) *lane {
	x, ok := a.lanes[l]
	if !ok {
		x = &lane{share: 1, customers: make(map[uint32]*customer), settled: now}
		a.lanes[l] = x
	}

	return x
}

// settle judges the lane when it is time, and divides it anew.
func (l *lane) settle(now time.Time) {
	l.overdue(now)

	d := now.Sub(l.settled)
	n := l.hits + l.misses

	if d < settleEvery || n < leastKnown && d < settleMost {
		return
	}

	switch {
	case float64(l.misses) > missMost*float64(n):
		l.share = max(l.share*cut, leastShare)
		l.cuts++
	default:
		l.share = min(l.share+raise, 1)
	}

	l.hits, l.misses, l.settled = 0, 0, now
	l.divide(d)
}

// overdue counts the calls that should have begun and have not. To wait until they
// have would show a queue only when it is as long as they wait.
func (l *lane) overdue(now time.Time) {
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

// count takes what became of a call. Those that were let in before the last cut tell
// of the lane as it was then; counted, they would cut it again and again until next
// to nothing is let in.
func (l *lane) count(t *Ticket, inTime bool) {
	t.done = true

	switch {
	case t.cuts != l.cuts:
	case inTime:
		l.hits++
	default:
		l.misses++
	}
}

// divide shares the lane out between its customers, by their calls of the last
// second; d is the time since it was last done.
func (l *lane) divide(d time.Duration) {
	w := min(float64(d)/float64(rateWindow), 1)
	all := 0.0

	var x []allocator.Demand

	for id, c := range l.customers {
		c.rate += w * (float64(c.calls)/d.Seconds() - c.rate)
		c.calls = 0

		if c.rate*rateWindow.Seconds() < leastShare {
			delete(l.customers, id)

			continue
		}

		all += c.rate
		x = append(x, allocator.Demand{Work: c.rate, Weight: 1})
	}

	most := math.Inf(1)
	if l.share < 1 {
		most = allocator.Level(x, l.share*all)
	}

	for _, c := range l.customers {
		c.part = min(most/c.rate, 1)
	}
}

// tickets is a heap with the earliest due first.
type tickets []*Ticket

// Len is part of heap.Interface.
func (t tickets) Len() int { return len(t) }

// Less is part of heap.Interface.
func (t tickets) Less(a, b int) bool { return t[a].due.Before(t[b].due) }

// Swap is part of heap.Interface.
func (t tickets) Swap(a, b int) { t[a], t[b] = t[b], t[a] }

// Push is part of heap.Interface.
func (t *tickets) Push(x any) {
	k, _ := x.(*Ticket)
	*t = append(*t, k)
}

// Pop is part of heap.Interface.
func (t *tickets) Pop() any {
	o := *t
	k := o[len(o)-1]
	*t = o[:len(o)-1]

	return k
}

package admitter

import (
	"math"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

const (
	// beginFraction is the fraction of a target's slots whose calls may be waiting to begin at first, those of all instances
	// together. More would wait for each other's prompts until their callers leave.
	beginFraction = 0.25
	// growth is by how much a call that begins in time raises the number of calls that may wait if half as many do, and
	// shrinkFactor is the factor by which a late one lowers it.
	growth       = 1
	shrinkFactor = 0.5
	// firstDuration is how long a call is assumed to last before one has ended. weight is that of a new value in an average.
	firstDuration = 2 * time.Second
	weight        = 0.25
	// minReturn and maxReturn bound the time after which a refused call is told to return. The shortest is about that until a
	// full target has a free slot.
	minReturn = 250 * time.Millisecond
	maxReturn = 10 * time.Second
	// returnSpread is the fraction of that time by which a call may be late. It is dropped returnSlack later.
	returnSpread = 0.25
	returnSlack  = 500 * time.Millisecond
	// nearReturn is how far from now a call may be expected for a place to be left to it.
	nearReturn = 250 * time.Millisecond
	// maxWaiting bounds the calls of a customer that are expected to return.
	maxWaiting = 1000
	// narrowTTL is how long the state of a scope is kept without calls.
	narrowTTL = 10 * time.Second
)

// Scope identifies the targets of one software version in a group.
type Scope struct {
	Group   string
	Version discoverer.Version
}

// Room describes what the targets of a scope can take.
type Room struct {
	// Targets is the number of targets that a call may be sent to, Slots the number of calls that one of them runs
	// concurrently, and Places the number of calls that they may have together.
	Targets, Slots int
	Places         float64
	// Instances is the number of instances that send calls there; zero if it is not known yet.
	Instances int
	// Within is the time within which a call should begin; zero if there is none.
	Within time.Duration
}

// firstWindow returns how many calls of this instance may wait to begin at first. An instance that has just started does not know
// how many others there are: all of them have, after a loss of all.
func (r *Room) firstWindow() float64 {
	if r.Instances == 0 {
		return float64(r.Targets)
	}

	return float64(r.Targets) * beginFraction * float64(r.Slots) / float64(r.Instances)
}

// Narrow admits the calls that only the targets of a scope may run, and tells the others when to return. After a loss of all
// instances all callers of a version return at once, and few of its targets are left. The number of calls that wait to
// begin there is a window that grows while they begin in time. The places that become free are divided
// between the customers by turns. Narrow is not safe for concurrent use.
type Narrow struct {
	scopes map[Scope]*scope
}

// NewNarrow returns a Narrow without calls.
func NewNarrow() *Narrow {
	return &Narrow{scopes: make(map[Scope]*scope)}
}

// Place is the place of a call that was admitted. Its methods do nothing on a nil place.
type Place struct {
	scope    *scope
	customer uint32
	at       time.Time
	within   time.Duration
	round    int
	begun    bool
	done     bool
}

// waiting is a call that was refused, and the time at which it is expected to return and at which it is dropped.
type waiting struct {
	call       uint64
	due, until time.Time
}

// scope is the state of a Scope.
type scope struct {
	// window is how many calls may wait to begin; zero before the first call. Those that do are pending.
	window  float64
	pending int
	// rounds is the number of times that the window was lowered.
	rounds int
	// running counts the calls of each customer, and all are those of all. waiting holds a customer's refused calls in the order
	// in which they came first.
	running map[uint32]int
	all     int
	waiting map[uint32][]waiting
	// first and duration are the average times until calls begin and until they end.
	first, duration time.Duration
	usedAt          time.Time
}

// Admit admits a call of the customer, unless too many calls wait to begin or a place is left to others. It returns nil if the
// call is not admitted.
func (n *Narrow) Admit(now time.Time, k Scope, customer uint32, call uint64, r Room) *Place {
	p := n.scope(now, k)

	if p.window == 0 {
		p.window = r.firstWindow()
	}

	// Where the calls that wait to begin are not limited, the places that this instance may take still are.
	free := r.Places/float64(max(r.Instances, 1)) - float64(p.all)

	if r.Within > 0 && r.Slots > 0 {
		w := max(p.window, 1) - float64(p.pending)
		if w < 1 {
			return nil
		}

		free = min(free, w)
	}

	if d := p.dueOfOthers(now, customer); d > 0 && free < float64(d+1) && p.exceedsShare(customer) {
		return nil
	}

	p.pending++
	p.all++
	p.running[customer]++

	p.drop(customer, func(w waiting) bool { return w.call == call })

	return &Place{scope: p, customer: customer, at: now, within: r.Within, round: p.rounds}
}

// Refuse records that a call of the customer was refused, and returns the time after which it should return. A call that
// returns too early keeps its turn.
func (n *Narrow) Refuse(now time.Time, k Scope, customer uint32, call uint64, r Room) time.Duration {
	p := n.scope(now, k)
	l := p.waiting[customer]
	i := slices.IndexFunc(l, func(w waiting) bool { return w.call == call })

	if i < 0 && len(l) < maxWaiting {
		i = len(l)
		l = append(l, waiting{call: call})
		p.waiting[customer] = l
	}

	turns := time.Duration(len(l))
	if i >= 0 {
		turns = time.Duration(i + 1)
	}

	d := min(max(turns*time.Duration(len(p.waiting))*p.interval(r), minReturn), maxReturn)

	if i >= 0 {
		l[i].due = now.Add(d)
		l[i].until = l[i].due.Add(time.Duration(returnSpread*float64(d)) + returnSlack)
	}

	return d
}

// Wanted returns the versions of a group whose calls were refused and are expected to return.
func (n *Narrow) Wanted(now time.Time, group string) []discoverer.Version {
	var o []discoverer.Version

	for k, p := range n.scopes {
		if p.expire(now); now.Sub(p.usedAt) >= narrowTTL && p.all == 0 && len(p.waiting) == 0 {
			delete(n.scopes, k)

			continue
		}

		if k.Group == group && len(p.waiting) > 0 {
			o = append(o, k.Version)
		}
	}

	return o
}

// Begin records that a call has begun to be answered.
func (p *Place) Begin(now time.Time) {
	if p == nil || p.begun || p.done {
		return
	}

	p.begun = true
	p.scope.pending--
	p.scope.first = average(p.scope.first, now.Sub(p.at))
	p.adjust(now)
}

// End records that a call is over.
func (p *Place) End(now time.Time) {
	if p == nil || p.done {
		return
	}

	if p.begun {
		p.scope.duration = average(p.scope.duration, now.Sub(p.at))
	}

	p.free(now)

	if !p.begun {
		p.adjust(now)
	}
}

// Cancel records that a call was not sent.
func (p *Place) Cancel(now time.Time) {
	if p != nil && !p.done {
		p.free(now)
	}
}

// free takes the call out of the counts.
func (p *Place) free(now time.Time) {
	p.done = true
	p.scope.usedAt = now
	p.scope.all--

	if !p.begun {
		p.scope.pending--
	}

	if p.scope.running[p.customer]--; p.scope.running[p.customer] <= 0 {
		delete(p.scope.running, p.customer)
	}
}

// adjust raises the window after a call that has begun in time, and lowers it after one that has not. Calls admitted before the
// last lowering are ignored, since they waited in the earlier window.
func (p *Place) adjust(now time.Time) {
	x := p.scope

	switch late := now.Sub(p.at) > p.within; {
	case p.within <= 0 || p.round != x.rounds || !late && !p.begun:
	case late:
		x.window = max(x.window*shrinkFactor, 1)
		x.rounds++
	case float64(x.pending+1) >= x.window/2:
		x.window += growth
	}
}

func (n *Narrow) scope(now time.Time, k Scope) *scope {
	p, ok := n.scopes[k]
	if !ok {
		p = &scope{running: make(map[uint32]int), waiting: make(map[uint32][]waiting)}
		n.scopes[k] = p
	}

	p.usedAt = now
	p.expire(now)

	return p
}

// expire drops the calls that did not return in time.
func (p *scope) expire(now time.Time) {
	for c := range p.waiting {
		p.drop(c, func(w waiting) bool { return now.After(w.until) })
	}
}

// drop removes the waiting calls of a customer that satisfy a predicate.
func (p *scope) drop(customer uint32, f func(waiting) bool) {
	l := slices.DeleteFunc(p.waiting[customer], f)
	if p.waiting[customer] = l; len(l) == 0 {
		delete(p.waiting, customer)
	}
}

// exceedsShare reports whether a customer has more calls running with one more than it would have if all customers had equally many.
func (p *scope) exceedsShare(customer uint32) bool {
	n := len(p.running)

	for c := range p.waiting {
		if p.running[c] == 0 {
			n++
		}
	}

	if p.running[customer] == 0 && len(p.waiting[customer]) == 0 {
		n++
	}

	return (p.running[customer]+1)*n > max(p.all+1, n)
}

// dueOfOthers counts the calls of other customers, which have fewer running, that are expected to return about now.
func (p *scope) dueOfOthers(now time.Time, customer uint32) int {
	n := 0

	for c, l := range p.waiting {
		if p.running[c] >= p.running[customer] {
			continue
		}

		for _, w := range l {
			if now.Sub(w.due).Abs() <= nearReturn {
				n++
			}
		}
	}

	return n
}

// interval returns the time between two places that become free for this instance: as calls begin, and as they end.
func (p *scope) interval(r Room) time.Duration {
	d := p.duration
	if d == 0 {
		d = firstDuration
	}

	ends := float64(d) * float64(max(r.Instances, 1)) / max(r.Places, 1)
	begins := 0.0

	if r.Within > 0 {
		f := r.Within
		if p.first > 0 {
			f = min(f, p.first)
		}

		begins = float64(f) / max(p.window, 1)
	}

	return time.Duration(math.Max(ends, begins))
}

func average(d, x time.Duration) time.Duration {
	if d == 0 {
		return x
	}

	return d + time.Duration(weight*float64(x-d))
}

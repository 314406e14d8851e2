package limiter_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/limiter"
	"github.com/auburntray/auburntray/internal/throttler"
)

// replay is a service that is brittle, before a fleet of instances.
type replay struct {
	instances, targets, slots int
	// queue is how many calls a target lets wait.
	queue int
	// limit is the number of refusals in a second beyond which a target crashes.
	limit int
	// overload is the rate of calls as a multiple of what the targets can run.
	overload float64
	// homes makes one instance count the calls at each target exactly.
	homes bool
	// unlimited sends calls as if the targets were not brittle.
	unlimited bool
	// busy is the fraction of calls that one instance gets.
	busy float64
}

const (
	step = time.Millisecond
	// workSteps is the duration of a call, and reportSteps the age of load reports, in steps.
	workSteps, reportSteps = 60, 100
	// tellSteps is the time after which other instances know of a refusal.
	tellSteps = 2
	awaySteps = 3000
	// totalSteps is the length of a replay, and that of one with more than maxSmall instances.
	totalSteps, largeSteps = 20000, 3000
	maxSmall               = 100
)

// simTarget is a simulated target.
type simTarget struct {
	entry   *discoverer.Target
	running []simCall
	refused []int
	// loads are the numbers of calls in the last reportSteps steps.
	loads  [reportSteps]int
	downTo int
	falls  int
}

// simCall is a call at a target.
type simCall struct {
	end   int
	owner *simInstance
}

// simInstance is a simulated instance.
type simInstance struct {
	limiter *limiter.Limiter
	fleet   throttler.Fleet
	// reported is the load of each target in the last report, own the calls of this instance, and base their number at
	// the report.
	reported, own, base []int
}

type message struct {
	from              *simInstance
	at, target, calls int
}

type result struct{ sent, served, falls int }

func (r replay) run(seed uint64) result {
	x := rand.New(rand.NewPCG(seed, 0))
	epoch := time.Unix(1000, 0)

	var (
		targets   []*simTarget
		instances []*simInstance
		messages  []message
		o         result
	)

	d := discoverer.New(discoverer.DefaultSettings())
	for i := range r.targets {
		d.Set(discoverer.Target{ID: strconv.Itoa(i), Group: "g", Slots: r.slots})
	}

	for i := range r.targets {
		targets = append(targets, &simTarget{entry: d.Registry().Known[strconv.Itoa(i)]})
	}

	var live []uint64
	for i := range r.instances {
		live = append(live, uint64(i+1))
	}

	for i := range r.instances {
		instances = append(instances, &simInstance{
			limiter: limiter.New(), reported: make([]int, r.targets), own: make([]int, r.targets), base: make([]int, r.targets),
			fleet: throttler.Fleet{Self: uint64(i + 1), Live: live, MaxInstances: r.instances, Settled: true},
		})
		instances[i].limiter.RecordBrittle(epoch, "g", r.limit)
	}

	rate := r.overload * float64(r.targets*r.slots) / workSteps

	steps := totalSteps
	if r.instances > maxSmall {
		steps = largeSteps
	}

	for n := range steps {
		now := epoch.Add(time.Duration(n) * step)

		for len(messages) > 0 && messages[0].at <= n {
			for _, i := range instances {
				if i != messages[0].from {
					i.limiter.RecordRefused(now, targets[messages[0].target].entry, messages[0].calls)
				}
			}

			messages = messages[1:]
		}

		for k, t := range targets {
			t.advance(n, k)
		}

		for k, i := range instances {
			if (n+k)%reportSteps == 0 {
				i.limiter.RecordBrittle(now, "g", r.limit)

				for j, t := range targets {
					i.report(j, t.loads[(n+reportSteps/2)%reportSteps])
				}
			}
		}

		for range poisson(x, rate) {
			o.sent++

			i := instances[x.IntN(len(instances))]
			if r.busy > 0 && x.Float64() < r.busy {
				i = instances[0]
			}

			k, explores, ok := r.choose(now, x, i, targets)
			if !ok {
				continue
			}

			t := targets[k]

			if explores {
				i.limiter.RecordExplored(now, t.entry.Key())
			}

			if t.downTo > n {
				continue
			}

			if calls := len(t.running); calls >= r.slots+r.queue {
				t.refuse(n, k, r.limit)
				messages = append(messages, message{from: i, at: n + tellSteps, target: k, calls: calls})
				i.limiter.RecordRefused(now, t.entry, calls)

				continue
			}

			t.running = append(t.running, simCall{end: n + workSteps, owner: i})
			i.own[k]++
			o.served++

			if explores {
				i.limiter.RecordAccepted(t.entry, i.limiter.Capacity(t.entry)+1)
			}
		}
	}

	for _, t := range targets {
		o.falls += t.falls
	}

	return o
}

// choose selects the target with the least load that may get a call.
func (r replay) choose(now time.Time, x *rand.Rand, i *simInstance, l []*simTarget) (target int, explores, ok bool) {
	best := map[limiter.Verdict]int{limiter.Free: -1, limiter.Explore: -1}
	least := map[limiter.Verdict]int{}

	for _, k := range x.Perm(len(l)) {
		load := i.reported[k] + i.own[k] - i.base[k]

		v := limiter.Free
		if !r.unlimited {
			v = i.limiter.Admit(now, l[k].entry, float64(load), i.own[k], func() throttler.Fleet { return i.fleet })
		}

		if r.homes && v != limiter.Blocked {
			c := i.limiter.Capacity(l[k].entry)
			if v == limiter.Explore {
				c++
			} else {
				v = limiter.Free
			}

			if n := len(l[k].running); n+1 > c {
				i.report(k, n)

				v = limiter.Blocked
			}
		}

		if b, ok := best[v]; ok && (b < 0 || load < least[v]) && l[k].downTo <= 0 {
			best[v], least[v] = k, load
		}
	}

	if best[limiter.Free] >= 0 {
		return best[limiter.Free], false, true
	}

	return best[limiter.Explore], true, best[limiter.Explore] >= 0
}

// report records the load of a target.
func (i *simInstance) report(k, calls int) {
	i.reported[k], i.base[k] = calls, i.own[k]
}

// advance ends the calls that are due. The answer to each reports the load.
func (t *simTarget) advance(n, k int) {
	if t.downTo <= n {
		t.downTo = 0
	}

	for len(t.running) > 0 && t.running[0].end <= n {
		i := t.running[0].owner
		t.running = t.running[1:]
		i.own[k]--
		i.report(k, len(t.running))
		i.limiter.RecordAccepted(t.entry, len(t.running))
	}

	t.loads[n%reportSteps] = len(t.running)
}

// refuse counts a refusal, and crashes the target at the limit.
func (t *simTarget) refuse(n, k, limit int) {
	t.refused = append(t.refused, n)
	for n-t.refused[0] >= int(time.Second/step) {
		t.refused = t.refused[1:]
	}

	if len(t.refused) > limit {
		t.falls++
		for _, c := range t.running {
			c.owner.own[k]--
		}

		t.downTo, t.running, t.refused = n+awaySteps, nil, nil
	}
}

// poisson returns a number with a Poisson distribution.
func poisson(x *rand.Rand, mean float64) int {
	n := 0
	for t := x.ExpFloat64(); t < mean; t += x.ExpFloat64() {
		n++
	}

	return n
}

// Guards against targets that crash one after the other while a service is brittle and has more calls than it can run: they
// may do so twice, and once more for each ten of them.
func TestBrittleTargetsUnderOverload(t *testing.T) {
	for name, r := range map[string]replay{
		"6 instances, 4 targets, none may wait":       {instances: 6, targets: 4, slots: 6, limit: 6, overload: 1.5},
		"6 instances, 4 targets, few refusals":        {instances: 6, targets: 4, slots: 6, limit: 3, overload: 1.5},
		"6 instances, 4 targets, some may wait":       {instances: 6, targets: 4, slots: 6, queue: 3, limit: 10, overload: 2},
		"6 instances, 20 targets":                     {instances: 6, targets: 20, slots: 6, limit: 8, overload: 1.3},
		"83 instances, 5 targets, homes":              {instances: 83, targets: 5, slots: 24, queue: 4, limit: 10, overload: 1.5, homes: true},
		"380 instances, 24 targets, homes":            {instances: 380, targets: 24, slots: 8, limit: 10, overload: 1.3, homes: true},
		"380 instances, 24 targets, no home responds": {instances: 380, targets: 24, slots: 8, limit: 20, overload: 1.1},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			seeds := uint64(3)
			if r.instances > maxSmall {
				seeds = 1
			}

			for seed := range seeds {
				o := r.run(seed)
				u := r
				u.unlimited = true
				b := u.run(seed)

				t.Logf("%d falls, %d of %d served; without limits %d falls, %d served", o.falls, o.served, o.sent, b.falls, b.served)
				i.True(float64(o.falls) <= 2+0.1*float64(r.targets))
			}
		})
	}
}

// Guards against calls that are refused at an instance which gets nearly all of them, while brittle targets have room: its share
// of the calls that a target accepts is that of one instance among all.
func TestBrittleTargetsBehindOneBusyInstance(t *testing.T) {
	// minRatio is the least fraction of calls that must be served, relative to calls that come through all instances alike.
	const minRatio, busy = 0.75, 0.95

	for name, r := range map[string]replay{
		"6 instances, 6 targets":     {instances: 6, targets: 6, slots: 8, queue: 8, limit: 8, overload: 0.7, homes: true},
		"80 instances, 12 targets":   {instances: 80, targets: 12, slots: 8, queue: 2, limit: 8, overload: 0.7, homes: true},
		"380 instances, 24 targets":  {instances: 380, targets: 24, slots: 8, limit: 10, overload: 0.7, homes: true},
		"380 instances, overloaded":  {instances: 380, targets: 24, slots: 8, limit: 10, overload: 1.3, homes: true},
		"6 instances, none may wait": {instances: 6, targets: 4, slots: 6, limit: 6, overload: 1.3, homes: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			even := r.run(1)
			r.busy = busy
			o := r.run(1)

			t.Logf("%d of %d served, %d falls; %d of %d served, %d falls with calls at all instances alike", o.served, o.sent, o.falls, even.served, even.sent, even.falls)
			i.True(float64(o.served)/float64(o.sent) >= minRatio*float64(even.served)/float64(even.sent))
			i.True(float64(o.falls) <= 2+0.1*float64(r.targets))
		})
	}
}

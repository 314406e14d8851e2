package quarantiner_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/sharder"
)

// load is a service with calls that end targets among the others.
type load struct {
	targets int
	// rate is how many calls come a second, each of which runs that long.
	rate int
	runs time.Duration
	// looks is the part of the calls that look like another: one of so few.
	looks float64
	alike int
	fatal int
	every time.Duration
	// fresh makes each sending of a call that ends targets another call.
	fresh bool
	// random is how long a target lives that ends by itself, in the middle.
	random time.Duration
}

// counts are what became of the calls.
type counts struct {
	innocent, served, held, ends, fatal int
}

// customers is how many send calls, one of them those that end targets.
const customers = 10

// listing returns so many targets of a group.
func listing(n int) []*enroller.Target {
	e := enroller.New(enroller.DefaultSettings())

	for i := range n {
		e.Set(enroller.Target{ID: strconv.Itoa(i), Group: "g"})
	}

	return e.Roster().Groups["g"]
}

// enter returns a target as a list has it.
func enter(t enroller.Target) *enroller.Target {
	e := enroller.New(enroller.DefaultSettings())
	e.Set(t)

	return e.Roster().Known[t.ID]
}

// running is a call at a target.
type running struct {
	digest digester.Digest
	until  time.Time
	tries  int
	fatal  bool
	// customer is who sends it: the first of the customers what ends targets, the others the
	// good calls.
	customer uint64
}

// replay plays a load, a millisecond a step, with so many ends until a call is held back. All
// instances are taken for one: what they tell each other is told within milliseconds. A call
// whose target ends goes to another one, and its caller sends it once more when that fails too.
func replay(l load, ends int, lasts time.Duration) counts {
	s := quarantiner.DefaultSettings()
	s.Ends = ends

	var (
		o counts
		r = rand.New(rand.NewPCG(1, 2))
		q = quarantiner.New(s)
		// at holds the calls of each target, back is when it is there again, and process its name.
		at      = make([][]running, l.targets)
		back    = make([]time.Time, l.targets)
		process = make([]enroller.Name, l.targets)
		next    = enroller.Name(1)
		unique  = digester.Digest(1 << 32)
		now     = start()
		c       = sharder.New()
		whose   = rand.New(rand.NewPCG(3, 4))
		listed  = listing(l.targets)
	)

	for i := range process {
		process[i] = next
		next++
	}

	var send func(x running)

	// fall ends a target.
	fall := func(i int) {
		l2 := at[i]
		at[i] = nil
		back[i] = now.Add(4 * time.Second)
		o.ends++

		for _, x := range l2 {
			q.Ended(now, x.digest, process[i])
		}

		// Each end is of another process.
		ended := *listed[i]
		ended.Start = now
		c.RecordCrash(now, enter(ended))

		process[i] = next
		next++

		for _, x := range l2 {
			if x.tries < 4 {
				send(x)
			}
		}
	}

	send = func(x running) {
		if q.Come(now, x.digest).Standing == quarantiner.Held {
			if !x.fatal {
				o.held++
			}

			return
		}

		allowed := listed
		if c.Sharded(now, "g", l.targets) {
			allowed = sharder.Shard(x.customer, listed)
		}

		i := r.IntN(l.targets)
		for n := 0; (back[i].After(now) || !slices.Contains(allowed, listed[i])) && n < l.targets; n++ {
			i = (i + 1) % l.targets
		}

		if back[i].After(now) || !slices.Contains(allowed, listed[i]) {
			return // All are away.
		}

		if x.fatal {
			o.fatal++
		}

		x.until = now.Add(time.Duration(float64(l.runs) * (0.2 + 1.6*r.Float64())))
		if x.fatal {
			x.until = now.Add(10*time.Millisecond + time.Duration(r.Int64N(int64(150*time.Millisecond))))
		}

		x.tries++
		at[i] = append(at[i], x)
	}

	for ms := range int(lasts / time.Millisecond) {
		now = start().Add(time.Duration(ms) * time.Millisecond)

		for i := range at {
			var keep []running

			falls := false

			for _, x := range at[i] {
				switch {
				case x.until.After(now):
					keep = append(keep, x)
				case x.fatal:
					keep = append(keep, x)
					falls = true
				default:
					o.served++

					q.Served(x.digest)
				}
			}

			at[i] = keep

			if falls || l.random > 0 && r.Float64() < float64(time.Millisecond)/float64(l.random) {
				fall(i)
			}
		}

		if r.Float64() < float64(l.rate)/1000 {
			unique++
			d := unique

			if r.Float64() < l.looks {
				d = digester.Digest(r.IntN(l.alike))
			}

			o.innocent++
			send(running{digest: d, customer: 1 + whose.Uint64N(customers-1)})
		}

		for n := range l.fatal {
			if ms%int(l.every/time.Millisecond) == 37*n%int(l.every/time.Millisecond) {
				d := digester.Digest(1<<40 + n)
				if l.fresh {
					d += digester.Digest(1000 * (ms + 1))
				}

				send(running{digest: d, fatal: true})
			}
		}
	}

	return o
}

// derwent, portal and large are services as they are on the users' platform: twenty engines, a
// page that many ask for, two hundred engines.
func derwent() load {
	return load{targets: 18, rate: 135, runs: 900 * time.Millisecond, every: 250 * time.Millisecond}
}

func portal() load {
	return load{targets: 4, rate: 47, runs: 60 * time.Millisecond, looks: 0.5, alike: 5, every: 250 * time.Millisecond}
}

func large() load {
	return load{targets: 192, rate: 1500, runs: 500 * time.Millisecond, every: 250 * time.Millisecond}
}

// with returns a load with so many calls that end targets, and targets that end by themselves
// after such a time in the middle.
func with(l load, fatal int, random time.Duration) load {
	l.fatal, l.random = fatal, random

	return l
}

const (
	// innocentPart is one good call in how many may be held back.
	innocentPart = 10_000
	// sendingsMost is how often a call that ends targets may be sent: three times until it is
	// known, and twice more that were under way then.
	sendingsMost = 5
)

// check plays a load and checks both sides of the decision.
func check(t *testing.T, l load, lasts time.Duration) {
	t.Helper()

	is := is.New(t)
	o := replay(l, quarantiner.DefaultSettings().Ends, lasts)
	t.Logf("%d good calls, %d held back; %d targets ended, %d sendings of calls that end them", o.innocent, o.held, o.ends, o.fatal)

	is.True(o.held*innocentPart < o.innocent)
	is.True(o.fatal <= sendingsMost*l.fatal)
}

// Good calls run beside one that ends targets, or targets that end for a reason of their own;
// some of the good ones look alike. With two ends in place of three, 12 and 13 of 13,400 good
// calls were held back while engines ended by themselves.
func TestReplayOfEndsUnderLoad(t *testing.T) {
	for name, x := range map[string]load{
		"engines, one call that ends them":                with(derwent(), 1, 0),
		"engines that end by themselves":                  with(derwent(), 0, 20*time.Second),
		"engines, one, and ends by themselves":            with(derwent(), 1, 20*time.Second),
		"a service with calls that look alike, one":       with(portal(), 1, 0),
		"a service with calls that look alike, by itself": with(portal(), 0, 5*time.Second),
	} {
		t.Run(name, func(t *testing.T) { check(t, x, 100*time.Second) })
	}

	t.Run("two hundred engines, ten calls", func(t *testing.T) { check(t, with(large(), 10, 0), 10*time.Second) })
}

// Ten different calls that end targets come in the same third of a second, at eighteen engines:
// all engines end, and good calls that are sent on meet a third end before they are served. They
// are then refused though they did nothing.
func TestReplayOfManyCallsThatEndTargets(t *testing.T) {
	check(t, with(derwent(), 10, 0), 100*time.Second)
}

// One customer of many sends a call that ends targets each quarter of a second, and each time a
// new one. Each costs the targets that it is tried at, four with what its caller sends again, and
// none is known for the next: the service is away for everybody.
func TestReplayOfEverNewCallsThatEndTargets(t *testing.T) {
	// servedPart is the least part of the other calls that is served, as on a calm day.
	const servedPart = 0.95

	l := with(derwent(), 1, 0)
	l.fresh = true

	o := replay(l, quarantiner.DefaultSettings().Ends, 100*time.Second)
	t.Logf("%d of %d other calls served, %d held back; %d targets ended", o.served, o.innocent, o.held, o.ends)
	is.New(t).True(float64(o.served) >= servedPart*float64(o.innocent))
}

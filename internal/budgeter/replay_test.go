package budgeter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/estimator"
)

const (
	replayLength = 45 * time.Second
	// failAt is when the targets of the replay begin to fail all calls, each of which then asks for two repeats.
	failAt = 15 * time.Second
	// downTime is how long an instance is away when it is killed.
	downTime = 300 * time.Millisecond
	// joinTime is how long a started instance knows of no other.
	joinTime = 500 * time.Millisecond
	// centreCount is the number of data centres; instance i is in data centre i modulo that number.
	centreCount = 3
	// seedCount is the number of other instances that each instance is configured with.
	seedCount = 3
	// observeInterval is the interval at which an instance observes the others.
	observeInterval = 300 * time.Millisecond
)

// fleet is a fleet of instances that is replayed.
type fleet struct {
	settings  budgeter.Settings
	instances int
	// rate is the number of calls a second of the whole fleet.
	rate float64
	// kills are the moments at which a fraction of the instances is killed.
	kills    []time.Duration
	fraction float64
	// cut cuts the data centres off from each other, from failAt to the end.
	cut bool
}

// process is an instance since its last start.
type process struct {
	budgeter  *budgeter.Budgeter
	estimator *estimator.Estimator
	started   time.Duration
}

// observe has process i observe the instances that it knows. The number of started instances of each data centre is live.
func (f *fleet) observe(p *process, i int, live [centreCount]int, at time.Duration) {
	known := map[string]int{centre(i): 1}

	if p.started == 0 || at-p.started >= joinTime {
		for k, n := range live {
			if !f.cut || at < failAt || k == i%centreCount {
				known[centre(k)] = n
			}
		}
	}

	p.estimator.Observe(time.Unix(0, 0).Add(at), known, seedCount)
}

// countLive returns the number of started processes of each data centre.
func countLive(l []process, at time.Duration) [centreCount]int {
	var o [centreCount]int

	for i, p := range l {
		if p.started <= at {
			o[i%centreCount]++
		}
	}

	return o
}

// centre returns the data centre of an instance.
func centre(i int) string { return fmt.Sprint(i % centreCount) }

// replay returns the times of the calls and of the repeats.
func (f *fleet) replay(seed uint64) (calls, repeats []time.Duration) {
	b := time.Unix(0, 0)
	r := rand.New(rand.NewPCG(seed, 1))
	start := func(i int, at time.Duration) process {
		return process{
			budgeter: budgeter.New(f.settings, b.Add(at), r), started: at,
			estimator: estimator.New(b.Add(at), centre(i), []string{centre(0), centre(1), centre(2)}),
		}
	}

	l := make([]process, f.instances)
	for i := range l {
		l[i] = start(i, 0)
	}

	kills := f.kills
	observeAt := time.Duration(0)

	for at := time.Duration(0); at < replayLength; at += time.Duration(r.ExpFloat64() / f.rate * float64(time.Second)) {
		for len(kills) > 0 && at >= kills[0] {
			kills = kills[1:]

			for i := range l {
				if r.Float64() < f.fraction {
					l[i] = start(i, at+downTime)
				}
			}
		}

		if at >= observeAt {
			observeAt = at + observeInterval
			live := countLive(l, at)

			for i := range l {
				if l[i].started <= at {
					f.observe(&l[i], i, live, at)
				}
			}
		}

		i := r.IntN(f.instances)
		if l[i].started > at {
			continue // Its callers come again elsewhere.
		}

		calls = append(calls, at)
		l[i].budgeter.RecordCall(b.Add(at), "g")

		if at < failAt {
			continue
		}

		for range 2 {
			if !l[i].budgeter.TryRepeat(b.Add(at), "g", l[i].estimator.Instances(b.Add(at))) {
				break
			}

			repeats = append(repeats, at)
		}
	}

	return calls, repeats
}

// count returns how many of the times, which are in ascending order, are in a window that begins at from.
func count(l []time.Duration, from, window time.Duration) float64 {
	b, _ := slices.BinarySearch(l, from)
	e, _ := slices.BinarySearch(l, from+window)

	return float64(e - b)
}

// worstShare returns the largest number of repeats in a window as a fraction of the allowed one, which counts the calls of
// that window, the one before it or the one half a window before it, whichever has most.
func (f *fleet) worstShare(calls, repeats []time.Duration) float64 {
	const step = 100 * time.Millisecond

	w, o := f.settings.Window, 0.0

	for from := failAt - w; from <= replayLength-w; from += step {
		c := max(count(calls, from, w), count(calls, from-w/2, w), count(calls, from-w, w))
		o = max(o, count(repeats, from, w)/(f.settings.Ratio*c+f.settings.Slack))
	}

	return o
}

var fleets = map[string]fleet{
	"6 instances":         {settings: budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}, instances: 6, rate: 180},
	"80 instances":        {settings: budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 200}, instances: 80, rate: 900},
	"80 with a low ratio": {settings: budgeter.Settings{Ratio: 0.1, Window: 10 * time.Second, Slack: 200}, instances: 80, rate: 900},
	"380 instances":       {settings: budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 500}, instances: 380, rate: 3000},
}

// Guards against a retry budget that each restart grants once more: instances are killed in series while the targets fail and
// the data centres are cut off from each other.
func TestRestartsGrantNoFurtherBudget(t *testing.T) {
	series := func(first, gap time.Duration, n int) []time.Duration {
		var o []time.Duration
		for i := range n {
			o = append(o, failAt+first+time.Duration(i)*gap)
		}

		return o
	}

	for name, x := range map[string]struct {
		kills    []time.Duration
		fraction float64
		cut      bool
	}{
		"no restart":             {},
		"cut":                    {cut: true},
		"one restart":            {kills: series(time.Second, 0, 1), fraction: 0.8},
		"late restart":           {kills: series(9*time.Second, 0, 1), fraction: 1},
		"restarts in series":     {kills: series(2*time.Second, 2500*time.Millisecond, 3), fraction: 0.8},
		"restarts in a cut":      {kills: series(2*time.Second, 2500*time.Millisecond, 3), fraction: 0.8, cut: true},
		"all in series in a cut": {kills: series(time.Second, time.Second, 8), fraction: 1, cut: true},
		"few at a time":          {kills: series(500*time.Millisecond, 500*time.Millisecond, 30), fraction: 0.1, cut: true},
	} {
		for size, f := range fleets {
			t.Run(size+", "+name, func(t *testing.T) {
				is := is.New(t)
				f.kills, f.fraction, f.cut = x.kills, x.fraction, x.cut

				for seed := range uint64(3) {
					c, r := f.replay(seed)
					s := f.worstShare(c, r)
					t.Logf("seed %d: %d calls, %d repeats, at most %.2f of what is allowed", seed, len(c), len(r), s)
					is.True(s <= 1)
				}
			})
		}
	}
}

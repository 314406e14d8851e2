package bencher

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	policyHomes   = "homes"
	policyNoToken = "homesNoToken"
)

// Result is what one case came to.
type Result struct {
	Case   string
	Policy string
	// Reuse is the part of the prompt tokens seen before that came from caches.
	Reuse float64
	// Phases is the reuse before, during and after the time of a surge or cut.
	Phases [phases]float64
	// SkewMean and SkewP99 are of the highest load over the mean load of the
	// engines of a model in a region, by requests in flight as engines report
	// them; WorkMean and WorkP99 by the true work of these requests, of which
	// routers know only the limit.
	SkewMean, SkewP99 float64
	WorkMean, WorkP99 float64
	// ControlMean and ControlMax are control bytes a second, both ways, of the
	// average node and of the one with most.
	ControlMean, ControlMax float64
	// CPU is the time of the decisions for one request.
	CPU time.Duration
	// Bytes is the memory of the tables of places, of the average node.
	Bytes int
	// Refused is the part of the requests refused, without those of customers
	// that surge, and SurgeRefused that of theirs.
	Refused, SurgeRefused float64

	// Waited is how long an average request waited for its place.
	Waited time.Duration

	waited                                  time.Duration
	requests, refused, surged, surgeRefused int
	reusable, reused                        [phases]int
}

const phases = 3

// Line returns the result in one line.
func (r *Result) Line() string {
	return fmt.Sprintf("case=%s policy=%s reuse=%.3f reusePhases=%.3f/%.3f/%.3f skewMean=%.2f skewP99=%.2f workMean=%.2f workP99=%.2f controlBytesPerSecond=%.0f "+
		"controlBytesMax=%.0f cpuMicrosPerRequest=%.1f bytesPerNode=%d refused=%.4f surgeRefused=%.3f waitedMs=%.1f",
		r.Case, r.Policy, r.Reuse, r.Phases[0], r.Phases[1], r.Phases[2], r.SkewMean, r.SkewP99, r.WorkMean, r.WorkP99, r.ControlMean, r.ControlMax,
		float64(r.CPU)/float64(time.Microsecond), r.Bytes, r.Refused, r.SurgeRefused,
		float64(r.Waited)/float64(time.Millisecond))
}

// Policies returns the names of the policies.
func Policies() []string {
	return []string{policyHomes, policyNoToken, policyRandom, policyTwoChoices, policyRendezvous, policyBounded}
}

// Run runs the cases of the given sizes, conditions and policies and calls f
// with each result, in their order. All but the processor time is the same
// each run with the same seed.
func Run(sizes []Size, conditions []Condition, policies []string, seed uint64, f func(*Result)) error {
	var (
		g errgroup.Group
		l []chan *Result
	)

	g.SetLimit(max(runtime.NumCPU()/2, 1))

	for _, s := range sizes {
		for _, c := range conditions {
			for _, p := range policies {
				l = append(l, make(chan *Result, 1))
				o := l[len(l)-1]

				go g.Go(func() error {
					o <- one(s, c, p, seed)

					return nil
				})
			}
		}
	}

	for _, o := range l {
		f(<-o)
	}

	return g.Wait()
}

func one(s Size, c Condition, name string, seed uint64) *Result {
	w := newWorld(s, c, seed)

	var h *homes

	switch name {
	case policyHomes, policyNoToken:
		h = newHomes(w, name == policyHomes)
		w.policy = h
	default:
		w.policy = newBaseline(name, s)
	}

	w.run()

	return w.finish(name, h)
}

func (w *world) finish(name string, h *homes) *Result {
	r := w.result
	r.Policy = name

	a, b := 0, 0

	for i := range phases {
		r.Phases[i] = float64(r.reused[i]) / float64(max(r.reusable[i], 1))
		a += r.reused[i]
		b += r.reusable[i]
	}

	r.Reuse = float64(a) / float64(max(b, 1))
	r.SkewMean = w.skew.Mean() / skewUnit
	r.SkewP99 = float64(w.skew.ValueAtPercentile(99)) / skewUnit //nolint:mnd // A percentile.
	r.WorkMean = w.work.Mean() / skewUnit
	r.WorkP99 = float64(w.work.ValueAtPercentile(99)) / skewUnit //nolint:mnd // A percentile.
	r.Refused = float64(r.refused) / float64(max(r.requests-r.surged, 1))
	r.SurgeRefused = float64(r.surgeRefused) / float64(max(r.surged, 1))
	r.Waited = r.waited / time.Duration(max(r.requests, 1))
	r.CPU = w.cpu / time.Duration(max(r.requests, 1))

	t := (w.size.Length - w.size.Warm).Seconds()

	for _, x := range w.routers {
		b := float64(x.bytes) / t
		r.ControlMean += b / float64(len(w.routers))
		r.ControlMax = max(r.ControlMax, b)
	}

	if h != nil {
		for _, g := range h.granters {
			r.Bytes += g.Placements().Bytes() / len(w.routers)
		}
	}

	return r
}

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

// Result holds the measurements of one case: a size under a condition with a policy.
type Result struct {
	Case   string
	Policy string
	// Reuse is the fraction of the prompt tokens of earlier turns that were served from
	// prefix caches.
	Reuse float64
	// Phases is the reuse before, during and after the time window of a surge or a
	// network partition.
	Phases [phaseCount]float64
	// SkewMean and SkewP99 describe the ratio of the highest load to the mean load of
	// the engines of a model in a region, with load as requests in flight relative to
	// the capacity. WorkMean and WorkP99 use the actual work of these requests
	// instead, which routers don't know.
	SkewMean, SkewP99 float64
	WorkMean, WorkP99 float64
	// ControlMean and ControlMax are the control bytes per second, sent and received,
	// of the average router and of the router with the most.
	ControlMean, ControlMax float64
	// CPU is the average time spent on routing decisions per request.
	CPU time.Duration
	// Bytes is the memory of the placement tables of the average router.
	Bytes int
	// Refused is the fraction of requests that were refused, excluding the requests of
	// surging customers. SurgeRefused is the refused fraction of the requests of surging
	// customers.
	Refused, SurgeRefused float64

	// Waited is the mean time that a request waited for a slot at its placement.
	Waited time.Duration

	waited                                         time.Duration
	requests, refused, surgeRequests, surgeRefused int
	reusableTokens, reusedTokens                   [phaseCount]int
}

const phaseCount = 3

// Line returns the result as space-separated key=value pairs.
func (r *Result) Line() string {
	return fmt.Sprintf("case=%s policy=%s reuse=%.3f reusePhases=%.3f/%.3f/%.3f skewMean=%.2f skewP99=%.2f workMean=%.2f workP99=%.2f controlBytesPerSecond=%.0f "+
		"controlBytesMax=%.0f cpuMicrosPerRequest=%.1f bytesPerNode=%d refused=%.4f surgeRefused=%.3f waitedMs=%.1f",
		r.Case, r.Policy, r.Reuse, r.Phases[0], r.Phases[1], r.Phases[2], r.SkewMean, r.SkewP99, r.WorkMean, r.WorkP99, r.ControlMean, r.ControlMax,
		float64(r.CPU)/float64(time.Microsecond), r.Bytes, r.Refused, r.SurgeRefused,
		float64(r.Waited)/float64(time.Millisecond))
}

// Policies returns the names of all policies: those of the routers, then the baselines.
func Policies() []string {
	return []string{policyHomes, policyNoToken, policyRandom, policyTwoChoices, policyRendezvous, policyBounded}
}

// Run runs the cases of the given sizes, conditions and policies, several at once,
// and calls f with each result in order. All measurements but Result.CPU are
// reproducible with the same seed.
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
					o <- runCase(s, c, p, seed)

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

func runCase(s Size, c Condition, name string, seed uint64) *Result {
	w := newWorld(s, c, seed)

	var h *homePolicy

	switch name {
	case policyHomes, policyNoToken:
		h = newHomePolicy(w, name == policyHomes)
		w.policy = h
	default:
		w.policy = newBaseline(name, s)
	}

	w.run()

	return w.finish(name, h)
}

func (w *world) finish(name string, h *homePolicy) *Result {
	r := w.result
	r.Policy = name

	a, b := 0, 0

	for i := range phaseCount {
		r.Phases[i] = float64(r.reusedTokens[i]) / float64(max(r.reusableTokens[i], 1))
		a += r.reusedTokens[i]
		b += r.reusableTokens[i]
	}

	r.Reuse = float64(a) / float64(max(b, 1))
	r.SkewMean = w.skew.Mean() / skewUnit
	r.SkewP99 = float64(w.skew.ValueAtPercentile(99)) / skewUnit //nolint:mnd // A percentile.
	r.WorkMean = w.work.Mean() / skewUnit
	r.WorkP99 = float64(w.work.ValueAtPercentile(99)) / skewUnit //nolint:mnd // A percentile.
	r.Refused = float64(r.refused) / float64(max(r.requests-r.surgeRequests, 1))
	r.SurgeRefused = float64(r.surgeRefused) / float64(max(r.surgeRequests, 1))
	r.Waited = r.waited / time.Duration(max(r.requests, 1))
	r.CPU = w.cpu / time.Duration(max(r.requests, 1))

	t := (w.size.Duration - w.size.WarmUp).Seconds()

	for _, x := range w.routers {
		b := float64(x.controlBytes) / t
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

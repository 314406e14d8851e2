package driver

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the final result of a call as its caller saw it.
type Outcome string

// Outcomes.
const (
	// Served is a complete answer that matches the call.
	Served Outcome = "served"
	// Refused is a call that was not run, after all retries up to the deadline.
	Refused Outcome = "refused"
	// Failed is an error answer, or an answer that does not say whether the call ran
	// ("unknown").
	Failed Outcome = "failed"
	// Interrupted is an answer or a connection that ended prematurely.
	Interrupted Outcome = "cut"
	// Wrong is an answer that does not match the call, or a booking that ran more
	// than once.
	Wrong Outcome = "wrong"
)

// Quantiles holds latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50Ms"`
	P95 float64 `json:"p95Ms"`
	P99 float64 `json:"p99Ms"`
	Max float64 `json:"maxMs"`
}

// Result holds the totals of a load run. Its exported fields are complete when Run returns.
type Result struct {
	Outcomes map[Outcome]int `json:"outcomes"`
	// Retries is the number of retries, for any reason.
	Retries int            `json:"retries"`
	Codes   map[string]int `json:"codes"`
	// Examples holds the errors of the first five interrupted calls.
	Examples   []string  `json:"examples,omitempty"`
	FirstToken Quantiles `json:"firstToken"`
	Total      Quantiles `json:"total"`
	// Reuse is the fraction of the prompt tokens that were served from prefix caches.
	Reuse    float64 `json:"reuse"`
	SkewMean float64 `json:"skewMean"`
	SkewP99  float64 `json:"skewP99"`

	mu             sync.Mutex
	first, total   *hdrhistogram.Histogram
	prompt, cached int
}

const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)

func newResult() *Result {
	return &Result{
		Outcomes: make(map[Outcome]int), Codes: make(map[string]int),
		first: hdrhistogram.New(1, maxLatencyMicros, significantDigits), total: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

func (r *Result) add(o Outcome, code string, first, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.Outcomes[o]++

	if code != "" {
		r.Codes[code]++
	}

	if o != Served {
		return
	}

	_ = r.total.RecordValue(total.Microseconds())

	if first > 0 {
		_ = r.first.RecordValue(first.Microseconds())
	}
}

// addExample records the error of an interrupted call, up to maxExamples.
func (r *Result) addExample(err error) {
	const maxExamples = 5

	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, err.Error())
	}
}

func (r *Result) addRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.Retries++
}

func (r *Result) addTokens(prompt, cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.prompt += prompt
	r.cached += cached
}

func (r *Result) progressLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return fmt.Sprintf("served=%d refused=%d failed=%d cut=%d wrong=%d retries=%d p50=%s p99=%s",
		r.Outcomes[Served], r.Outcomes[Refused], r.Outcomes[Failed], r.Outcomes[Interrupted], r.Outcomes[Wrong], r.Retries,
		time.Duration(r.total.ValueAtPercentile(50))*time.Microsecond, //nolint:mnd // A percentile.
		time.Duration(r.total.ValueAtPercentile(99))*time.Microsecond) //nolint:mnd // A percentile.
}

func (r *Result) finish(f *inFlight) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.FirstToken = quantiles(r.first)
	r.Total = quantiles(r.total)
	r.Reuse = float64(r.cached) / float64(max(r.prompt, 1))
	r.SkewMean = f.skew.Mean() / skewUnit
	r.SkewP99 = float64(f.skew.ValueAtPercentile(99)) / skewUnit //nolint:mnd // A percentile.
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	m := func(v int64) float64 { return float64(v) / float64(time.Millisecond/time.Microsecond) }

	return Quantiles{
		P50: m(h.ValueAtPercentile(50)), P95: m(h.ValueAtPercentile(95)), //nolint:mnd // Percentiles.
		P99: m(h.ValueAtPercentile(99)), Max: m(h.Max()), //nolint:mnd // A percentile.
	}
}

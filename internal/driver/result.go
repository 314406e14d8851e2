package driver

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how one call ended for its caller.
type Outcome string

// The outcomes.
const (
	// Served is a whole answer that belongs to the call.
	Served Outcome = "served"
	// Refused is a true "not run" that the caller gave up on.
	Refused Outcome = "refused"
	// Failed is an explicit error, or "unknown".
	Failed Outcome = "failed"
	// Cut is an answer or a connection that ended before its time.
	Cut Outcome = "cut"
	// Wrong is an answer that is not the call's own, or a second run.
	Wrong Outcome = "wrong"
)

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50Ms"`
	P95 float64 `json:"p95Ms"`
	P99 float64 `json:"p99Ms"`
	Max float64 `json:"maxMs"`
}

// Result is what came of a load. Its exported fields are set when Run returns.
type Result struct {
	Outcomes map[Outcome]int `json:"outcomes"`
	// Retries is how often callers came back after a "not run".
	Retries int            `json:"retries"`
	Codes   map[string]int `json:"codes"`
	// Examples are the errors of the first calls that were cut.
	Examples   []string  `json:"examples,omitempty"`
	FirstToken Quantiles `json:"firstToken"`
	Total      Quantiles `json:"total"`
	// Reuse is the part of the prompt tokens that came from caches.
	Reuse    float64 `json:"reuse"`
	SkewMean float64 `json:"skewMean"`
	SkewP99  float64 `json:"skewP99"`

	mu             sync.Mutex
	first, total   *hdrhistogram.Histogram
	prompt, cached int
}

const longest = int64(10 * time.Minute / time.Microsecond)

func newResult() *Result {
	return &Result{
		Outcomes: make(map[Outcome]int), Codes: make(map[string]int),
		first: hdrhistogram.New(1, longest, digits), total: hdrhistogram.New(1, longest, digits),
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

// example keeps the error of a call that was cut.
func (r *Result) example(err error) {
	const most = 5

	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.Examples) < most {
		r.Examples = append(r.Examples, err.Error())
	}
}

func (r *Result) retried() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.Retries++
}

func (r *Result) tokens(prompt, cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.prompt += prompt
	r.cached += cached
}

// line returns the progress in one line.
func (r *Result) line() string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return fmt.Sprintf("served=%d refused=%d failed=%d cut=%d wrong=%d retries=%d p50=%s p99=%s",
		r.Outcomes[Served], r.Outcomes[Refused], r.Outcomes[Failed], r.Outcomes[Cut], r.Outcomes[Wrong], r.Retries,
		time.Duration(r.total.ValueAtPercentile(50))*time.Microsecond, //nolint:mnd // A percentile.
		time.Duration(r.total.ValueAtPercentile(99))*time.Microsecond) //nolint:mnd // A percentile.
}

func (r *Result) finish(f *flights) {
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

package driver

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Skew is recorded in thousandths, up to a factor of 1,000.
	skewUnit          = 1000
	maxSkew           = 1000 * skewUnit
	significantDigits = 3
	// minMean is the mean number of calls per engine below which the skew is not
	// sampled, since one call more or less would dominate it.
	minMean = 2.0
)

// inFlight counts the calls in flight on each target. It is safe for concurrent use.
type inFlight struct {
	mu      sync.Mutex
	running map[string]int
	skew    *hdrhistogram.Histogram
}

func newInFlight() *inFlight {
	return &inFlight{running: make(map[string]int), skew: hdrhistogram.New(1, maxSkew, significantDigits)}
}

func (f *inFlight) add(target string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.running[target] += n
}

// sample records the ratio of the highest count to the mean over all targets seen
// so far.
func (f *inFlight) sample() {
	f.mu.Lock()
	defer f.mu.Unlock()

	s, m := 0, 0
	for _, n := range f.running {
		s += n
		m = max(m, n)
	}

	a := float64(s) / float64(max(len(f.running), 1))
	if a < minMean {
		return
	}

	_ = f.skew.RecordValue(int64(float64(m) / a * skewUnit))
}

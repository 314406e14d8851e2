package driver

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Skews are recorded in thousandths, up to a factor of 1,000.
	skewUnit = 1000
	skewMost = 1000 * skewUnit
	digits   = 3
	// leastMean is the mean below which a sample says nothing about skew.
	leastMean = 2.0
)

// flights counts the calls in flight on each engine.
type flights struct {
	mu      sync.Mutex
	running map[string]int
	skew    *hdrhistogram.Histogram
}

func newFlights() *flights {
	return &flights{running: make(map[string]int), skew: hdrhistogram.New(1, skewMost, digits)}
}

func (f *flights) add(target string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.running[target] += n
}

// sample records the highest count over the mean of all engines seen so far.
func (f *flights) sample() {
	f.mu.Lock()
	defer f.mu.Unlock()

	s, m := 0, 0
	for _, n := range f.running {
		s += n
		m = max(m, n)
	}

	a := float64(s) / float64(max(len(f.running), 1))
	if a < leastMean {
		return
	}

	_ = f.skew.RecordValue(int64(float64(m) / a * skewUnit))
}

package gatekeeper

import (
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/estimator"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/throttler"
)

// fleetInterval is the interval at which the live instances are observed.
const fleetInterval = 300 * time.Millisecond

// fleet is what this instance knows of all instances, for the shares of limits that apply to all of them together. It is
// safe for concurrent use.
type fleet struct {
	joiner *joiner.Joiner

	mu        sync.Mutex
	estimator *estimator.Estimator
}

func newFleet(s Settings, j *joiner.Joiner, f *state) *fleet {
	var l []string
	for c := range s.Regions {
		l = append(l, c)
	}

	o := &fleet{joiner: j, estimator: estimator.New(time.Now(), s.DataCentre, l)}
	f.instances = o.instances

	return o
}

// observe records which instances are live.
func (f *fleet) observe() {
	n := make(map[string]int)
	for _, m := range f.joiner.Live() {
		n[m.DataCentre]++
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.estimator.Observe(time.Now(), n, len(f.joiner.Seeds()))
}

// instances returns how many instances share a limit; zero means that this is not known yet.
func (f *fleet) instances() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.estimator.Instances(time.Now())
}

// throttled returns what the shares of calls to cold and brittle targets are computed from.
func (f *fleet) throttled() throttler.Fleet {
	n := f.instances()

	o := throttler.Fleet{Self: f.joiner.Self().ID, MaxInstances: n, Settled: n > 0}
	for _, m := range f.joiner.Live() {
		o.Live = append(o.Live, m.ID)
	}

	return o
}

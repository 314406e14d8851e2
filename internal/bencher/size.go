// Package bencher benchmarks the routing policy against baselines. It is a
// discrete-event simulation in one process: the routers' own decision code runs with
// simulated targets and callers, on a simulated clock and with seeded random numbers.
package bencher

import "time"

// Size describes a fleet and its traffic.
type Size struct {
	Name        string
	Regions     int
	DataCentres int
	Routers     int
	Targets     int
	Models      int
	Customers   int
	// Rate is the number of requests per second.
	Rate float64
	// Capacity is the number of requests that a target runs concurrently.
	Capacity int
	// CacheTokens is the size of a target's prefix cache in tokens.
	CacheTokens int
	// CellTargets is the configuration's limit of targets per cell; zero means the
	// default.
	CellTargets int
	// Duration is the simulated time, including WarmUp, during which nothing is
	// measured.
	Duration, WarmUp time.Duration
}

// Sizes returns the sizes of the two users' fleets and the design size.
func Sizes() []Size {
	const (
		cache    = 1_500_000
		duration = 240 * time.Second
		warmUp   = 100 * time.Second
	)

	return []Size{
		{
			Name: "ikenga", Regions: 1, DataCentres: 4, Routers: 6, Targets: 10, Models: 1, Customers: 10,
			Rate: 30, Capacity: 64, CacheTokens: cache, Duration: duration, WarmUp: warmUp,
		},
		{
			Name: "derwent", Regions: 1, DataCentres: 4, Routers: 6, Targets: 20, Models: 1, Customers: 10,
			Rate: 60, Capacity: 64, CacheTokens: cache, Duration: duration, WarmUp: warmUp,
		},
		{
			Name: "design", Regions: 2, DataCentres: 8, Routers: 380, Targets: 600, Models: 32, Customers: 7600,
			Rate: 3000, Capacity: 80, CellTargets: 8, CacheTokens: cache, Duration: 120 * time.Second, WarmUp: 60 * time.Second,
		},
	}
}

// Condition is a load pattern or fault that is simulated while measuring.
type Condition string

// Conditions.
const (
	// Steady is the usual traffic without faults.
	Steady Condition = "steady"
	// Quiet is one fifteenth of the usual traffic.
	Quiet Condition = "quiet"
	// Churn takes a target down and restarts a router every churnInterval. Both lose
	// their state.
	Churn Condition = "churn"
	// Surge makes three customers of one model send additional traffic that equals the
	// usual traffic of the model.
	Surge Condition = "surge"
	// Partition isolates one data centre from the others by a temporary network
	// partition.
	Partition Condition = "cut"
)

// Conditions returns all conditions, in the order in which they are run by default.
func Conditions() []Condition {
	return []Condition{Steady, Quiet, Churn, Surge, Partition}
}

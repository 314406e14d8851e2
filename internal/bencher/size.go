// Package bencher measures the routing policy and its baselines. It drives the
// real decision objects in one process, on fakes of targets and of callers,
// with time and chance of its own.
package bencher

import "time"

// Size is the size of a fleet and of its traffic.
type Size struct {
	Name      string
	Regions   int
	Centres   int
	Routers   int
	Targets   int
	Models    int
	Customers int
	// Rate is how many requests come in a second.
	Rate float64
	// Capacity is how many requests a target runs at once.
	Capacity int
	// CacheTokens is the size of a target's prefix cache.
	CacheTokens int
	// CellTargets is the document's limit; zero is its default.
	CellTargets int
	// Length is how long the fleet is followed, and Warm how much of that
	// passes before measuring.
	Length, Warm time.Duration
}

// Sizes returns the sizes of the two users and the design size.
func Sizes() []Size {
	const (
		cache  = 1_500_000
		length = 240 * time.Second
		warm   = 100 * time.Second
	)

	return []Size{
		{
			Name: "ikenga", Regions: 1, Centres: 4, Routers: 6, Targets: 10, Models: 1, Customers: 10,
			Rate: 30, Capacity: 64, CacheTokens: cache, Length: length, Warm: warm,
		},
		{
			Name: "derwent", Regions: 1, Centres: 4, Routers: 6, Targets: 20, Models: 1, Customers: 10,
			Rate: 60, Capacity: 64, CacheTokens: cache, Length: length, Warm: warm,
		},
		{
			Name: "design", Regions: 2, Centres: 8, Routers: 380, Targets: 600, Models: 32, Customers: 7600,
			Rate: 3000, Capacity: 80, CellTargets: 8, CacheTokens: cache, Length: 120 * time.Second, Warm: 60 * time.Second,
		},
	}
}

// Condition is what happens to the fleet while it is measured.
type Condition string

// The conditions.
const (
	// Steady is no trouble.
	Steady Condition = "steady"
	// Quiet is a fifteenth of the usual traffic.
	Quiet Condition = "quiet"
	// Churn loses a target, and a router, from time to time; they come back
	// empty.
	Churn Condition = "churn"
	// Surge has three customers of one model send, besides what they did, as
	// much as all callers of the model did before.
	Surge Condition = "surge"
	// Cut cuts one data centre off from the others for a while.
	Cut Condition = "cut"
)

// Conditions returns all conditions.
func Conditions() []Condition {
	return []Condition{Steady, Quiet, Churn, Surge, Cut}
}

// Package parser reads and checks the document that operators publish.
package parser

// Kind says what a target is.
type Kind string

// The kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Defaults that apply where a document gives no value.
const (
	DefaultMaxLoadFactor = 1.25
	DefaultWeight        = 1.0
	DefaultSlackRequests = 3
	DefaultCellTargets   = 24
)

// Document is what operators publish: targets, customers, rules and limits.
// A Document is never changed once it is parsed; copies share its maps.
type Document struct {
	Targets   map[string]Target   `json:"targets" validate:"dive,keys,required,max=63,endkeys"`
	Customers map[string]Customer `json:"customers" validate:"dive,keys,required,max=63,endkeys"`
	Rules     map[string]Rule     `json:"rules" validate:"dive,keys,required,max=63,endkeys"`
	Limits    Limits              `json:"limits"`
}

// Target is one back end: a model engine or a plain service.
type Target struct {
	// Address is where the target listens, an IP number and a port.
	Address string `json:"address" validate:"required"`
	Kind    Kind   `json:"kind" validate:"oneof=engine service"`
	// Region and DataCentre are where the target stands.
	Region     string            `json:"region" validate:"required,max=63"`
	DataCentre string            `json:"dataCentre" validate:"required,max=63"`
	Labels     map[string]string `json:"labels,omitempty"`
	// Capacity is how many requests the target runs at once.
	Capacity int `json:"capacity" validate:"min=1,max=100000"`
	// Drain takes the target out of service for new work.
	Drain bool `json:"drain,omitempty"`
	// Model is what the reconciler orders the target to load; empty orders
	// nothing.
	Model string `json:"model,omitempty" validate:"max=63"`
	// ChecksFence says that the target refuses orders with an old fencing
	// number.
	ChecksFence bool `json:"checksFence,omitempty"`
}

// Customer is one paying customer of the fleet.
type Customer struct {
	// Weight is the customer's part when capacity is short; zero means 1.
	Weight float64           `json:"weight,omitempty" validate:"min=0,max=1000000"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Rule sends the traffic that it selects to the targets that it selects.
type Rule struct {
	// Order decides between rules that select the same traffic; the lowest
	// order wins, then the name.
	Order int `json:"order"`
	// PathPrefix is the path that the traffic starts with; empty means any.
	PathPrefix string `json:"pathPrefix,omitempty" validate:"omitempty,startswith=/"`
	// Traffic is a label selector over the request's labels: model, method,
	// customer and the customer's own labels. Empty selects all.
	Traffic string `json:"traffic,omitempty"`
	// Targets is a label selector over the targets' labels.
	Targets string `json:"targets" validate:"required"`
	// Repeatable says that a call may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Priority is passed to engines; higher is sooner.
	Priority int `json:"priority,omitempty" validate:"min=0,max=9"`
}

// Limits bounds what the fleet does.
type Limits struct {
	// MaxLoadFactor is the multiple of the mean load that no engine may
	// exceed; zero means DefaultMaxLoadFactor.
	MaxLoadFactor float64 `json:"maxLoadFactor,omitempty" validate:"omitempty,min=1.01,max=100"`
	// SlackRequests is how many requests above the mean an engine may have where
	// that is more than the multiple allows, as it is on a quiet fleet; zero
	// means DefaultSlackRequests. More reuses prompt caches better in quiet
	// hours, fewer spreads quiet load more evenly.
	SlackRequests int `json:"slackRequests,omitempty" validate:"min=0,max=10000"`
	// CellTargets is about how many targets one instance grants places on; zero
	// means DefaultCellTargets. A large fleet lowers it so that no instance
	// spends too much on control.
	CellTargets int `json:"cellTargets,omitempty" validate:"omitempty,min=2,max=10000"`
}

// Cell returns the size of a cell that is in force.
func (l Limits) Cell() int {
	if l.CellTargets == 0 {
		return DefaultCellTargets
	}

	return l.CellTargets
}

// Slack returns the requests above the mean that are in force.
func (l Limits) Slack() int {
	if l.SlackRequests == 0 {
		return DefaultSlackRequests
	}

	return l.SlackRequests
}

// LoadFactor returns the bound that is in force.
func (l Limits) LoadFactor() float64 {
	if l.MaxLoadFactor == 0 {
		return DefaultMaxLoadFactor
	}

	return l.MaxLoadFactor
}

// Share returns the customer's weight, or DefaultWeight when none is given.
func (c Customer) Share() float64 {
	if c.Weight == 0 {
		return DefaultWeight
	}

	return c.Weight
}

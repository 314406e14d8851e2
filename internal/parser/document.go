// Package parser parses and validates the configuration document that operators publish.
package parser

// Kind is the kind of a target.
type Kind string

// The kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Defaults for values that a document omits.
const (
	DefaultMaxLoadFactor = 1.25
	DefaultWeight        = 1.0
	DefaultSlackRequests = 3
	DefaultCellTargets   = 24
)

// Document is the configuration that operators publish: targets, customers, rules
// and limits. A Document must not be modified after parsing, since copies share its maps.
type Document struct {
	Targets   map[string]Target   `json:"targets" validate:"dive,keys,required,max=63,endkeys"`
	Customers map[string]Customer `json:"customers" validate:"dive,keys,required,max=63,endkeys"`
	Rules     map[string]Rule     `json:"rules" validate:"dive,keys,required,max=63,endkeys"`
	Limits    Limits              `json:"limits"`
}

// Target is what calls are routed to: a model engine or a plain service.
type Target struct {
	// Address is where the target listens, an IP number and a port.
	Address string `json:"address" validate:"required"`
	Kind    Kind   `json:"kind" validate:"oneof=engine service"`
	// Region and DataCentre are the location of the target.
	Region     string            `json:"region" validate:"required,max=63"`
	DataCentre string            `json:"dataCentre" validate:"required,max=63"`
	Labels     map[string]string `json:"labels,omitempty"`
	// Capacity is the number of requests that the target can run at once.
	Capacity int `json:"capacity" validate:"min=1,max=100000"`
	// Drain takes the target out of service for new work.
	Drain bool `json:"drain,omitempty"`
	// Model is the model that the reconciler commands the target to load; empty
	// means that it sends no commands.
	Model string `json:"model,omitempty" validate:"max=63"`
	// ChecksFence states that the target refuses commands with an outdated fencing
	// number.
	ChecksFence bool `json:"checksFence,omitempty"`
}

// Customer is one customer of the fleet.
type Customer struct {
	// Weight sets the customer's share when capacity is short, relative to the other
	// customers; zero means DefaultWeight.
	Weight float64           `json:"weight,omitempty" validate:"min=0,max=1000000"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Rule routes the traffic that it selects to the targets that it selects.
type Rule struct {
	// Order ranks rules that select the same traffic: the lowest order takes
	// precedence, and among equal orders the first name.
	Order int `json:"order"`
	// PathPrefix is the prefix of the paths that the rule selects; empty selects all paths.
	PathPrefix string `json:"pathPrefix,omitempty" validate:"omitempty,startswith=/"`
	// Traffic is a label selector over the request's labels: model, method,
	// customer and the customer's own labels. Empty selects all traffic.
	Traffic string `json:"traffic,omitempty"`
	// Targets is a label selector over the targets' labels.
	Targets string `json:"targets" validate:"required"`
	// Repeatable states that a call may run more than once, so that it may be retried.
	Repeatable bool `json:"repeatable,omitempty"`
	// Priority is forwarded to engines, which run calls of higher priority first.
	Priority int `json:"priority,omitempty" validate:"min=0,max=9"`
}

// Limits bounds the load of targets and the size of cells.
type Limits struct {
	// MaxLoadFactor is the multiple of the mean load that no engine may
	// exceed; zero means DefaultMaxLoadFactor.
	MaxLoadFactor float64 `json:"maxLoadFactor,omitempty" validate:"omitempty,min=1.01,max=100"`
	// SlackRequests is the number of requests above the mean that an engine may
	// have even if MaxLoadFactor permits fewer, as it does at low load; zero
	// means DefaultSlackRequests. A higher value improves the reuse of prompt
	// caches at low load, a lower value spreads that load more evenly.
	SlackRequests int `json:"slackRequests,omitempty" validate:"min=0,max=10000"`
	// CellTargets is the approximate number of targets of a cell, a group whose
	// slots are granted by one instance; zero means DefaultCellTargets. A lower
	// value limits the control traffic of each instance in a large fleet.
	CellTargets int `json:"cellTargets,omitempty" validate:"omitempty,min=2,max=10000"`
}

// CellSize returns CellTargets, or its default when it is zero.
func (l Limits) CellSize() int {
	if l.CellTargets == 0 {
		return DefaultCellTargets
	}

	return l.CellTargets
}

// Slack returns SlackRequests, or its default when it is zero.
func (l Limits) Slack() int {
	if l.SlackRequests == 0 {
		return DefaultSlackRequests
	}

	return l.SlackRequests
}

// LoadFactor returns MaxLoadFactor, or its default when it is zero.
func (l Limits) LoadFactor() float64 {
	if l.MaxLoadFactor == 0 {
		return DefaultMaxLoadFactor
	}

	return l.MaxLoadFactor
}

// EffectiveWeight returns Weight, or DefaultWeight when it is zero.
func (c Customer) EffectiveWeight() float64 {
	if c.Weight == 0 {
		return DefaultWeight
	}

	return c.Weight
}

// Package counter holds a router's metrics as expvar variables.
package counter

import (
	"expvar"
	"net/http"
)

// Name is a metric's name.
type Name string

// The metrics. Revision, LiveRouters, InFlight, MemoryHeld and Placements are gauges; all others count from the start of
// the process.
const (
	Requests            Name = "requests"
	Served              Name = "served"
	Failed              Name = "failed"
	Unknown             Name = "unknown"
	Refused             Name = "refused"
	RefusedFull         Name = "refusedFull"
	RefusedOverShare    Name = "refusedOverShare"
	Retried             Name = "retried"
	Resumed             Name = "resumed"
	Canceled            Name = "canceled"
	ReturnedToPlacement Name = "returnedToPlace"
	WaitedForSlot       Name = "waitedForPlace"
	HomeRequestsFailed  Name = "asksFailed"
	DecidedLocally      Name = "askedHereInstead"
	Claims              Name = "claims"
	Replayed            Name = "replayed"
	PromptTokens        Name = "promptTokens"
	CachedTokens        Name = "cachedTokens"
	ControlSent         Name = "controlBytesSent"
	ControlReceived     Name = "controlBytesReceived"
	PlatformBytes       Name = "platformBytes"
	Revision            Name = "revision"
	LiveRouters         Name = "routersLive"
	InFlight            Name = "inFlight"
	MemoryHeld          Name = "memoryHeldBytes"
	Placements          Name = "placesRemembered"
	Commands            Name = "orders"
	ConnectionsShed     Name = "connectionsShed"
	ConnectionsEnded    Name = "connectionsEnded"
)

// Counter holds the metrics of one router. It is safe for concurrent use. It is not published under a
// global name unless Publish is called, so that tests can run many routers in one process.
type Counter struct {
	values *expvar.Map
}

// New returns a Counter without any counts.
func New() *Counter {
	return &Counter{values: new(expvar.Map).Init()}
}

// Add adds d to a metric.
func (c *Counter) Add(n Name, d int64) {
	c.values.Add(string(n), d)
}

// RegisterGauge registers a gauge whose value is the result of the function whenever it is read.
func (c *Counter) RegisterGauge(n Name, f func() int64) {
	c.values.Set(string(n), expvar.Func(func() any { return f() }))
}

// Get returns the value of a metric, zero if it was never set.
func (c *Counter) Get(n Name) int64 {
	switch v := c.values.Get(string(n)).(type) {
	case *expvar.Int:
		return v.Value()
	case expvar.Func:
		i, _ := v.Value().(int64)

		return i
	default:
		return 0
	}
}

// Publish publishes the metrics as the expvar variable "auburntray". It panics when it is called twice in
// a process.
func (c *Counter) Publish() {
	expvar.Publish("auburntray", c.values)
}

// Handler returns a handler that serves all published variables as JSON.
func Handler() http.Handler {
	return expvar.Handler()
}

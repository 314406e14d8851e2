// Package counter holds a router's metrics as expvar variables.
package counter

import (
	"expvar"
	"net/http"
)

// Name is a metric's name.
type Name string

// The metrics. All count up from the start of the process, but for Revision,
// Routers, InFlight and Places, which say how it stands.
const (
	Requests        Name = "requests"
	Served          Name = "served"
	Failed          Name = "failed"
	Unknown         Name = "unknown"
	Refused         Name = "refused"
	RefusedFull     Name = "refusedFull"
	RefusedShare    Name = "refusedOverShare"
	Retried         Name = "retried"
	Resumed         Name = "resumed"
	Canceled        Name = "canceled"
	Returned        Name = "returnedToPlace"
	Waited          Name = "waitedForPlace"
	AsksFailed      Name = "asksFailed"
	AskedHere       Name = "askedHereInstead"
	Claims          Name = "claims"
	Replayed        Name = "replayed"
	PromptTokens    Name = "promptTokens"
	CachedTokens    Name = "cachedTokens"
	ControlSent     Name = "controlBytesSent"
	ControlReceived Name = "controlBytesReceived"
	PlatformBytes   Name = "platformBytes"
	Revision        Name = "revision"
	Routers         Name = "routersLive"
	InFlight        Name = "inFlight"
	Places          Name = "placesRemembered"
	Orders          Name = "orders"
)

// Counter holds the metrics of one router. It is safe for concurrent use. It
// is not published under a global name, so that tests can run many routers in
// one process.
type Counter struct {
	values *expvar.Map
}

// New returns a Counter with every metric at zero.
func New() *Counter {
	return &Counter{values: new(expvar.Map).Init()}
}

// Add adds to a metric.
func (c *Counter) Add(n Name, d int64) {
	c.values.Add(string(n), d)
}

// Follow makes a metric show what a function returns when it is read.
func (c *Counter) Follow(n Name, f func() int64) {
	c.values.Set(string(n), expvar.Func(func() any { return f() }))
}

// Get returns a metric. One that was never counted is zero.
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

// Publish shows the metrics at expvar's own handler under "auburntray". It may
// be called once in a process.
func (c *Counter) Publish() {
	expvar.Publish("auburntray", c.values)
}

// Handler serves all published variables as JSON.
func Handler() http.Handler {
	return expvar.Handler()
}

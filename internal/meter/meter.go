// Package meter counts what a gateway does and serves the counts as text.
package meter

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Outcome is how a call ended for its caller.
type Outcome string

// The outcomes.
const (
	// Served is a whole answer of a target's.
	Served Outcome = "served"
	// Refused is an answer of the gateway's own.
	Refused Outcome = "refused"
	// Broken is an answer that began and did not end.
	Broken Outcome = "broken"
	// Left means that the caller left first.
	Left Outcome = "left"
)

// Meter holds the counts of one instance. It is safe for concurrent use. It is not
// global, so that tests can run several instances in a process.
type Meter struct {
	set *metrics.Set
}

// New returns a Meter with every count at zero.
func New() *Meter {
	return &Meter{set: metrics.NewSet()}
}

// Call counts a call, how it ended and how long it took.
func (m *Meter) Call(kind string, o Outcome, took time.Duration) {
	m.set.GetOrCreateCounter(`auburntray_calls_total{kind="` + kind + `",outcome="` + string(o) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`auburntray_call_seconds{kind="` + kind + `"}`).Update(took.Seconds())
}

// Began counts how long the first part of an answer took.
func (m *Meter) Began(kind string, took time.Duration) {
	m.set.GetOrCreateHistogram(`auburntray_first_part_seconds{kind="` + kind + `"}`).Update(took.Seconds())
}

// Attempt counts an attempt at a target and how it ended.
func (m *Meter) Attempt(group, outcome string) {
	m.set.GetOrCreateCounter(`auburntray_attempts_total{group="` + group + `",outcome="` + outcome + `"}`).Inc()
}

// Refusal counts an answer of the gateway's own by its reason.
func (m *Meter) Refusal(reason string) {
	m.set.GetOrCreateCounter(`auburntray_refusals_total{reason="` + reason + `"}`).Inc()
}

// Read counts a read of a stream: where from, and whether it was answered.
func (m *Meter) Read(stream, source string, answered bool) {
	r := "answered"
	if !answered {
		r = "failed"
	}

	m.set.GetOrCreateCounter(`auburntray_reads_total{stream="` + stream + `",source="` + source + `",result="` + r + `"}`).Inc()
}

// Follow makes a gauge show what a function returns when it is read.
func (m *Meter) Follow(name string, f func() float64) {
	m.set.GetOrCreateGauge("auburntray_"+name, f)
}

// Handler serves the counts as text, and those of the process.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

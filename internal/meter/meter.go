// Package meter records the metrics of a gateway and serves them in the Prometheus text format.
package meter

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Outcome is the outcome of a call for its caller.
type Outcome string

// The outcomes of calls.
const (
	// Served means that the caller received the complete answer of a target.
	Served Outcome = "served"
	// Refused means that the gateway refused the call and did not relay an answer of a target.
	Refused Outcome = "refused"
	// Broken means that the answer of a target broke off after its beginning.
	Broken Outcome = "broken"
	// Disconnected means that the caller disconnected before the answer was complete.
	Disconnected Outcome = "left"
)

// Meter records the metrics of one instance. It is safe for concurrent use, except for Loads. It is
// not global, so that tests can run several instances in one process.
type Meter struct {
	set *metrics.Set
	// loads returns the current load of each target; nil stands for no targets.
	loads func() []Load
}

// Load is the load of a target as known to this instance.
type Load struct {
	Target, Group string
	Calls         float64
	// Excluded means that the target is excluded: it gets no calls for now.
	Excluded bool
}

// New returns a Meter without any counts.
func New() *Meter {
	return &Meter{set: metrics.NewSet()}
}

// Call records a call with its outcome and duration.
func (m *Meter) Call(kind string, o Outcome, took time.Duration) {
	m.set.GetOrCreateCounter(`auburntray_calls_total{kind="` + kind + `",outcome="` + string(o) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`auburntray_call_seconds{kind="` + kind + `"}`).Update(took.Seconds())
}

// FirstPart records the time until the first part of an answer.
func (m *Meter) FirstPart(kind string, took time.Duration) {
	m.set.GetOrCreateHistogram(`auburntray_first_part_seconds{kind="` + kind + `"}`).Update(took.Seconds())
}

// Attempt records an attempt at a target of the group with its outcome.
func (m *Meter) Attempt(group, outcome string) {
	m.set.GetOrCreateCounter(`auburntray_attempts_total{group="` + escape(group) + `",outcome="` + outcome + `"}`).Inc()
}

// Reservation records the reservation of a slot at the home (home node) of a target of the group, with its
// outcome.
func (m *Meter) Reservation(group, outcome string) {
	m.set.GetOrCreateCounter(`auburntray_reservations_total{group="` + escape(group) + `",outcome="` + outcome + `"}`).Inc()
}

// Delegated records a call that this instance sent to a target for another one, with the result.
func (m *Meter) Delegated(result string) {
	m.set.GetOrCreateCounter(`auburntray_calls_delegated_total{result="` + result + `"}`).Inc()
}

// Unbuffered records an answer that was relayed as it arrived, since it did not fit into memory.
func (m *Meter) Unbuffered() {
	m.set.GetOrCreateCounter(`auburntray_answers_unbuffered_total`).Inc()
}

// Refusal records a refusal by the gateway with its reason.
func (m *Meter) Refusal(reason string) {
	m.set.GetOrCreateCounter(`auburntray_refusals_total{reason="` + reason + `"}`).Inc()
}

// StreamLookup records that the software version of a stream was looked up, and from what the answer follows.
func (m *Meter) StreamLookup(source string) {
	m.set.GetOrCreateCounter(`auburntray_stream_lookups_total{source="` + source + `"}`).Inc()
}

// Read records a read of a stream from a source and whether it was answered.
func (m *Meter) Read(stream, source string, answered bool) {
	r := "answered"
	if !answered {
		r = "failed"
	}

	m.set.GetOrCreateCounter(`auburntray_reads_total{stream="` + stream + `",source="` + source + `",result="` + r + `"}`).Inc()
}

// InvalidRecord records an invalid record of a stream with its reason. Reasons become values of a label, so
// there may be only a few different ones.
func (m *Meter) InvalidRecord(stream, reason string) {
	m.set.GetOrCreateCounter(`auburntray_records_refused_total{stream="` + stream + `",reason="` + reason + `"}`).Inc()
}

// HealthChange records that a target or a data centre is excluded, with the cause, or readmitted.
func (m *Meter) HealthChange(cause string, excluded bool) {
	v := "back"
	if excluded {
		v = "leftAlone"
	}

	m.set.GetOrCreateCounter(`auburntray_beliefs_total{cause="` + cause + `",change="` + v + `"}`).Inc()
}

// SetLoads sets the function that returns the loads of targets whenever the metrics are read. It must be
// called before the Handler is used.
func (m *Meter) SetLoads(f func() []Load) {
	m.loads = f
}

// RegisterGauge registers a gauge whose value is the result of the function whenever the metrics are read.
func (m *Meter) RegisterGauge(name string, f func() float64) {
	m.set.GetOrCreateGauge("auburntray_"+name, f)
}

// Handler returns a handler that serves the metrics of the instance and of the process.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.set.WritePrometheus(w)

		if m.loads != nil {
			writeLoads(w, m.loads())
		}

		metrics.WriteProcessMetrics(w)
	})
}

// escape returns a name as the value of a label. Names of groups and targets are input from other
// systems, and the library panics on an unescaped quotation mark or line end in a label.
func escape(name string) string {
	return escaper.Replace(name)
}

// escaper is safe for concurrent use.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`) //nolint:gochecknoglobals // A constant.

// writeLoads writes the load of each target and whether it is excluded.
func writeLoads(w io.Writer, l []Load) {
	for _, x := range l {
		k := `{target="` + escape(x.Target) + `",group="` + escape(x.Group) + `"}`
		metrics.WriteGaugeFloat64(w, "auburntray_target_calls"+k, x.Calls)

		var excluded uint64
		if x.Excluded {
			excluded = 1
		}

		metrics.WriteGaugeUint64(w, "auburntray_target_left_alone"+k, excluded)
	}
}

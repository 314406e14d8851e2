// Package meter counts what a gateway does and serves the counts as text.
package meter

import (
	"io"
	"net/http"
	"strings"
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
	// loads returns the load of each target when it is read.
	loads func() []Load
}

// Load is the load of a target as this instance sees it.
type Load struct {
	Target, Group string
	Calls         float64
	// Left says that the target is left alone.
	Left bool
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
	m.set.GetOrCreateCounter(`auburntray_attempts_total{group="` + escaped(group) + `",outcome="` + outcome + `"}`).Inc()
}

// Reserved counts a question to the home of a target and what it said.
func (m *Meter) Reserved(group, outcome string) {
	m.set.GetOrCreateCounter(`auburntray_reservations_total{group="` + escaped(group) + `",outcome="` + outcome + `"}`).Inc()
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

// Unusable counts a record of a stream that can't be used, by its reason, of which there
// must be few.
func (m *Meter) Unusable(stream, reason string) {
	m.set.GetOrCreateCounter(`auburntray_records_refused_total{stream="` + stream + `",reason="` + reason + `"}`).Inc()
}

// Left counts that a target or a data centre is left alone, for a cause, or back.
func (m *Meter) Left(cause string, out bool) {
	e := "back"
	if out {
		e = "leftAlone"
	}

	m.set.GetOrCreateCounter(`auburntray_beliefs_total{cause="` + cause + `",change="` + e + `"}`).Inc()
}

// Loads makes the loads of targets show what a function returns when they are read.
// It is called before the Handler is used.
func (m *Meter) Loads(f func() []Load) {
	m.loads = f
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

		if m.loads != nil {
			writeLoads(w, m.loads())
		}

		metrics.WriteProcessMetrics(w)
	})
}

// escaped returns a name as the value of a label. Names of groups and targets come from
// outside; the library panics on a quotation mark in a label, or a line end.
func escaped(name string) string {
	return escaper.Replace(name)
}

// escaper is safe for concurrent use.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`) //nolint:gochecknoglobals // A constant.

func writeLoads(w io.Writer, l []Load) {
	for _, x := range l {
		k := `{target="` + escaped(x.Target) + `",group="` + escaped(x.Group) + `"}`
		metrics.WriteGaugeFloat64(w, "auburntray_target_calls"+k, x.Calls)

		var left uint64
		if x.Left {
			left = 1
		}

		metrics.WriteGaugeUint64(w, "auburntray_target_left_alone"+k, left)
	}
}

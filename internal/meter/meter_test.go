package meter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/meter"
)

// The metrics show the load of each target and whether it is excluded, so that an operator can find
// the target behind many failures.
func TestMetricsAsText(t *testing.T) {
	i := is.New(t)
	m := meter.New()
	m.Call("once", meter.Served, 20*time.Millisecond)
	m.Attempt("g", "bad")
	m.Refusal("noTarget")
	m.Read("config", "platform", false)
	m.InvalidRecord("targets", "wrongType")
	m.HealthChange("targetFailing", true)
	m.HealthChange("targetFailing", false)
	m.RegisterGauge("targets", func() float64 { return 2 })
	m.SetLoads(func() []meter.Load {
		return []meter.Load{{Target: "t1", Group: "g", Calls: 3}, {Target: "t2", Group: "g", Excluded: true}}
	})

	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))

	for _, l := range []string{
		`auburntray_calls_total{kind="once",outcome="served"} 1`,
		`auburntray_call_seconds_count{kind="once"} 1`,
		`auburntray_attempts_total{group="g",outcome="bad"} 1`,
		`auburntray_refusals_total{reason="noTarget"} 1`,
		`auburntray_reads_total{stream="config",source="platform",result="failed"} 1`,
		`auburntray_records_refused_total{stream="targets",reason="wrongType"} 1`,
		`auburntray_beliefs_total{cause="targetFailing",change="leftAlone"} 1`,
		`auburntray_beliefs_total{cause="targetFailing",change="back"} 1`,
		`auburntray_targets 2`,
		`auburntray_target_calls{target="t1",group="g"} 3`,
		`auburntray_target_left_alone{target="t1",group="g"} 0`,
		`auburntray_target_left_alone{target="t2",group="g"} 1`,
	} {
		i.True(strings.Contains(w.Body.String(), l+"\n"))
	}
}

// Guards against a panic on a group whose name has a quotation mark or a line end: calls would get no
// answer, and the metrics could not be read.
func TestNamesAreEscaped(t *testing.T) {
	for name, x := range map[string]struct{ group, want string }{
		"quotation mark": {`a"b`, `a\"b`},
		"line end":       {"a\nb", `a\nb`},
		"backslash":      {`a\`, `a\\`},
		"no escape":      {`a{b=1},c`, `a{b=1},c`},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			m := meter.New()
			m.Attempt(x.group, "good")
			m.SetLoads(func() []meter.Load { return []meter.Load{{Target: x.group, Group: x.group, Calls: 3}} })

			w := httptest.NewRecorder()
			m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))

			for _, l := range []string{
				`auburntray_attempts_total{group="` + x.want + `",outcome="good"} 1`,
				`auburntray_target_calls{target="` + x.want + `",group="` + x.want + `"} 3`,
			} {
				i.True(strings.Contains(w.Body.String(), l+"\n"))
			}
		})
	}
}

package gatekeeper

import (
	"time"

	"github.com/auburntray/auburntray/internal/meter"
)

// registerMetrics registers the metrics that are read on demand.
func (g *Gatekeeper) registerMetrics(m *meter.Meter) {
	m.Follow("catalog_version", func() float64 { return float64(g.state.version()) })
	m.Follow("catalog_age_seconds", func() float64 { return time.Since(g.state.lastConfirmed()).Seconds() })
	m.Follow("targets", func() float64 { return float64(len(g.state.Registry().Known)) })
	m.Follow("data_centres_evacuated", func() float64 { return float64(len(g.state.evacuations().Begun)) })
	m.Follow("calls_running_evacuated", func() float64 {
		n := 0
		for _, x := range g.evacuations.list() {
			n += int(x.Own)
		}

		return float64(n)
	})
	m.Follow("instances", func() float64 { return float64(g.state.Instances()) })
	m.Follow("calls_running", func() float64 { return float64(g.drainer.Running()) })
	m.Follow("control_bytes_sent", func() float64 { s, _ := g.messenger.Traffic().Bytes(); return float64(s) })
	m.Loads(func() []meter.Load {
		var o []meter.Load
		for _, v := range g.forwarder.Views() {
			o = append(o, meter.Load{Target: v.Target.ID, Group: v.Target.Group, Calls: v.Load, Left: v.Excluded})
		}

		return o
	})
	m.Follow("calls_suspected", func() float64 { return float64(g.replicator.Counts().Suspected) })
	m.Follow("calls_held_back", func() float64 { return float64(g.replicator.Counts().Quarantined) })
	m.Follow("calls_excused", func() float64 { return float64(g.replicator.Counts().Cleared) })
	m.Follow("targets_ended_under_calls", func() float64 { return float64(g.replicator.Counts().Crashes) })
	m.Follow("control_bytes_received", func() float64 { _, n := g.messenger.Traffic().Bytes(); return float64(n) })
}

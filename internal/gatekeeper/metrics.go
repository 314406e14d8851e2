package gatekeeper

import (
	"time"

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/meter"
)

// registerMetrics registers the metrics that are read on demand.
func (g *Gatekeeper) registerMetrics(m *meter.Meter) {
	m.RegisterGauge("catalog_version", func() float64 { return float64(g.state.catalogVersion()) })
	m.RegisterGauge("catalog_requires_key", func() float64 {
		if c := g.state.Catalog(); c != nil && c.RequiresKey() {
			return 1
		}

		return 0
	})
	m.RegisterGauge("catalog_keys", func() float64 {
		if c := g.state.Catalog(); c != nil {
			return float64(c.Keys())
		}

		return 0
	})
	m.RegisterGauge("catalog_age_seconds", func() float64 { return time.Since(g.state.lastConfirmed()).Seconds() })
	m.RegisterGauge("targets", func() float64 { return float64(len(g.state.Registry().Known)) })
	m.RegisterGauge("data_centres_evacuated", func() float64 { return float64(len(g.state.evacuations().Begun)) })
	m.RegisterGauge("calls_running_evacuated", func() float64 {
		n := 0
		for _, x := range g.evacuations.list() {
			n += int(x.OwnCalls)
		}

		return float64(n)
	})
	m.RegisterGauge("instances", func() float64 { return float64(g.state.Instances()) })
	m.RegisterGauge("groups_unreached", func() float64 { return float64(len(g.forwarder.Unreached())) })
	m.RegisterGauge("calls_running", func() float64 { return float64(g.drainer.Running()) })
	m.RegisterGauge("connections_shed", func() float64 { return float64(g.connections.Count(acceptor.Shed)) })

	for _, k := range acceptor.Reasons() {
		if k != acceptor.Shed {
			m.RegisterGauge(`connections_ended{reason="`+string(k)+`"}`, func() float64 { return float64(g.connections.Count(k)) })
		}
	}

	m.RegisterGauge("control_bytes_sent", func() float64 { s, _ := g.messenger.Traffic().Bytes(); return float64(s) })
	m.SetLoads(func() []meter.Load {
		var o []meter.Load
		for _, v := range g.forwarder.TargetStates() {
			o = append(o, meter.Load{Target: v.Target.ID, Group: v.Target.Group, Calls: v.Load, Excluded: v.Excluded})
		}

		return o
	})
	m.RegisterGauge("memory_budget_bytes", func() float64 { return float64(g.memory.Budget()) })
	m.RegisterGauge("memory_held_peak_bytes", func() float64 { return float64(g.memory.Peak()) })

	for _, k := range accountant.Kinds() {
		m.RegisterGauge(`memory_held_bytes{kind="`+k.String()+`"}`, func() float64 { return float64(g.memory.Held(k)) })
	}

	m.RegisterGauge("calls_suspected", func() float64 { return float64(g.replicator.Counts().Suspected) })
	m.RegisterGauge("calls_held_back", func() float64 { return float64(g.replicator.Counts().Quarantined) })
	m.RegisterGauge("calls_excused", func() float64 { return float64(g.replicator.Counts().Cleared) })
	m.RegisterGauge("targets_ended_under_calls", func() float64 { return float64(g.replicator.Counts().Crashes) })
	m.RegisterGauge("control_bytes_received", func() float64 { _, n := g.messenger.Traffic().Bytes(); return float64(n) })
}

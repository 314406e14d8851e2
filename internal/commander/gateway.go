package commander

import (
	"context"
	"maps"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/gatekeeper"
	"github.com/auburntray/auburntray/internal/logger"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/reloader"
	"github.com/auburntray/auburntray/internal/signaler"
	"github.com/auburntray/auburntray/internal/throttler"
	"github.com/auburntray/auburntray/platform"
)

func newPlatform(o options) *cobra.Command {
	var metricsPort uint16

	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a gateway with the settings file of the users' platform, until SIGTERM",
		Long: "Run a gateway with the settings file that the environment variable " + platform.SettingsVariable +
			" names, until SIGTERM. The file is read again on SIGHUP and when it changes.",
		Args:        cobra.NoArgs,
		Annotations: longRunning(),
		RunE: func(c *cobra.Command, _ []string) error {
			return runPlatform(c.Context(), os.Getenv(platform.SettingsVariable), metricsPort, o)
		},
	}

	c.Flags().Uint16Var(&metricsPort, "metrics-port", 0, "serve metrics at /metrics on this port; 0 serves none")

	return c
}

// runPlatform runs a gateway with the settings file at the given path, until it receives a signal to stop.
func runPlatform(c context.Context, path string, metricsPort uint16, o options) error {
	l, flush, err := setUpLogger("info", os.Stdout)
	if err != nil {
		return err
	}
	defer flush()

	x, end := signaler.New(logSignal)
	defer end()

	c, stop := context.WithCancel(c)
	defer stop()

	return serve(x.Stopping(), func() (*fx.App, error) { return newGateway(c, path, metricsPort, l, x, o) })
}

// newGateway builds a gateway. Its settings are reloaded until the context is done.
func newGateway(
	c context.Context, path string, metricsPort uint16, l *logger.Logger, x *signaler.Signaler, o options,
) (*fx.App, error) {
	s, b, err := platform.ReadSettings(path)
	if err != nil {
		return nil, err
	}

	limitMemory(s.Memory)

	y := gatewaySettings(s)
	if metricsPort > 0 {
		y.Metrics = netip.AddrPortFrom(s.Callers.Addr(), metricsPort)
	}

	var (
		g *gatekeeper.Gatekeeper
		m *meter.Meter
	)

	w, t := platform.NewEnvironment(s)
	w.Dialer = o.targetDialer
	a := fx.New(gatekeeper.Options(y, w), fx.Populate(&g, &m))

	if err := buildError(a); err != nil {
		return nil, err
	}

	m.RegisterGauge("signals_total", func() float64 { return float64(x.Total()) })
	m.RegisterGauge("log_lines_dropped_total", func() float64 { return float64(l.Dropped()) })
	m.RegisterGauge("log_lines_failed_total", func() float64 { return float64(l.Failed()) })

	go reloader.New(path, b, x.Reloads(), func(b []byte) error { return applySettings(b, y, g, t) }).Run(c)

	return a, nil
}

// applySettings applies the settings that may change at run time, and logs the changed ones that take effect only
// after a restart. It fails when the file cannot be parsed.
func applySettings(b []byte, started gatekeeper.Settings, g *gatekeeper.Gatekeeper, t *platform.Store) error {
	s, err := platform.ParseSettings(b)
	if err != nil {
		return err
	}

	limitMemory(s.Memory)

	x := gatewaySettings(s)
	if l := restartSettings(started, x); len(l) > 0 {
		logrus.WithFields(logrus.Fields{"event": "restartNeeded", "settings": strings.Join(l, ",")}).Warn()
	}

	t.SetAddress(s.Store)
	g.Tune(x.Tunables)

	return nil
}

// limitMemory makes the garbage collector keep the process within the given number of bytes; zero removes the limit.
func limitMemory(bytes int64) {
	debug.SetMemoryLimit(accountant.RuntimeLimit(bytes))
}

// restartSettings returns the names of the settings that differ and take effect only after a restart.
func restartSettings(a, b gatekeeper.Settings) []string {
	var o []string

	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", a.Name == b.Name},
		{"dataCentre", a.DataCentre == b.DataCentre},
		{"region", a.Region == b.Region},
		{"regions", maps.Equal(a.Regions, b.Regions)},
		{"callers", a.Callers == b.Callers},
		{"ready", a.Ready == b.Ready},
		{"peers", a.Peers == b.Peers},
		{"internalPorts", a.InternalPorts == b.InternalPorts},
		{"mostLoad", a.MaxFactor == b.MaxFactor},
		{"within", a.ApplyWithin == b.ApplyWithin},
		{"link", a.LinkRate == b.LinkRate},
		{"descriptors", a.MaxDescriptors == b.MaxDescriptors},
		{"storeWrites", a.StoreWrites == b.StoreWrites},
	} {
		if !f.same {
			o = append(o, f.name)
		}
	}

	return o
}

func gatewaySettings(s platform.Settings) gatekeeper.Settings {
	return gatekeeper.Settings{
		Name: s.Name, DataCentre: s.DataCentre, Callers: s.Callers, Ready: s.Ready, Peers: s.Peers, InternalPorts: s.InternalPorts, Region: s.Region,
		Regions: s.Regions, MaxFactor: s.MaxFactor, ApplyWithin: s.ApplyWithin, LinkRate: s.LinkRate, MaxDescriptors: s.MaxDescriptors, StoreWrites: s.StoreWrites,
		Tunables: gatekeeper.Tunables{
			Seeds: s.Seeds, StopTimeout: s.StopTimeout, Memory: s.Memory,
			Retries: budgeter.Settings{Ratio: s.RetryRatio, Window: s.RetryWindow, Slack: s.RetrySlack},
			Cold:    throttler.Settings{Coverage: s.ColdCoverage, Slack: s.ColdSlack},
		},
	}
}

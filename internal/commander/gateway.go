package commander

import (
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/gatekeeper"
	"github.com/auburntray/auburntray/internal/logger"
	"github.com/auburntray/auburntray/platform"
)

func newPlatform() *cobra.Command {
	var metricsPort uint16

	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a gateway with the settings file of the users' platform, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}

			g := gatewaySettings(s)
			if metricsPort > 0 {
				g.Metrics = netip.AddrPortFrom(s.Callers.Addr(), metricsPort)
			}

			return runGateway(g, platform.World(s))
		},
	}

	c.Flags().Uint16Var(&metricsPort, "metrics-port", 0, "serve counts at /metrics on this port; 0 serves none")

	return c
}

func gatewaySettings(s platform.Settings) gatekeeper.Settings {
	return gatekeeper.Settings{
		Name: s.Name, DataCentre: s.DataCentre, Callers: s.Callers, Ready: s.Ready, Stop: s.Stop,
		Peers: s.Peers, Seeds: s.Seeds, Region: s.Region,
		Retries: budgeter.Settings{Ratio: s.RetryRatio, Window: s.RetryWindow, Slack: s.RetrySlack},
	}
}

func runGateway(s gatekeeper.Settings, w gatekeeper.World) error {
	if err := SetUpLogs("info"); err != nil {
		return errors.Mark(err, ErrUsage)
	}

	l, flush := logger.New(os.Stdout)
	defer flush()

	logrus.SetOutput(l)

	return run(fx.New(gatekeeper.Options(s, w)))
}

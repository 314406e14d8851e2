package commander

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/gatekeeper"
	"github.com/auburntray/auburntray/platform"
)

func newPlatform() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Run a gateway with the settings file of the users' platform, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}

			return runGateway(gatewaySettings(s), platform.World(s))
		},
	}
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

	a := fx.New(gatekeeper.Options(s, w))
	if err := a.Err(); err != nil {
		return err
	}

	x, stop := context.WithTimeout(context.Background(), a.StartTimeout())
	defer stop()

	if err := a.Start(x); err != nil {
		return err
	}

	<-a.Done()

	y, end := context.WithTimeout(context.Background(), a.StopTimeout())
	defer end()

	return a.Stop(y)
}

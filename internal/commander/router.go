package commander

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/internal/router"
	"github.com/auburntray/auburntray/internal/signaler"
)

func newRouter() *cobra.Command {
	var (
		s     resolver.Router
		check bool
	)

	c := &cobra.Command{
		Use:   "router",
		Short: "Run a router until SIGTERM, then drain and stop",
		Args:  cobra.NoArgs,

		Annotations: longRunning(),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := s.Read(c.Flags()); err != nil {
				return err
			}

			if check {
				_, err := fmt.Fprintln(c.OutOrStdout(), "the settings are valid")

				return err
			}

			return runRouter(s)
		},
	}

	s.Table().AddFlags(c.Flags())
	c.Flags().BoolVar(&check, "check", false, "check the settings and exit")

	return c
}

func runRouter(s resolver.Router) error {
	_, flush, err := setUpLogger(s.LogLevel, os.Stderr)
	if err != nil {
		return err
	}
	defer flush()

	limitMemory(int64(s.Memory))

	x, end := signaler.New(logSignal)
	defer end()

	return serve(x.Stopping(), func() (*fx.App, error) {
		a := fx.New(router.Options(s), fx.Invoke(func(n *counter.Counter) { n.Publish() }))

		return a, buildError(a)
	})
}

func newSettings() *cobra.Command {
	return &cobra.Command{
		Use:    "settings",
		Short:  "Print the settings as a Markdown page",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			var s resolver.Router

			_, err := fmt.Fprint(c.OutOrStdout(), s.Table().Page())

			return err
		},
	}
}

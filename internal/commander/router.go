package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/dig"
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
		Short: "Run an entry instance until SIGTERM, then stop as planned",
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
	c.Flags().BoolVar(&check, "check", false, "check the settings and end")

	return c
}

func runRouter(s resolver.Router) error {
	_, flush, err := setUpLogger(s.LogLevel, os.Stderr)
	if err != nil {
		return err
	}
	defer flush()

	x, end := signaler.New(tellSignal)
	defer end()

	a := fx.New(router.Options(s), fx.Invoke(func(n *counter.Counter) { n.Publish() }))

	return run(a, x.Stopping())
}

// buildError returns why an application can't be put together: what the operator can
// mend, without the parts that needed it.
func buildError(a *fx.App) error {
	return dig.RootCause(a.Err())
}

// run starts an application, and stops it when it is told to.
func run(a *fx.App, stopping <-chan struct{}) error {
	if err := buildError(a); err != nil {
		return err
	}

	x, stop := context.WithTimeout(context.Background(), a.StartTimeout())
	defer stop()

	if err := a.Start(x); err != nil {
		return err
	}

	<-stopping

	y, end := context.WithTimeout(context.Background(), a.StopTimeout())
	defer end()

	return a.Stop(y)
}

func newSettings() *cobra.Command {
	return &cobra.Command{
		Use:    "settings",
		Short:  "Print the table of settings as a page",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			var s resolver.Router

			_, err := fmt.Fprint(c.OutOrStdout(), s.Table().Page())

			return err
		},
	}
}

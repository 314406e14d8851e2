package commander

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburntray/auburntray/internal/explainer"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Print the history of a call from the logs of all instances, or from the standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, a []string) error {
			e := explainer.New(a[0])

			if len(a) == 1 {
				if err := e.Read("stdin", c.InOrStdin()); err != nil {
					return err
				}
			}

			for _, n := range a[1:] {
				if err := explainFile(e, n); err != nil {
					return err
				}
			}

			n, err := e.Write(c.OutOrStdout())
			if err == nil && n == 0 {
				err = errors.Mark(errors.Newf("no log line mentions the call %q", a[0]), ErrUsage)
			}

			return err
		},
	}
}

func explainFile(e *explainer.Explainer, name string) error {
	f, err := os.Open(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}

	defer f.Close() //nolint:errcheck // Only read.

	return e.Read(name, f)
}

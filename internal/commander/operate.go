package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/pkg/publisher"
)

const operateTimeout = 20 * time.Second

// operator holds the settings of the commands that use a publisher.
type operator struct {
	platform   netip.AddrPort
	dataCentre string
	author     string
}

func (o *operator) table() resolver.Table {
	return resolver.Table{
		{
			Name: "platform", Default: "127.0.0.1:8070", Allowed: "an IP number and a port",
			Help: "address of the platform's log", Read: resolver.Address(&o.platform, false),
		},
		{
			Name: "data-centre", Default: "operators", Allowed: "1 to 63 bytes",
			Help: "data centre that the command runs in", Read: resolver.Text(&o.dataCentre),
		},
		{
			Name: "author", Default: login(), Allowed: "1 to 63 bytes",
			Help: "name that is recorded as the author of a change", Read: resolver.Text(&o.author),
		},
	}
}

// login returns the name of the user who runs the command, or "operator" when it is unknown.
func login() string {
	u, err := user.Current()
	if err != nil || u.Username == "" {
		return "operator"
	}

	return u.Username
}

// newOperatorCommand returns a command that calls a function with a publisher.
func newOperatorCommand(use, short string, args cobra.PositionalArgs, f func(c *cobra.Command, p *publisher.Publisher, o *operator, a []string) error) *cobra.Command {
	var o operator

	t := o.table()
	c := &cobra.Command{
		Use: use, Short: short, Args: args,
		RunE: func(c *cobra.Command, a []string) error {
			if err := t.Read(c.Flags()); err != nil {
				return err
			}

			p, stop := publisher.New(o.platform, o.dataCentre)
			defer stop()

			return f(c, p, &o, a)
		},
	}

	t.AddFlags(c.Flags())

	return c
}

func newPublish() *cobra.Command {
	var (
		r      publisher.Request
		asJSON bool
	)

	c := newOperatorCommand("publish FILE", "Publish a document based on a revision", cobra.ExactArgs(1),
		func(c *cobra.Command, p *publisher.Publisher, o *operator, a []string) error {
			b, err := readFile(c.InOrStdin(), a[0])
			if err != nil {
				return errors.Mark(err, ErrUsage)
			}

			x, stop := context.WithTimeout(c.Context(), operateTimeout)
			defer stop()

			r.Document = b
			r.Author = o.author

			v, err := p.Publish(x, r)
			if err != nil {
				return err
			}

			return printResult(c.OutOrStdout(), v, asJSON)
		})
	c.Flags().Uint64Var(&r.Base, "base", 0, "revision that the document was made from; show prints it")
	c.Flags().StringVar(&r.ID, "id", "", "id of a publication whose outcome was unknown")
	c.Flags().BoolVar(&r.DryRun, "dry-run", false, "validate the document and show the differences without publishing")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")

	return c
}

func newDrain() *cobra.Command {
	var undo bool

	c := newOperatorCommand("drain TARGET", "Take a target out of service for new work", cobra.ExactArgs(1),
		func(c *cobra.Command, p *publisher.Publisher, o *operator, a []string) error {
			x, stop := context.WithTimeout(c.Context(), operateTimeout)
			defer stop()

			v, err := p.Drain(x, a[0], o.author, !undo)
			if err != nil {
				return err
			}

			return printResult(c.OutOrStdout(), v, false)
		})
	c.Flags().BoolVar(&undo, "undo", false, "put the target back into service")

	return c
}

func newShow() *cobra.Command {
	var document bool

	c := newOperatorCommand("show", "Show the configuration in force", cobra.NoArgs,
		func(c *cobra.Command, p *publisher.Publisher, _ *operator, _ []string) error {
			x, stop := context.WithTimeout(c.Context(), operateTimeout)
			defer stop()

			s, err := p.Show(x)
			if err != nil {
				return err
			}

			if !document {
				_, err = fmt.Fprintf(c.OutOrStdout(), "revision=%d base=%d author=%s time=%s id=%s\n",
					s.Revision, s.Base, s.Author, s.Time.Format(time.RFC3339), s.ID)
				if err != nil {
					return err
				}
			}

			_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", s.Document)

			return err
		})
	c.Flags().BoolVar(&document, "document", false, "print only the document, for editing")

	return c
}

func newHistory() *cobra.Command {
	return newOperatorCommand("history", "Show past publications and their outcomes", cobra.NoArgs,
		func(c *cobra.Command, p *publisher.Publisher, _ *operator, _ []string) error {
			x, stop := context.WithTimeout(c.Context(), operateTimeout)
			defer stop()

			l, err := p.History(x)
			if err != nil {
				return err
			}

			for _, e := range l {
				_, err := fmt.Fprintf(c.OutOrStdout(), "revision=%d verdict=%s base=%d author=%s time=%s id=%s changes=%d\n",
					e.Offset+1, e.Verdict, e.Base, e.Author, e.Time.Format(time.RFC3339), e.ID, len(e.Changes))
				if err != nil {
					return err
				}
			}

			return nil
		})
}

func newWatch() *cobra.Command {
	return newOperatorCommand("watch", "Print each configuration as it comes into force, until interrupted", cobra.NoArgs,
		func(c *cobra.Command, p *publisher.Publisher, _ *operator, _ []string) error {
			x, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()

			return p.Watch(x, func(s publisher.State) {
				_, _ = fmt.Fprintf(c.OutOrStdout(), "revision=%d base=%d author=%s time=%s id=%s\n",
					s.Revision, s.Base, s.Author, s.Time.Format(time.RFC3339), s.ID)
			})
		})
}

// printResult prints the result of a publication. It fails with ErrNotDone unless the change
// is in force, there is no change, or it was a dry run.
func printResult(w io.Writer, r publisher.Result, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")

		if err := e.Encode(r); err != nil {
			return err
		}
	} else {
		for _, l := range r.Changes {
			_, _ = fmt.Fprintln(w, l)
		}

		_, _ = fmt.Fprintf(w, "outcome=%s revision=%d id=%s\n", r.Outcome, r.Revision, r.ID)
	}

	switch r.Outcome {
	case publisher.Accepted, publisher.NoChange, publisher.DryRun:
		return nil
	case publisher.Stale:
		return errors.Mark(errors.Newf("revision %d is in force; look at it and publish on it", r.Revision), ErrNotDone)
	case publisher.Unknown:
		return errors.Mark(errors.Newf("it is unknown whether the change was accepted; publish again with --id %s", r.ID), ErrNotDone)
	case publisher.NotRun:
	}

	return errors.Mark(errors.New("the log took no append; nothing was changed"), ErrNotDone)
}

func readFile(in io.Reader, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}

	return os.ReadFile(name) //nolint:gosec // The operator names the file.
}

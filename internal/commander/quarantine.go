package commander

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/replicator"
)

// newQuarantine returns the command that shows and releases suspected and quarantined calls.
func newQuarantine() *cobra.Command {
	var (
		peer    netip.AddrPort
		release []string
		parts   []string
		all     bool
	)

	t := peerTable(&peer)

	c := &cobra.Command{
		Use: "held", Short: "Show the calls and parts of prompts with which targets crashed, or release them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := t.Read(c.Flags()); err != nil {
				return err
			}

			l, err := parseDigests(release)
			if err != nil {
				return err
			}

			for _, p := range parts {
				l = append(l, digester.OfPart(p))
			}

			return withMessenger(c.Context(), func(x context.Context, m *messenger.Messenger) error {
				k := replicator.NewClient(m, peer)
				if all || len(l) > 0 {
					return releaseCalls(x, c.OutOrStdout(), k, l, all)
				}

				return showCalls(x, c.OutOrStdout(), k)
			})
		},
	}
	t.AddFlags(c.Flags())
	c.Flags().StringSliceVar(&release, "release", nil, "comma-separated digests of calls or parts to release")
	c.Flags().StringSliceVar(&parts, "release-parts", nil, "comma-separated IDs of parts of prompts to release, as callers state them")
	c.Flags().BoolVar(&all, "release-all", false, "release all quarantined calls and parts")
	c.MarkFlagsMutuallyExclusive("release", "release-all")
	c.MarkFlagsMutuallyExclusive("release-parts", "release-all")

	return c
}

func parseDigests(l []string) ([]digester.Digest, error) {
	var o []digester.Digest

	for _, s := range l {
		d, err := digester.Parse(s)
		if err != nil {
			return nil, errors.Mark(err, ErrUsage)
		}

		o = append(o, d)
	}

	return o, nil
}

// showCalls prints one line for each suspected or quarantined call or part.
func showCalls(c context.Context, w io.Writer, k *replicator.Client) error {
	l, err := k.Records(c)
	if err != nil {
		return err
	}

	q := quarantiner.New(quarantiner.DefaultSettings())
	n := time.Now()
	q.Merge(n, l)

	for _, r := range l {
		v := q.Peek(n, r.Subject)
		if v.Status == quarantiner.Free {
			continue // Another one explains its crashes.
		}

		_, _ = fmt.Fprintf(w, "digest=%v kind=%s standing=%v ends=%d last=%v came=%v", r.Subject, kindOf(r.Subject), v.Status, v.Crashes, ago(n, v.LastCrash), ago(n, r.LastSeen))
		if v.TrialIn > 0 {
			_, _ = fmt.Fprintf(w, " triedIn=%v", v.TrialIn.Round(time.Second))
		}

		_, _ = fmt.Fprintln(w)
	}

	return nil
}

// kindOf returns what a digest identifies.
func kindOf(d digester.Digest) string {
	if d.IsPart() {
		return "part"
	}

	return "call"
}

// releaseCalls releases calls and prints one line for each. It fails with ErrNotDone when one of
// the given calls is neither quarantined nor suspected at the instance.
func releaseCalls(c context.Context, w io.Writer, k *replicator.Client, l []digester.Digest, all bool) error {
	o, err := k.Release(c, l, all)
	if err != nil {
		return err
	}

	for _, d := range o {
		_, _ = fmt.Fprintf(w, "digest=%v released\n", d)
	}

	if len(o) < len(l) {
		return errors.Wrapf(ErrNotDone, "%d of %d calls are neither quarantined nor suspected at the instance", len(l)-len(o), len(l))
	}

	return nil
}

func ago(now, t time.Time) time.Duration {
	return now.Sub(t).Round(time.Second)
}

package commander

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/wire"
)

// newEvacuations returns the command that lists the evacuated data centres.
func newEvacuations() *cobra.Command {
	var (
		peer   netip.AddrPort
		centre string
	)

	t := peerTable(&peer)

	c := &cobra.Command{
		Use: "evacuations", Short: "Show which data centres are evacuated, and how many calls still run there", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := t.Read(c.Flags()); err != nil {
				return err
			}

			return withMessenger(c.Context(), func(x context.Context, m *messenger.Messenger) error {
				return showEvacuations(x, c.OutOrStdout(), m, peer, centre)
			})
		},
	}
	t.AddFlags(c.Flags())
	c.Flags().StringVar(&centre, "data-centre", "", "the data centre to show; empty shows all")

	return c
}

// showEvacuations prints one line for each evacuated data centre.
func showEvacuations(c context.Context, w io.Writer, m *messenger.Messenger, peer netip.AddrPort, centre string) error {
	var r wire.EvacuationsReply
	if err := m.Call(c, peer, wire.KindEvacuations, &wire.EvacuationsRequest{DataCentre: centre}, &r); err != nil {
		return err
	}

	if len(r.Evacuations) == 0 {
		_, _ = fmt.Fprintln(w, "no data centre is evacuated")
	}

	for _, e := range r.Evacuations {
		d := (time.Duration(e.AgeMs) * time.Millisecond).Round(time.Second) //nolint:gosec // Below centuries.
		_, _ = fmt.Fprintf(w, "dataCentre=%s known=%v targets=%d runningOfIts=%d runningOfAll=%d\n", e.DataCentre, d, e.Targets, e.OwnCalls, e.AllCalls)
	}

	return nil
}

package commander

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburntray/auburntray/internal/driver"
	"github.com/auburntray/auburntray/internal/resolver"
)

// load holds the settings of the load command.
type load struct {
	driver.Settings

	customers string
	seed      int
	// output is the name of the file to which the result is written; empty means none.
	output string
}

func (l *load) table() resolver.Table {
	return resolver.Table{
		{Name: "addresses", Default: "127.0.0.1:8080", Allowed: "comma-separated loopback addresses", Help: "routers to send calls to, round-robin", Read: resolver.Addresses(&l.Addresses)},
		{Name: "duration", Default: "10s", Allowed: "1s to 10m", Help: "time during which calls are started", Read: resolver.Duration(&l.Duration, time.Second, 10*time.Minute)},
		{Name: "rate", Default: "50", Allowed: "1 to 10000", Help: "calls started per second", Read: resolver.Int(&l.Rate, 1, 10000)},
		{Name: "chats", Default: "200", Allowed: "0 to 1000000", Help: "number of chats, which are continued in turn", Read: resolver.Int(&l.Chats, 0, 1000000)},
		{Name: "customers", Default: "member-1,member-2,member-3", Allowed: "comma-separated names", Help: "customers of the chats", Read: resolver.AnyText(&l.customers)},
		{Name: "model", Default: "restock", Allowed: "1 to 63 bytes", Help: "model of the chats", Read: resolver.Text(&l.Model)},
		{Name: "tokens", Default: "40", Allowed: "1 to 4096", Help: "maximum number of tokens of an answer", Read: resolver.Int(&l.Tokens, 1, 4096)},
		{Name: "booking-part", Default: "0.2", Allowed: "0 to 1", Help: "fraction of the calls that are bookings", Read: resolver.Float(&l.BookingFraction, 0, 1)},
		{Name: "repeat-part", Default: "0.1", Allowed: "0 to 1", Help: "fraction of the bookings that are sent twice concurrently", Read: resolver.Float(&l.DuplicateFraction, 0, 1)},
		{Name: "call-deadline", Default: "20s", Allowed: "1s to 10m", Help: "time that a caller waits for an answer", Read: resolver.Duration(&l.Deadline, time.Second, 10*time.Minute)},
		{Name: "seed", Default: "1", Allowed: "0 to 2147483647", Help: "seed of the load", Read: resolver.Int(&l.seed, 0, 1<<31-1)},
		{Name: "output", Default: "", Allowed: "a file's name, or empty", Help: "file to which the result is written as JSON", Read: resolver.AnyText(&l.output)},
	}
}

func newLoad() *cobra.Command {
	var l load

	t := l.table()
	c := &cobra.Command{
		Use:   "load",
		Short: "Send a bounded load to a fleet on this machine and check every answer",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := t.Read(c.Flags()); err != nil {
				return err
			}

			return l.run(c)
		},
	}

	t.AddFlags(c.Flags())

	return c
}

func (l *load) run(c *cobra.Command) error {
	l.Customers = strings.Split(l.customers, ",")
	l.Seed = uint64(l.seed) //nolint:gosec // Its bounds exclude negative values.
	l.Progress = c.ErrOrStderr()

	d, err := driver.New(l.Settings)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}

	r := d.Run(c.Context())

	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}

	if l.output != "" {
		if err := os.WriteFile(l.output, b, 0o600); err != nil {
			return errors.Mark(err, ErrUsage)
		}
	}

	o := r.Outcomes
	_, err = fmt.Fprintf(c.OutOrStdout(),
		"%s\nload: served=%d refused=%d failed=%d cut=%d wrong=%d reuse=%.3f skewMean=%.2f skewP99=%.2f\n",
		b, o[driver.Served], o[driver.Refused], o[driver.Failed], o[driver.Interrupted], o[driver.Wrong], r.Reuse, r.SkewMean, r.SkewP99)

	return err
}

package commander

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/auburntray/auburntray/internal/bencher"
)

func newBench() *cobra.Command {
	var (
		seed                        uint64
		sizes, conditions, policies string
	)

	c := &cobra.Command{
		Use:   "bench",
		Short: "Measure the routing policy and its baselines at the users' sizes and the design size",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s := slices.DeleteFunc(bencher.Sizes(), func(x bencher.Size) bool { return !includes(sizes, x.Name) })
			d := slices.DeleteFunc(bencher.Conditions(), func(x bencher.Condition) bool { return !includes(conditions, string(x)) })
			p := slices.DeleteFunc(bencher.Policies(), func(x string) bool { return !includes(policies, x) })

			return bencher.Run(s, d, p, seed, func(r *bencher.Result) {
				_, _ = fmt.Fprintln(c.OutOrStdout(), r.Line())
			})
		},
	}

	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the traffic")
	c.Flags().StringVar(&sizes, "sizes", "", "comma-separated sizes; empty means all")
	c.Flags().StringVar(&conditions, "conditions", "", "comma-separated conditions; empty means all")
	c.Flags().StringVar(&policies, "policies", "", "comma-separated policies; empty means all")

	return c
}

// includes reports whether a comma-separated list contains a name. An empty list contains all.
func includes(list, name string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}

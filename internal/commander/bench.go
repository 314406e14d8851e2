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
			s := slices.DeleteFunc(bencher.Sizes(), func(x bencher.Size) bool { return !named(sizes, x.Name) })
			d := slices.DeleteFunc(bencher.Conditions(), func(x bencher.Condition) bool { return !named(conditions, string(x)) })
			p := slices.DeleteFunc(bencher.Policies(), func(x string) bool { return !named(policies, x) })

			return bencher.Run(s, d, p, seed, func(r *bencher.Result) {
				_, _ = fmt.Fprintln(c.OutOrStdout(), r.Line())
			})
		},
	}

	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the traffic")
	c.Flags().StringVar(&sizes, "sizes", "", "sizes with commas between them; empty means all")
	c.Flags().StringVar(&conditions, "conditions", "", "conditions with commas between them; empty means all")
	c.Flags().StringVar(&policies, "policies", "", "policies with commas between them; empty means all")

	return c
}

// named says that a list with commas names something; an empty list names all.
func named(list, name string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}

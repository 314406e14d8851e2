package filterer

import (
	"context"
	"net/http"
	"time"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/follower"
)

// comeBack is when to come back after a refusal that is likely to be over soon.
const comeBack = 2 * time.Second

// Match finds the rule that the call falls under.
type Match struct {
	Force func() *follower.Force
}

// Name returns the name of the step.
func (Match) Name() string { return "match" }

// Apply notes the configuration in force, which the call keeps to its end, and
// its rule.
func (m Match) Apply(_ context.Context, x *exchanger.Exchange) error {
	x.Force = m.Force()

	if x.Force.State.Revision == 0 {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNotReady, comeBack,
			"no configuration is in force here yet")
	}

	if !x.Force.Matcher.Known(x.Customer) {
		return exchanger.Refuse(http.StatusForbidden, exchanger.CodeNoCustomer, 0, "customer %q is not known", x.Customer)
	}

	x.Rule = x.Force.Matcher.Match(x.Traffic)
	if x.Rule == nil {
		return exchanger.Refuse(http.StatusNotFound, exchanger.CodeNoRule, 0, "no rule selects this call")
	}

	return nil
}

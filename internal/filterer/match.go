package filterer

import (
	"context"
	"net/http"
	"time"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/follower"
)

// defaultRetryAfter is the Retry-After of refusals with a cause that is likely to be
// short-lived.
const defaultRetryAfter = 2 * time.Second

// Match selects the rule for the call.
type Match struct {
	// Config returns the configuration in force.
	Config func() *follower.Config
}

// Name implements exchanger.Filter.
func (Match) Name() string { return "match" }

// Apply sets the configuration, which the call uses until it ends, and the rule. It fails
// with a Refusal if no configuration is in force, the customer is unknown, or no rule
// matches.
func (m Match) Apply(_ context.Context, x *exchanger.Exchange) error {
	x.Config = m.Config()

	if x.Config.State.Revision == 0 {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNotReady, defaultRetryAfter,
			"no configuration is in force here yet")
	}

	if !x.Config.Matcher.HasCustomer(x.Customer) {
		return exchanger.Refuse(http.StatusForbidden, exchanger.CodeNoCustomer, 0, "customer %q is not known", x.Customer)
	}

	x.Rule = x.Config.Matcher.Match(x.Traffic)
	if x.Rule == nil {
		return exchanger.Refuse(http.StatusNotFound, exchanger.CodeNoRule, 0, "no rule selects this call")
	}

	return nil
}

package forwarder

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/verifier"
)

// errUnframed marks an answer whose end can't be told from the end of the target's process.
var errUnframed = errors.New("the target may have ended within its answer, which has neither a length nor chunks")

// checkUnframed fails with errUnframed if an answer that was read to its end has neither a length nor chunks, and the target's
// process may have ended. Such an answer ends with its connection, and so does the beginning of one whose target crashes.
//
// Whether others of the data centre refuse connections too makes no difference, unlike for a crash that counts against the call: if all
// of them have crashed, an answer that can't be told to be whole must not look complete.
func (f *Forwarder) checkUnframed(c context.Context, a *http.Response, t *discoverer.Target) error {
	if !verifier.IsUnframed(a) || !f.client.prober.MayHaveEnded(c, t.Address) {
		return nil
	}

	return errors.Mark(errUnframed, errBroken)
}

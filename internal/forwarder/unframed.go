package forwarder

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// errUnframed marks an answer whose end can't be told from the end of the target's process.
var errUnframed = errors.New("the process of the target ended with its answer, which has neither a length nor chunks")

// checkUnframed fails with errUnframed if an answer that was read to its end has neither a length nor chunks, and the process of
// the target has crashed. Such an answer ends with its connection, and so does the beginning of one whose target crashes.
func (f *Forwarder) checkUnframed(c context.Context, a *http.Response, t *discoverer.Target) error {
	if a.ContentLength >= 0 || len(a.TransferEncoding) > 0 || a.Body == http.NoBody || !f.client.prober.Crashed(c, t.Address, f.witnesses(t)) {
		return nil
	}

	return errors.Mark(errUnframed, errBroken)
}

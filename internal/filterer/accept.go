package filterer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/exchanger"
)

// Accept buffers the complete request body, so that the call can be retried and
// its idempotency key bound to the body.
type Accept struct {
	// MaxBody is the largest accepted body, in bytes.
	MaxBody int64
}

// Name implements exchanger.Filter.
func (Accept) Name() string { return "accept" }

// Apply records the start time of the call and reads the body. It fails with a Refusal if the
// body is larger than MaxBody or cannot be read.
func (a Accept) Apply(_ context.Context, x *exchanger.Exchange) error {
	x.Start = time.Now()

	b, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, a.MaxBody))
	if err == nil {
		x.Body = b

		return nil
	}

	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return exchanger.Refuse(http.StatusRequestEntityTooLarge, exchanger.CodeTooLarge, 0,
			"the body is larger than %d bytes", m.Limit)
	}

	return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, 0, "the body can't be read")
}

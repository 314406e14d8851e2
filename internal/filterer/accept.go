package filterer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/exchanger"
)

// Accept reads the request's body whole, so that a call can be sent again and
// its key be bound to its body.
type Accept struct {
	MaxBody int64
}

// Name returns the name of the step.
func (Accept) Name() string { return "accept" }

// Apply reads the body. It refuses one that is too large.
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

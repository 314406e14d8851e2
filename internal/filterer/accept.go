package filterer

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/exchanger"
)

// Accept buffers the complete request body, so that the call can be retried and
// its idempotency key bound to the body.
type Accept struct {
	// MaxBody is the largest accepted body, in bytes.
	MaxBody int64
	// Timeout is how long the body may take to arrive; zero sets no bound.
	Timeout time.Duration
	// Memory bounds what is held for calls; nil sets no bound.
	Memory *accountant.Accountant
}

// memoryWait is the Retry-After of a router whose memory does not suffice for the call.
const memoryWait = 250 * time.Millisecond

// Name implements exchanger.Filter.
func (Accept) Name() string { return "accept" }

// Apply records the start time of the call and reads the body. It fails with a Refusal if the
// body is larger than MaxBody, cannot be read, takes longer than Timeout or does not fit into memory.
func (a Accept) Apply(_ context.Context, x *exchanger.Exchange) error {
	x.Start = time.Now()

	x.Memory = a.Memory.Open(accountant.Body, accountant.CallBytes+accountant.ShortBytes)

	err := a.read(x)

	var m *http.MaxBytesError

	switch {
	case err == nil:
		return nil
	case errors.Is(err, accountant.ErrExhausted):
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoMemory, memoryWait, "this router has too little memory for the call")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return exchanger.Refuse(http.StatusRequestTimeout, exchanger.CodeDeadline, 0, "the body did not arrive in time")
	case errors.As(err, &m) || errors.Is(err, accountant.ErrTooLong):
		return exchanger.Refuse(http.StatusRequestEntityTooLarge, exchanger.CodeTooLarge, 0,
			"the body is larger than %d bytes", a.MaxBody)
	default:
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, 0, "the body can't be read")
	}
}

// read reads the body within the memory.
func (a Accept) read(x *exchanger.Exchange) error {
	if !x.Memory.Reserve(accountant.CallBytes) {
		return accountant.ErrExhausted
	}

	// Not all writers support deadlines, and the connection may be closed.
	c := http.NewResponseController(x.Writer)
	if a.Timeout > 0 && x.Request.ContentLength != 0 {
		_ = c.SetReadDeadline(x.Start.Add(a.Timeout))
	}

	b, err := x.Memory.Read(http.MaxBytesReader(x.Writer, x.Request.Body, a.MaxBody), x.Request.ContentLength, a.MaxBody)
	if err != nil {
		return err
	}

	_ = c.SetReadDeadline(time.Time{}) // From now on a read only notices that the caller leaves.

	x.Body, err = x.Memory.Join(b)

	return err
}

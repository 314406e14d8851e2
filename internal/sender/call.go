package sender

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/auburntray/auburntray/internal/exchanger"
)

const (
	cancelTimeout = time.Second
	streamsPath   = "/v1/streams"
)

// RequestID returns the ID under which the current attempt of a call is sent to its target.
func RequestID(x *exchanger.Exchange) string {
	return x.ID + "-" + strconv.Itoa(x.Attempt)
}

// Send sends the call to its target and returns the answer with its body
// unread. It fails with ErrNeverSent when the request was certainly not sent, and
// with ErrBroken otherwise.
func (s *Sender) Send(c context.Context, x *exchanger.Exchange) (*http.Response, error) {
	u := *x.Request.URL
	u.Scheme = s.scheme
	u.Host = x.Target.Address.String()

	q, err := http.NewRequestWithContext(c, x.Request.Method, u.String(), bytes.NewReader(x.Body))
	if err != nil {
		return nil, errors.Mark(err, ErrNeverSent)
	}

	copyHeader(q.Header, x.Request.Header)
	q.Header.Set(exchanger.TargetRequestID, RequestID(x))
	q.Header.Set(exchanger.TargetPriority, strconv.Itoa(x.Rule.Priority))
	propagation.TraceContext{}.Inject(c, propagation.HeaderCarrier(q.Header))

	t := s.reused
	if !x.Rule.Repeatable {
		t = s.fresh
	}

	return do(t, q)
}

// Resume requests the remainder of a streamed answer from an offset on. It fails with ErrNeverSent or ErrBroken.
func (s *Sender) Resume(c context.Context, x *exchanger.Exchange, offset int) (*http.Response, error) {
	u := s.targetURL(x.Target.Address, streamsPath+"/"+RequestID(x))
	u.RawQuery = "offset=" + strconv.Itoa(offset)

	q, err := http.NewRequestWithContext(c, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, errors.Mark(err, ErrNeverSent)
	}

	r, err := do(s.reused, q)
	if err != nil {
		return nil, err
	}

	if r.StatusCode != http.StatusOK {
		_ = r.Body.Close()

		return nil, errors.Mark(errors.Newf("resuming: status %d", r.StatusCode), ErrBroken)
	}

	return r, nil
}

// Cancel notifies the target that nobody waits for the answer any more: the caller has
// disconnected, or the deadline has passed. It does not use the context of the call, which has
// ended by then. Errors are ignored.
func (s *Sender) Cancel(x *exchanger.Exchange) {
	c, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()

	u := s.targetURL(x.Target.Address, streamsPath+"/"+RequestID(x))

	q, err := http.NewRequestWithContext(c, http.MethodDelete, u.String(), nil)
	if err != nil {
		return
	}

	if r, err := do(s.reused, q); err == nil {
		_ = r.Body.Close()
	}
}

package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
)

const (
	ordersPath = "/admin/orders"
	maxOrder   = 64 << 10
)

// order is the body of an order to a target, and of its answer to what it was
// ordered.
type order struct {
	Model string `json:"model"`
	Fence uint64 `json:"fence"`
}

// ReportedModel returns the model that a target runs by its last order, and that
// order's fencing number.
func (s *Sender) ReportedModel(c context.Context, a netip.AddrPort) (model string, fence uint64, err error) {
	q, err := http.NewRequestWithContext(c, http.MethodGet, s.target(a, ordersPath).String(), nil)
	if err != nil {
		return "", 0, errors.Mark(err, ErrNeverSent)
	}

	r, err := do(s.reused, q)
	if err != nil {
		return "", 0, err
	}

	defer func() { _ = r.Body.Close() }()

	var o order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOrder)).Decode(&o); err != nil {
		return "", 0, errors.Mark(err, ErrBroken)
	}

	return o.Model, o.Fence, nil
}

// CommandModel tells a target to load a model, under the fencing number of a lease. It
// fails with ErrFenced when the target has seen a higher number.
func (s *Sender) CommandModel(c context.Context, a netip.AddrPort, model string, fence uint64) error {
	b, err := json.Marshal(order{Model: model, Fence: fence})
	if err != nil {
		return errors.Mark(err, ErrNeverSent)
	}

	q, err := http.NewRequestWithContext(c, http.MethodPost, s.target(a, ordersPath).String(), bytes.NewReader(b))
	if err != nil {
		return errors.Mark(err, ErrNeverSent)
	}

	q.Header.Set("Content-Type", "application/json")

	r, err := do(s.fresh, q)
	if err != nil {
		return err
	}

	_ = r.Body.Close()

	switch {
	case r.StatusCode == http.StatusConflict:
		return ErrFenced
	case r.StatusCode >= http.StatusMultipleChoices:
		return errors.Mark(errors.Newf("ordering: status %d", r.StatusCode), ErrBroken)
	default:
		return nil
	}
}

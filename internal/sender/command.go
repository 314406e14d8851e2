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
	commandsPath    = "/admin/orders"
	maxCommandBytes = 64 << 10
)

// modelCommand is the body of a command to a target. It is also the body of the target's
// answer to a request for the last command that it accepted.
type modelCommand struct {
	Model string `json:"model"`
	Fence uint64 `json:"fence"`
}

// ReportedModel returns the model of the last command that a target accepted, and the
// fencing number of that command. It fails with ErrNeverSent or ErrBroken.
func (s *Sender) ReportedModel(c context.Context, a netip.AddrPort) (model string, fence uint64, err error) {
	q, err := http.NewRequestWithContext(c, http.MethodGet, s.targetURL(a, commandsPath).String(), nil)
	if err != nil {
		return "", 0, errors.Mark(err, ErrNeverSent)
	}

	r, err := do(s.reused, q)
	if err != nil {
		return "", 0, err
	}

	defer func() { _ = r.Body.Close() }()

	var o modelCommand
	if err := json.NewDecoder(io.LimitReader(r.Body, maxCommandBytes)).Decode(&o); err != nil {
		return "", 0, errors.Mark(err, ErrBroken)
	}

	return o.Model, o.Fence, nil
}

// CommandModel commands a target to load a model, under the fencing number of a lease. It
// fails with ErrFenced when the target has received a higher number, and otherwise with
// ErrNeverSent or ErrBroken.
func (s *Sender) CommandModel(c context.Context, a netip.AddrPort, model string, fence uint64) error {
	b, err := json.Marshal(modelCommand{Model: model, Fence: fence})
	if err != nil {
		return errors.Mark(err, ErrNeverSent)
	}

	q, err := http.NewRequestWithContext(c, http.MethodPost, s.targetURL(a, commandsPath).String(), bytes.NewReader(b))
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
		return errors.Mark(errors.Newf("commanding the model: status %d", r.StatusCode), ErrBroken)
	default:
		return nil
	}
}

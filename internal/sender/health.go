package sender

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/supervisor"
	"github.com/auburntray/auburntray/internal/suppressor"
	"github.com/auburntray/auburntray/internal/tracker"
)

const healthPath = "/health"

// Probe asks a target for its health. An answer that says the target is leaving
// is a success.
func (s *Sender) Probe(c context.Context, a netip.AddrPort) (supervisor.Health, error) {
	u := s.target(a, healthPath)

	q, err := http.NewRequestWithContext(c, http.MethodGet, u.String(), nil)
	if err != nil {
		return supervisor.Health{}, errors.Mark(err, ErrNeverSent)
	}

	r, err := do(s.reused, q)
	if err != nil {
		return supervisor.Health{}, err
	}

	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<10))
	_ = r.Body.Close()

	h := Report(r.Header)
	if r.StatusCode != http.StatusOK && !h.State.Leaving {
		return h, errors.Mark(errors.Newf("health: status %d", r.StatusCode), ErrBroken)
	}

	return h, nil
}

// Report reads what a target says of itself in an answer's header. What is
// missing or malformed is no report.
func Report(h http.Header) supervisor.Health {
	o := supervisor.Health{Requests: -1}

	if n, err := strconv.ParseInt(h.Get(exchanger.TargetRequests), 10, 32); err == nil && n >= 0 {
		o.Requests = int(n)
	}

	if n, err := strconv.ParseUint(h.Get(exchanger.TargetIncarnation), 10, 64); err == nil {
		o.State = tracker.State{Incarnation: n, Leaving: h.Get(exchanger.TargetLeaving) == "true"}
	}

	o.Backoff = suppressor.ParseRetryAfter(h.Get("Retry-After"))

	return o
}

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

// Probe requests the health status of a target. It fails with ErrNeverSent or
// ErrBroken; it fails with ErrBroken for a status other than 200 too, unless the target
// reports that it is leaving.
func (s *Sender) Probe(c context.Context, a netip.AddrPort) (supervisor.Health, error) {
	u := s.targetURL(a, healthPath)

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

	h := ParseHealth(r.Header)
	if r.StatusCode != http.StatusOK && !h.State.Leaving {
		return h, errors.Mark(errors.Newf("health check: status %d", r.StatusCode), ErrBroken)
	}

	return h, nil
}

// ParseHealth parses the state that a target reports in the header of an answer. Fields
// that are missing or malformed are ignored; Requests is -1 without a load report.
func ParseHealth(h http.Header) supervisor.Health {
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

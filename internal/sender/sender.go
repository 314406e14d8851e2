// Package sender sends requests to targets.
package sender

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/auburntray/auburntray/internal/certifier"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/keeper"
	"github.com/auburntray/auburntray/internal/tracker"
)

const (
	dialTimeout   = time.Second
	idleTimeout   = 90 * time.Second
	idlePerTarget = 64
	cancelTimeout = time.Second
	healthPath    = "/health"
	streamsPath   = "/v1/streams"
	ordersPath    = "/admin/orders"
	maxOrder      = 64 << 10
)

// dialer makes connections; a net.Dialer does.
type dialer interface {
	DialContext(c context.Context, network, address string) (net.Conn, error)
}

// TLS says how targets are spoken to.
type TLS struct {
	Enabled bool
	// Authorities is a PEM file; empty takes the system's.
	Authorities string
}

// Sender is a client of all targets. It is safe for concurrent use.
type Sender struct {
	scheme string
	// reused keeps connections; fresh makes one for each request.
	reused *http.Transport
	fresh  *http.Transport
}

// New returns a Sender, over connections that the dialer makes, and its clean-up
// function. It fails with ErrSettings.
func New(t TLS, d dialer) (*Sender, func(), error) {
	s := &Sender{scheme: "http"}

	var c *tls.Config

	if t.Enabled {
		s.scheme = "https"
		c = &tls.Config{MinVersion: tls.VersionTLS12}

		if t.Authorities != "" {
			p, err := certifier.Pool(t.Authorities)
			if err != nil {
				return nil, nil, errors.Mark(err, ErrSettings)
			}

			c.RootCAs = p
		}
	}

	f := func(c context.Context, network, address string) (net.Conn, error) {
		x, stop := context.WithTimeout(c, dialTimeout)
		defer stop()

		return d.DialContext(x, network, address)
	}
	s.reused = &http.Transport{
		DialContext: f, TLSClientConfig: c, IdleConnTimeout: idleTimeout,
		MaxIdleConnsPerHost: idlePerTarget, DisableCompression: true,
	}
	// The library sends a request again by itself when a kept connection breaks
	// under it. For a call that may not be repeated that would be a second run,
	// so such calls go over connections of their own, where it never does.
	s.fresh = &http.Transport{
		DialContext: f, TLSClientConfig: c, DisableKeepAlives: true, DisableCompression: true,
	}

	return s, s.reused.CloseIdleConnections, nil
}

// RequestID returns the id under which the present attempt is sent.
func RequestID(x *exchanger.Exchange) string {
	return x.ID + "-" + strconv.Itoa(x.Attempt)
}

// Send sends the call to its target and returns the answer with its body
// unread. It fails with ErrNeverSent when the request provably did not leave,
// and else with ErrBroken.
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

// Resume asks for the rest of a streamed answer from an offset on.
func (s *Sender) Resume(c context.Context, x *exchanger.Exchange, offset int) (*http.Response, error) {
	u := s.target(x.Target.Address, streamsPath+"/"+RequestID(x))
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

// Cancel tells the target that nobody waits for the call any more. It does not
// wait for the caller's context, which has ended by then.
func (s *Sender) Cancel(x *exchanger.Exchange) {
	c, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()

	u := s.target(x.Target.Address, streamsPath+"/"+RequestID(x))

	q, err := http.NewRequestWithContext(c, http.MethodDelete, u.String(), nil)
	if err != nil {
		return
	}

	if r, err := do(s.reused, q); err == nil {
		_ = r.Body.Close()
	}
}

// Probe asks a target for its health. An answer that says the target is leaving
// is a success.
func (s *Sender) Probe(c context.Context, a netip.AddrPort) (keeper.Health, error) {
	u := s.target(a, healthPath)

	q, err := http.NewRequestWithContext(c, http.MethodGet, u.String(), nil)
	if err != nil {
		return keeper.Health{}, errors.Mark(err, ErrNeverSent)
	}

	r, err := do(s.reused, q)
	if err != nil {
		return keeper.Health{}, err
	}

	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<10))
	_ = r.Body.Close()

	h := Report(r.Header)
	if r.StatusCode != http.StatusOK && !h.State.Leaving {
		return h, errors.Mark(errors.Newf("health: status %d", r.StatusCode), ErrBroken)
	}

	return h, nil
}

// order is the body of an order to a target, and of its answer to what it was
// ordered.
type order struct {
	Model string `json:"model"`
	Fence uint64 `json:"fence"`
}

// Ordered returns the model that a target runs by its last order, and that
// order's fencing number.
func (s *Sender) Ordered(c context.Context, a netip.AddrPort) (model string, fence uint64, err error) {
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

// Order tells a target to load a model, under the fencing number of a lease. It
// fails with ErrFenced when the target has seen a higher number.
func (s *Sender) Order(c context.Context, a netip.AddrPort, model string, fence uint64) error {
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

// Report reads what a target says of itself in an answer's header. What is
// missing or malformed is no report.
func Report(h http.Header) keeper.Health {
	o := keeper.Health{Requests: -1}

	if n, err := strconv.ParseInt(h.Get(exchanger.TargetRequests), 10, 32); err == nil && n >= 0 {
		o.Requests = int(n)
	}

	if n, err := strconv.ParseUint(h.Get(exchanger.TargetIncarnation), 10, 64); err == nil {
		o.State = tracker.State{Incarnation: n, Leaving: h.Get(exchanger.TargetLeaving) == "true"}
	}

	return o
}

func (s *Sender) target(a netip.AddrPort, path string) *url.URL {
	return &url.URL{Scheme: s.scheme, Host: a.String(), Path: path}
}

// do sends a request. Without a connection, be it that the dial, the handshake or
// the wait for one failed, nothing of it has left.
func do(t *http.Transport, q *http.Request) (*http.Response, error) {
	var connected atomic.Bool

	q = q.WithContext(httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}))

	r, err := t.RoundTrip(q)

	switch {
	case err == nil:
		return r, nil
	case connected.Load():
		return nil, errors.Mark(err, ErrBroken)
	default:
		return nil, errors.Mark(err, ErrNeverSent)
	}
}

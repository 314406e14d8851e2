// Package sender sends requests to targets.
package sender

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/certifier"
	"github.com/auburntray/auburntray/internal/prober"
	"github.com/auburntray/auburntray/internal/verifier"
)

const (
	dialTimeout           = time.Second
	idleTimeout           = 90 * time.Second
	maxIdleConnsPerTarget = 64
)

// dialer makes connections; net.Dialer implements it.
type dialer interface {
	DialContext(c context.Context, network, address string) (net.Conn, error)
}

// TLS configures the connections to targets. The zero value means plain HTTP.
type TLS struct {
	Enabled bool
	// Authorities is a PEM file of certificate authorities; empty means those of the system.
	Authorities string
}

// Sender is an HTTP client of all targets. It is safe for concurrent use.
type Sender struct {
	scheme string
	// reused reuses connections; fresh opens a new connection for each request.
	reused *verifier.Verifier
	fresh  *verifier.Verifier
	prober *prober.Prober
}

// New returns a Sender that connects through the dialer, and its clean-up function.
// It fails with ErrSettings when the authorities cannot be read.
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
	s.prober = prober.New(f)
	w, e := verifier.Watch(f), verifier.WatchTLS(f, c)
	s.reused = verifier.New(&http.Transport{
		DialContext: w, DialTLSContext: e, IdleConnTimeout: idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerTarget, DisableCompression: true, MaxResponseHeaderBytes: verifier.MaxHeadBytes,
	})
	// http.Transport retries a request by itself when a reused connection breaks.
	// For a call that may not be repeated this would be a second execution, so such
	// calls use a new connection each, on which http.Transport does not retry.
	s.fresh = verifier.New(&http.Transport{
		DialContext: w, DialTLSContext: e, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: verifier.MaxHeadBytes,
	})

	return s, s.reused.CloseIdleConnections, nil
}

// Crashed reports whether a target's process is gone: its address refuses connections while at
// least one of the other addresses accepts them.
func (s *Sender) Crashed(c context.Context, a netip.AddrPort, others []netip.AddrPort) bool {
	return s.prober.Crashed(c, a, others)
}

// MayHaveEnded reports whether the process that listens at an address has ended, or may have. See prober.Prober.
func (s *Sender) MayHaveEnded(c context.Context, a netip.AddrPort) bool {
	return s.prober.MayHaveEnded(c, a)
}

func (s *Sender) targetURL(a netip.AddrPort, path string) *url.URL {
	return &url.URL{Scheme: s.scheme, Host: a.String(), Path: path}
}

// do sends a request. It fails with ErrNeverSent when it obtained no connection, because the
// dial, the handshake or the wait for a connection failed, and with ErrBroken otherwise.
func do(t *verifier.Verifier, q *http.Request) (*http.Response, error) {
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

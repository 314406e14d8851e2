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
)

const (
	dialTimeout   = time.Second
	idleTimeout   = 90 * time.Second
	idlePerTarget = 64
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
	prober *prober.Prober
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
	s.prober = prober.New(f)
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

// Crashed says that a target's process is gone: its address refuses connections, and one of some
// others takes them.
func (s *Sender) Crashed(c context.Context, a netip.AddrPort, others []netip.AddrPort) bool {
	return s.prober.Crashed(c, a, others)
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

package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/prober"
)

var (
	// errNeverSent means that nothing of the call has left: it did not run.
	errNeverSent = errors.New("the call was not sent")
	// errBroken means that the target's answer did not come, or not whole.
	errBroken = errors.New("the answer is broken")
)

const (
	// dialTimeout bounds a connection to a target. One data centre is about a
	// millisecond from another; a target that takes this long is not there, and
	// the call has time to go elsewhere.
	dialTimeout = 120 * time.Millisecond
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// client sends calls to targets. It is safe for concurrent use.
type client struct {
	dial dial
	// kept keeps connections; fresh makes one for each call.
	kept  *kept
	fresh *http.Transport
	// prober finds out whether a target has ended.
	prober *prober.Prober
}

// dial makes a connection.
type dial func(c context.Context, network, address string) (net.Conn, error)

func newClient(d Dialer) *client {
	f := func(c context.Context, network, address string) (net.Conn, error) {
		x, stop := context.WithTimeout(c, dialTimeout)
		defer stop()

		n, err := d.DialContext(x, network, address)
		if err != nil {
			return nil, err
		}

		return &counted{Conn: n}, nil
	}

	return &client{
		dial:   f,
		prober: prober.New(prober.Dial(f)),
		kept:   newKept(f),
		// A kept connection may be closed by the target just as a call is sent on
		// it; whether it ran is then not known. A call that may run once only goes
		// over a connection of its own.
		fresh: &http.Transport{
			DialContext: f, DisableCompression: true, DisableKeepAlives: true,
			ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer,
		},
	}
}

// send sends a call to a target and returns the answer with its body unread.
// It fails with errNeverSent when provably nothing was sent, else with errBroken.
func (k *client) send(c context.Context, x *exchange, t *enroller.Target, h http.Header) (*http.Response, error) {
	u, err := url.ParseRequestURI(x.request.RequestURI)
	if err != nil {
		return nil, errors.Mark(err, errNeverSent)
	}

	u.Scheme = "http"
	u.Host = t.Address.String()

	var n *counted

	var before int64

	q := &http.Request{
		Method: x.request.Method, URL: u, Host: x.request.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		// The library sends a call again by itself when it has no body or can get
		// it anew. With a body that it can only read once it never does.
		Body: io.NopCloser(bytes.NewReader(x.body)), ContentLength: int64(len(x.body)),
	}
	q = q.WithContext(httptrace.WithClientTrace(c, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			n, _ = i.Conn.(*counted)
			if n != nil {
				before = n.written.Load()
			}
		},
	}))

	r := k.fresh
	if x.rule.Repeatable() {
		r = k.kept.to(t)
	}

	a, err := r.RoundTrip(q)
	if err == nil {
		return a, nil
	}

	if n == nil || n.written.Load() == before {
		return nil, errors.Mark(err, errNeverSent)
	}

	return nil, errors.Mark(err, errBroken)
}

// counted counts what was written to a connection.
type counted struct {
	net.Conn

	written atomic.Int64
}

// Write is part of net.Conn.
func (n *counted) Write(b []byte) (int, error) {
	n.written.Add(int64(len(b)))

	return n.Conn.Write(b)
}

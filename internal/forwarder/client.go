package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/prober"
	"github.com/auburntray/auburntray/internal/verifier"
)

var (
	// errNotSent means that no byte of the call was sent, so it did not run.
	errNotSent = errors.New("call not sent")
	// errBroken means that the target's answer is missing, incomplete or not usable.
	errBroken = errors.New("answer missing or invalid")
)

const (
	// dialTimeout bounds the time to connect to a target. Data centres are about a millisecond
	// apart, so a target that takes this long is unreachable, and the call still has time to be
	// sent to another one.
	dialTimeout = 120 * time.Millisecond
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// client sends calls to targets. It is safe for concurrent use.
type client struct {
	dial dial
	// pool reuses connections; singleUse makes a new connection for each call.
	pool      *connPool
	singleUse *verifier.Verifier
	// delegates reuses connections to other instances; singleUseDelegates makes a new one for each call.
	delegates, singleUseDelegates *verifier.Verifier
	// prober finds out whether the process of a target has crashed.
	prober *prober.Prober
}

// dial makes a connection, or fails after dialTimeout.
type dial func(c context.Context, network, address string) (net.Conn, error)

func newClient(d Dialer) *client {
	f, p := newDial(d), newDial(&net.Dialer{})

	return &client{
		dial:   f,
		prober: prober.New(prober.Dial(f)),
		pool:   newConnPool(f),
		// A target may close a pooled connection just as a call is sent on it, and it is then
		// unknown whether the call ran. A call that must run at most once is therefore sent on a
		// connection of its own.
		singleUse:          newSingleUse(f),
		delegates:          newReused(p),
		singleUseDelegates: newSingleUse(p),
	}
}

// newReused returns a transport that reuses connections.
func newReused(d dial) *verifier.Verifier {
	return verifier.New(&http.Transport{
		DialContext: verifier.Watch(verifier.Dial(d)), DisableCompression: true, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: idlePerTarget,
		ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer, MaxResponseHeaderBytes: verifier.MaxHeadBytes,
	})
}

// newSingleUse returns a transport that makes a new connection for each call.
func newSingleUse(d dial) *verifier.Verifier {
	return verifier.New(&http.Transport{
		DialContext: verifier.Watch(verifier.Dial(d)), DisableCompression: true, DisableKeepAlives: true,
		ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer, MaxResponseHeaderBytes: verifier.MaxHeadBytes,
	})
}

// newDial returns a dial with a dialer.
func newDial(d Dialer) dial {
	return func(c context.Context, network, address string) (net.Conn, error) {
		x, stop := context.WithTimeout(c, dialTimeout)
		defer stop()

		return d.DialContext(x, network, address)
	}
}

// close closes the idle connections.
func (k *client) close() {
	k.pool.prune(&discoverer.Registry{})
	k.delegates.CloseIdleConnections()
}

// outgoingCall is a call as it is sent to a target, or to another instance that sends it to the target.
type outgoingCall struct {
	method, uri, host string
	header            http.Header
	body              *accountant.Buffer
	// repeatable is set when a call that may have run may be sent again.
	repeatable bool
}

// send sends a call to a target and returns the answer with its body unread. It fails with
// errNotSent if certainly nothing was sent, and otherwise with errBroken.
func (k *client) send(c context.Context, o outgoingCall, t *discoverer.Target) (*http.Response, error) {
	r := k.singleUse
	if o.repeatable {
		r = k.pool.transport(t)
	}

	return k.roundTrip(c, o, t.Address, r)
}

// sendToDelegate sends a call to another instance, and fails like send.
func (k *client) sendToDelegate(c context.Context, o outgoingCall, a netip.AddrPort) (*http.Response, error) {
	r := k.singleUseDelegates
	if o.repeatable {
		r = k.delegates
	}

	return k.roundTrip(c, o, a, r)
}

func (k *client) roundTrip(c context.Context, o outgoingCall, a netip.AddrPort, r http.RoundTripper) (*http.Response, error) {
	u, err := url.ParseRequestURI(o.uri)
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}

	// A path with bytes that should be encoded is sent as it came; net/url would encode it. One with two slashes at its beginning
	// would be sent with a scheme and a host.
	if u.RequestURI() != o.uri && !strings.HasPrefix(o.uri, "//") {
		u = &url.URL{Opaque: o.uri}
	}

	u.Scheme = "http"
	u.Host = a.String()

	q := &http.Request{
		Method: o.method, URL: u, Host: o.host, Header: o.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		// http.Transport resends a request by itself if the request has no body or its GetBody is
		// set. http.Transport never resends a request whose body can be read only once.
		Body: o.body.NewReader(), ContentLength: o.body.Len(),
	}

	w, err := r.RoundTrip(q.WithContext(c))

	switch {
	case err == nil:
		return w, nil
	case errors.Is(err, verifier.ErrNotSent):
		return nil, errors.Mark(err, errNotSent)
	default:
		return nil, errors.Mark(err, errBroken)
	}
}

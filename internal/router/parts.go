package router

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"github.com/auburntray/auburntray/internal/certifier"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/internal/sender"
	"github.com/auburntray/auburntray/internal/tracer"
)

// checkpointKey is the key whose home writes the checkpoints.
const checkpointKey = "checkpoint"

// onStop runs a constructor's clean-up function when the application stops.
func onStop(l fx.Lifecycle, f func()) {
	l.Append(fx.Hook{OnStop: func(context.Context) error {
		f()

		return nil
	}})
}

// Dialer makes the connections to peers and targets.
type Dialer interface {
	DialContext(c context.Context, network, address string) (net.Conn, error)
}

func newDialer() Dialer {
	return &net.Dialer{}
}

func newTracer(l fx.Lifecycle, s resolver.Router) (trace.Tracer, error) {
	t, f, err := tracer.New(context.Background(), s.TraceEndpoint, s.Name, s.TraceSample)
	if err != nil {
		return nil, errors.Mark(err, ErrStart)
	}

	onStop(l, f)

	return t, nil
}

func newMessenger(l fx.Lifecycle, s resolver.Router, id processID, d Dialer) (*messenger.Messenger, error) {
	var c *tls.Config

	if s.PeerCert != "" {
		x, err := certifier.Peers(s.PeerCert, s.PeerKey, s.PeerCA)
		if err != nil {
			return nil, errors.Mark(err, ErrStart)
		}

		c = x
	}

	m, f, err := messenger.New(s.Peer, uint64(id), d, c)
	if err != nil {
		return nil, errors.Mark(err, ErrStart)
	}

	onStop(l, f)

	return m, nil
}

func newRecorder(l fx.Lifecycle, s resolver.Router) *recorder.Recorder {
	r, f := recorder.New(s.Platform, s.DataCentre)
	onStop(l, f)

	return r
}

func newSender(l fx.Lifecycle, s resolver.Router, d Dialer) (*sender.Sender, error) {
	x, f, err := sender.New(sender.TLS{Enabled: s.TargetTLS, Authorities: s.TargetCA}, d)
	if err != nil {
		return nil, errors.Mark(err, ErrStart)
	}

	onStop(l, f)

	return x, nil
}

func granterSettings(s resolver.Router) granter.Settings {
	g := granter.DefaultSettings()
	g.PlacementBytes = s.PlaceBytes

	return g
}

// settleIn is how long after its start a router knows the others. Before, each of
// many that start together would take itself for responsible.
const settleIn = 10 * time.Second

// responsible says whether this router, which started at a time, is the home of
// a key among all routers.
func responsible(j *joiner.Joiner, key string, started time.Time) bool {
	if time.Since(started) < settleIn {
		return false
	}

	h, ok := j.Home(hasher.Key(key), nil)

	return ok && h.ID == j.Self().ID
}

// aheadOf lets the follower know of peers with newer revisions.
func aheadOf(f *follower.Follower) func(netip.AddrPort, uint64) {
	return func(a netip.AddrPort, revision uint64) { f.Ahead(context.Background(), a, revision) }
}

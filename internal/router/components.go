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

// checkpointKey is the key that determines which router writes the checkpoints of the
// configuration log: the home of the key (home node: the one router responsible for it).
const checkpointKey = "checkpoint"

// onStop registers the clean-up function of a component to run when the application stops.
func onStop(l fx.Lifecycle, f func()) {
	l.Append(fx.Hook{OnStop: func(context.Context) error {
		f()

		return nil
	}})
}

// Dialer opens the connections to peers and targets.
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
		x, err := certifier.PeerConfig(s.PeerCert, s.PeerKey, s.PeerCA)
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
	g.PlacementBytes = s.PlacementBytes

	return g
}

// membershipSettleTime is how long after its start a router knows the other routers. Before
// that, each of several routers that start together would consider itself the home of every
// key.
const membershipSettleTime = 10 * time.Second

// isKeyHome reports whether this router is the home of a key among all routers. It is false
// until membershipSettleTime has passed since the router started.
func isKeyHome(j *joiner.Joiner, key string, started time.Time) bool {
	if time.Since(started) < membershipSettleTime {
		return false
	}

	h, ok := j.Home(hasher.Key(key), nil)

	return ok && h.ID == j.Self().ID
}

// newerRevisionHandler returns a function that notifies the follower of a peer with a newer revision.
func newerRevisionHandler(f *follower.Follower) func(netip.AddrPort, uint64) {
	return func(a netip.AddrPort, revision uint64) { f.CatchUp(context.Background(), a, revision) }
}

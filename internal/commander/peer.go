package commander

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/resolver"
)

// peerTimeout bounds a request to an instance.
const peerTimeout = 5 * time.Second

// peerTable returns the setting that names the instance to which a request is sent.
func peerTable(peer *netip.AddrPort) resolver.Table {
	return resolver.Table{{
		Name: "peer", Default: "127.0.0.1:8090", Allowed: "an IP number and a port",
		Help: "address at which an instance of the gateway serves other instances", Read: resolver.Address(peer, false),
	}}
}

// withMessenger calls a function with a messenger for requests to instances, and a context that
// expires after peerTimeout.
func withMessenger(c context.Context, f func(c context.Context, m *messenger.Messenger) error) error {
	c, stop := context.WithTimeout(c, peerTimeout)
	defer stop()

	m, end, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), joiner.NewID(0), &net.Dialer{}, nil)
	if err != nil {
		return err
	}
	defer end()

	return f(c, m)
}

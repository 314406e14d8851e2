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

// askTimeout bounds a question to an instance.
const askTimeout = 5 * time.Second

// peerTable holds the setting of the instance that is asked.
func peerTable(peer *netip.AddrPort) resolver.Table {
	return resolver.Table{{
		Name: "peer", Default: "127.0.0.1:8090", Allowed: "an IP number and a port",
		Help: "address at which an instance of the gateway serves other instances", Read: resolver.Address(peer, false),
	}}
}

// ask calls a function with a messenger that asks instances, for as long as a question may take.
func ask(c context.Context, f func(c context.Context, m *messenger.Messenger) error) error {
	c, stop := context.WithTimeout(c, askTimeout)
	defer stop()

	m, end, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), joiner.NewID(0), &net.Dialer{}, nil)
	if err != nil {
		return err
	}
	defer end()

	return f(c, m)
}
